"""Runs one gateway host: its components, tasks, readiness and shutdown."""

import asyncio
import contextlib
import os
import random
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

import attrs

from hollyknot_coordination.forwarding import (
    BrittleServices,
    CachedParts,
    ColdStarts,
    CustomerShares,
    Demand,
    Ended,
    Forecasts,
    Health,
    HostCount,
    LaneShares,
    Loads,
    NamedLimits,
    Placement,
    Relays,
    Rests,
    RetryBudget,
    Shedding,
    SlotOwners,
    Speeds,
    StreamForms,
    StreamSteps,
    UpstreamRegistry,
)
from hollyknot_coordination.holding import ByteBudget, default_capacity_bytes
from hollyknot_coordination.suspects import Suspects
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._answer_notices import AnswerNotices
from hollyknot_gateway._answers import NO_ROUTE
from hollyknot_gateway._body_rules import BodyRules
from hollyknot_gateway._caller_server import CallerServer
from hollyknot_gateway._connection_limits import caller_limits
from hollyknot_gateway._directory import (
    Directory,
    DirectoryParts,
    mass_lapse_s,
)
from hollyknot_gateway._flow import Flow
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._gauges import GaugeSources, add_gauges
from hollyknot_gateway._grace import Grace
from hollyknot_gateway._host_tasks import HostTasks
from hollyknot_gateway._list_proof import ListProof
from hollyknot_gateway._log import Log
from hollyknot_gateway._loss_classifier import LossClassifier
from hollyknot_gateway._metrics import Metrics
from hollyknot_gateway._neighbours import Neighbours
from hollyknot_gateway._operator_servers import OperatorServers
from hollyknot_gateway._placement_log import (
    PlacementLog,
    slowness_reader,
)
from hollyknot_gateway._pool import Pool
from hollyknot_gateway._ports import (
    Dialect,
    ReadParts,
    Source,
    read_no_parts,
)
from hollyknot_gateway._readiness import Readiness
from hollyknot_gateway._relay_server import RelayServer
from hollyknot_gateway._report_contents import SharedState
from hollyknot_gateway._revision_gossip import RevisionGossip
from hollyknot_gateway._routing_state import RoutingState
from hollyknot_gateway._settings_reload import SettingsReload
from hollyknot_gateway._shutdown import Shutdown
from hollyknot_gateway._upkeep import Upkeep, UpkeepParts
from hollyknot_gateway._upstream_watch import watch_upstreams
from hollyknot_state import ReadRevisions
from hollyknot_state.routes import (
    Bounds,
    CallerLimits,
    GatewaySettings,
    Published,
    UpstreamEntry,
)

_TOKEN_BITS = 62
"""Length in bits of the random number from which a host's ranks follow."""

STANDARD_OUTPUT = 1
"""The file descriptor that log lines are written to."""


@attrs.frozen
class Ports:
    """The interfaces that a platform provides to a host.

    Attributes:
        dialect: The headers that callers and upstreams use.
        published: Creates the source of what operators publish.
        upstreams: Creates the source of upstream entries.
        read_cached: Creates the reader of the parts of prompts that an upstream
            holds.
    """

    dialect: Dialect
    published: Callable[[Pool], Source[Published]]
    upstreams: Callable[[Pool], Source[UpstreamEntry]]
    read_cached: Callable[[Pool], ReadParts] = lambda _: read_no_parts


class Host:
    """A gateway host, as an asynchronous context manager that runs it."""

    def __init__(
        self,
        settings: GatewaySettings,
        ports: Ports,
        rng: random.Random,
        read_settings: Callable[[], GatewaySettings | str],
    ) -> None:
        """Creates all components of a host without starting any.

        Args:
            settings: The settings of this process.
            ports: The interfaces of its platform.
            rng: Breaks ties, splits traffic and adds jitter to pauses.
            read_settings: Reads the settings again; returns a text that says
                what is wrong if they can't be read.
        """
        clock = asyncio.get_running_loop().time
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._log = Log(settings.host, settings.data_centre, STANDARD_OUTPUT)
        self._pool = Pool(clock)
        # Peers accept connections from the addresses that they know only.
        self._relay_pool = Pool(clock, settings.peers.ip)
        self._size = HostCount(
            clock(),
            is_alone=not set(settings.seeds) - {settings.peers},
            data_centres=settings.data_centres,
        )
        self._rests = Rests(self._size, rng)
        self._routing_state = RoutingState(
            UpstreamRegistry(mass_lapse_s(settings.bounds), self._rests.resting)
        )
        self._metrics = Metrics()
        self._stack = contextlib.AsyncExitStack()
        self._tasks = HostTasks(self._stack, self._log, self._metrics, clock)
        self._loads = Loads()
        self._demand = Demand()
        self._cached = CachedParts()
        self._forecasts = Forecasts()
        self._speeds = Speeds()
        self._lane_shares = LaneShares(rng.getrandbits(_TOKEN_BITS))
        self._customers = CustomerShares(self._size)
        self._health = Health()
        self._grace = Grace(
            lambda service: bool(self._neighbours.relays(service)), clock
        )
        self._budget = RetryBudget(settings.bounds, self._size, rng)
        self._cold_starts = ColdStarts(
            rng, self._size, self._routing_state.cold_start
        )
        self._named_limits = NamedLimits()
        self._brittle_limits = NamedLimits()
        self._notices = AnswerNotices(
            self._named_limits,
            self._brittle_limits,
            self._rests,
            self._routing_state.registry,
            self._log,
            clock,
        )
        self._watch = watch_upstreams(
            self._pool,
            self._routing_state.registry,
            self._cold_starts,
            self._log,
            rng,
            clock,
        )
        self._suspects = Suspects()
        self._neighbours = Neighbours(
            settings,
            SharedState(
                self._loads,
                self._demand,
                self._cached,
                self._forecasts,
                self._speeds,
                self._lane_shares,
                self._suspects,
                self._size,
                self._named_limits,
                self._customers,
                lambda: self._watch.cut_off_services.names,
                self._brittle_limits,
            ),
            self._routing_state,
            self._watch.partitions,
            RevisionGossip(lambda: self._directory.read, self._on_peer_read),
            ports.read_cached(self._pool),
            self._metrics,
            self._log,
            rng,
            clock,
            lambda: self._directory.is_current(
                has_peers=self._neighbours.count > 0
                or self._neighbours.is_alone,
                running_s=self._neighbours.running_s,
            ),
            ListProof(
                lambda: self._directory.proof_age_s,
                self._confirm_upstreams,
            ),
        )
        self._brittle = BrittleServices(
            self._brittle_limits,
            self._loads,
            self._size,
            SlotOwners(
                self._neighbours.own,
                lambda: self._neighbours.known_peers,
                self._size,
            ),
            rng,
        )
        self._losses = LossClassifier(
            self._suspects,
            self._watch.prober,
            self._watch.partition_signs,
            self._log,
            clock,
        )
        self._directory = Directory(
            DirectoryParts(
                published=ports.published(self._pool),
                upstreams=ports.upstreams(self._pool),
                in_force=self._routing_state,
                cold_starts=self._cold_starts,
                pool=self._pool,
                on_ended=self._on_upstream_ended,
                on_versions=self._neighbours.versions.on_versions,
                on_moved=self._neighbours.versions.on_moved,
                on_gap=self._neighbours.versions.on_gap,
                log=self._log,
                metrics=self._metrics,
                hosts=lambda: self._neighbours.hosts,
                rng=rng,
                clock=clock,
            ),
            settings.bounds,
        )
        parts = self._flow_parts(ports.dialect)
        self._placement = parts.placement
        self._placement_log = PlacementLog(
            lambda: self._placement.lane_sizes,
            slowness_reader(self._routing_state, self._speeds, clock),
            self._log,
        )
        flow = Flow(parts)
        held = ByteBudget(default_capacity_bytes(settings.memory_bytes))
        self._callers = CallerServer(
            flow.handle,
            self._limits,
            self._on_unreadable_request,
            rules=BodyRules(flow.check, flow.refuse),
            budget=held,
            most=caller_limits(settings.descriptors),
        )
        self._relay_server = RelayServer(
            parts, flow.serve, self._on_unreadable_request, held
        )
        self._operator_servers = OperatorServers(
            lambda: self.is_ready, self._metrics, self._on_unreadable_request
        )
        add_gauges(
            self._metrics,
            GaugeSources(
                is_ready=lambda: self.is_ready,
                failing_tasks=lambda: self._tasks.failing,
                table_version=lambda: self.table_version,
                upstreams=lambda: self.upstreams,
                resting=lambda: self._rests.resting(self._clock()),
                directory=self._directory,
                named_limits=self._named_limits,
                placement_log=self._placement_log,
                neighbours=self._neighbours,
                size=self._size,
                callers=self._callers,
                relays_in_work=lambda: self._relay_server.in_work,
                cut_off=lambda: self._watch.cut_off_services.names,
                pool=self._pool,
                log=self._log,
                held=held,
            ),
        )
        self._readiness = Readiness(
            self._routing_state,
            self._neighbours,
            self._suspects,
            self._tasks,
            self._log,
            clock,
        )
        self._shutdown = Shutdown(
            self._readiness,
            self._grace,
            self._callers,
            self._relay_server,
            self._losses,
            self._neighbours,
            self._log,
            clock,
        )
        self._settings_reload = SettingsReload(
            settings, read_settings, self._set_bounds, self._log
        )
        self._upkeep = Upkeep(
            UpkeepParts(
                callers=self._callers,
                operators=self._operator_servers,
                relays=self._relay_server,
                pools=(self._pool, self._relay_pool),
                stalls=self._watch.stalls,
                placement=parts.placement,
                placement_log=self._placement_log,
                readiness=self._readiness,
                neighbours=self._neighbours,
                prober=self._watch.prober,
                reachability=self._watch.reachability,
                cut_off_services=self._watch.cut_off_services,
                losses=self._losses,
                suspects=self._suspects,
                log=self._log,
                clock=clock,
            )
        )

    def _flow_parts(self, dialect: Dialect) -> FlowParts:
        return FlowParts(
            dialect=dialect,
            in_force=self._routing_state,
            placement=Placement(
                self._loads,
                self._demand,
                self._cached,
                self._settings.data_centre,
                self._rng,
                self._pool.has_idle,
                self._speeds,
                self._lane_shares,
            ),
            shedding=Shedding(self._loads, self._rng),
            customers=self._customers,
            loads=self._loads,
            forecasts=self._forecasts,
            speeds=self._speeds,
            reachability=self._watch.reachability,
            health=self._health,
            cold_starts=self._cold_starts,
            prober=self._watch.prober,
            notices=self._notices,
            rests=self._rests,
            neighbours=self._neighbours,
            permits=self._neighbours.permits,
            suspects=self._suspects,
            losses=self._losses,
            brittle=self._brittle,
            stream_forms=StreamForms(),
            stream_steps=StreamSteps(),
            stalls=self._watch.stalls,
            budget=self._budget,
            grace=self._grace,
            pool=self._pool,
            relays=Relays(self._neighbours.relays, self._rng),
            relay_pool=self._relay_pool,
            log=self._log,
            metrics=self._metrics,
            rng=self._rng,
            clock=self._clock,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers to this host."""
        return self._readiness.is_ready

    @property
    def table_version(self) -> int:
        """The version of the routes in force; 0 for none."""
        index = self._routing_state.index
        return index.table.version if index is not None else 0

    @property
    def peers(self) -> int:
        """Number of other hosts that send reports to this one."""
        return self._neighbours.count

    @property
    def limited_upstreams(self) -> int:
        """Number of upstreams that are known to have a rate limit."""
        return self._named_limits.count

    @property
    def upstreams(self) -> frozenset[str]:
        """The incarnations that get requests; some of them may rest."""
        serving = self._routing_state.registry.all_serving(self._clock())
        return frozenset(entry.incarnation for entry in serving)

    async def __aenter__(self) -> Self:
        """Starts all servers and tasks.

        Raises:
            OSError: If the host can't listen on an address.
        """
        stack = self._stack
        stack.callback(self._log.flush)
        stack.callback(self._pool.close)
        stack.callback(self._relay_pool.close)
        stack.push_async_callback(self._watch.prober.close)
        await self._callers.start(self._settings.callers)
        stack.callback(self._callers.close)
        await self._operator_servers.start(self._settings, stack)
        await self._neighbours.open()
        stack.callback(self._neighbours.close)
        await self._relay_server.start(self._settings.peers)
        stack.callback(self._relay_server.close)
        self._tasks.catch_errors()
        for name, work in self._periodic_work.items():
            self._tasks.spawn(name, work)
        self._log.line(
            "start", pid=os.getpid(), first=self._settings.is_first_start
        )
        return self

    @property
    def _periodic_work(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """What the tasks of the host do, by their names."""
        return {
            "follow_published": self._directory.follow_published,
            "follow_upstreams": self._directory.follow_upstreams,
            "exchange_reports": self._neighbours.run,
            "search_caches": self._neighbours.cache_searches.run,
            "sweep": self._upkeep.sweep,
            "flush_log": self._upkeep.flush_log,
            "probe_unreachable": self._upkeep.probe_unreachable,
            "reload_settings": self._settings_reload.run,
        }

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Cancels all tasks and closes all servers and connections."""
        self._log.line("end", in_work=self._callers.in_work)
        await self._stack.__aexit__(kind, error, trace)

    async def stop(self) -> None:
        """Stops gracefully, letting in-flight requests end first."""
        await self._shutdown.run(self._settings_reload.bounds.grace_s)

    def reload(self) -> None:
        """Reads the settings again and applies those that may change."""
        self._settings_reload.reload()

    def _set_bounds(self, bounds: Bounds) -> None:
        self._budget.set_bounds(bounds)
        self._directory.set_bounds(bounds)

    def _limits(self) -> CallerLimits:
        index = self._routing_state.index
        return index.table.limits if index is not None else CallerLimits()

    def _on_unreadable_request(self, status: int, reason: str) -> None:
        """Logs and counts a request that could not be parsed."""
        self._log.line("unread", status=status, reason=reason)
        self._metrics.count(
            metrics.REQUESTS,
            route=NO_ROUTE,
            status=str(status),
            reason="unread",
        )

    async def _confirm_upstreams(self) -> bool:
        return await self._directory.confirm()

    def _on_peer_read(self, read: ReadRevisions) -> None:
        self._directory.on_peer_read(read)

    def _on_upstream_ended(self, ended: Ended) -> None:
        """Discards all state that is kept for an incarnation that has left."""
        incarnation = ended.incarnation
        if ended.is_superseded:
            self._watch.stalls.on_upstream_unreachable(incarnation)
        self._watch.reachability.forget(incarnation)
        self._health.forget(incarnation)
        self._cold_starts.forget(incarnation)
        self._notices.forget(incarnation)
        self._brittle.forget(incarnation)
        self._neighbours.permits.forget(incarnation)
        self._neighbours.cache_searches.forget(incarnation)
        self._forecasts.forget(incarnation)
        self._speeds.forget(incarnation)
