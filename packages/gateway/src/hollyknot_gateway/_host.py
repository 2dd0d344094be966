"""One host that forwards by routes: its tasks, its stop, its readiness."""

import asyncio
import contextlib
import os
import random
import time
import traceback
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, Self

import attrs

from hollyknot_coordination.forwarding import (
    Demand,
    Fleet,
    Health,
    Loads,
    Paces,
    Peers,
    Placement,
    Reachability,
    RetryBudget,
)
from hollyknot_coordination.suspects import SuspectOptions, SuspectRegister
from hollyknot_gateway._caller_connection import CallerRequest, Reply
from hollyknot_gateway._caller_server import CallerServer
from hollyknot_gateway._flow import Flow, FlowParts
from hollyknot_gateway._follower import Follower, FollowOptions
from hollyknot_gateway._in_force import InForce
from hollyknot_gateway._log import Log
from hollyknot_gateway._losses import Losses
from hollyknot_gateway._metrics import Metrics
from hollyknot_gateway._pool import ConnectFailure, Pool
from hollyknot_gateway._ports import Changes, Dialect, Listing, Source
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._reports import ReportSocket
from hollyknot_gateway._stalls import Stalls
from hollyknot_state import HostReport
from hollyknot_state.routes import (
    CallerLimits,
    GatewaySettings,
    RouteTable,
    UpstreamEntry,
)

REPORT_S = 0.1
"""Between two reports to peers. Their work in flight changes within tens of
milliseconds, and a report costs some tens of microseconds."""

REPORTED_PEERS = 16
"""Peers that get each report; of more, as many are chosen at random, so that a
host's bytes do not grow with the number of hosts."""

SWEEP_S = 0.25
"""Between two looks at timers that need no precision."""

FLUSH_S = 0.1
"""Between two writes of log lines."""

RELOAD_S = 5.0
"""Between two looks at the settings file, which may change without a signal."""

ROTATION_S = 3.0
"""How long a stopping host still takes new connections: the balancer asks once
a second and takes a host out after two misses."""

STOP_MARGIN_S = 0.8
"""Before the host is killed, work that is left is ended by the host itself."""

LAPSE_S = 1.7
"""How long an upstream keeps its work whose entry has gone while the directory
was away: entries that only lapsed are back within two seconds."""

STANDARD_OUTPUT = 1
"""The descriptor that log lines go to."""

NOTICE_PART = 0.4
"""Of the bound for leaving upstreams, the pause between two reads of them. The
rest is for the read itself and for what is on its way."""

SUSPENDED_S = 0.5
"""Difference of the clocks from which a host counts as suspended."""

WATCH_S = 2.0
"""How long one watch waits: a connection that fell silent hides a new version
for no longer than this and the slack of a read."""


@attrs.frozen
class Ports:
    """What a platform plugs in.

    Attributes:
        dialect: Headers of callers and upstreams.
        tables: Makes the source of route tables.
        upstreams: Makes the source of upstreams.
    """

    dialect: Dialect
    tables: Callable[[Pool], Source[RouteTable]]
    upstreams: Callable[[Pool], Source[UpstreamEntry]]


class Host:
    """A host from its start to its end; an asynchronous context manager."""

    def __init__(
        self,
        settings: GatewaySettings,
        ports: Ports,
        rng: random.Random,
        read_settings: Callable[[], GatewaySettings | str],
    ) -> None:
        """Wires the parts.

        Args:
            settings: Of this process.
            ports: Of its platform.
            rng: For ties, splits and spread pauses.
            read_settings: Reads the settings again, or says what is wrong.
        """
        clock = asyncio.get_running_loop().time
        self._settings = settings
        self._read_settings = read_settings
        self._clock = clock
        self._rng = rng
        self._log = Log(settings.host, settings.data_centre, STANDARD_OUTPUT)
        self._pool = Pool(clock)
        self._in_force = InForce(Fleet(LAPSE_S))
        self._metrics = Metrics()
        self._budget = RetryBudget(settings.bounds)
        self._loads = Loads()
        self._demand = Demand()
        self._paces = Paces()
        self._reachability = Reachability()
        self._health = Health()
        self._stalls = Stalls(clock)
        self._prober = Prober(
            self._pool,
            self._reachability,
            self._upstream_away,
            self._log,
            clock,
        )
        self._suspects = SuspectRegister(SuspectOptions())
        self._peers = Peers(settings.peers, settings.seeds, rng)
        self._socket = ReportSocket(self._take_report, self._log)
        self._incarnation = rng.getrandbits(62)
        self._sequence = 0
        flow = Flow(
            FlowParts(
                dialect=ports.dialect,
                in_force=self._in_force,
                placement=Placement(
                    self._loads,
                    self._demand,
                    self._paces,
                    settings.data_centre,
                    rng,
                ),
                loads=self._loads,
                paces=self._paces,
                reachability=self._reachability,
                health=self._health,
                prober=self._prober,
                suspects=self._suspects,
                losses=Losses(
                    self._suspects,
                    self._prober,
                    self._may_be_cut_off,
                    self._log,
                    clock,
                ),
                stalls=self._stalls,
                budget=self._budget,
                pool=self._pool,
                log=self._log,
                metrics=self._metrics,
                rng=rng,
                clock=clock,
            )
        )
        self._callers = CallerServer(flow.handle, self._limits)
        self._readiness = CallerServer(self._answer_readiness, CallerLimits)
        self._scrapes = CallerServer(self._answer_scrape, CallerLimits)
        self._ports = ports
        self._add_gauges()
        self._is_stopping = False
        self._suspended_s = (
            time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
        )
        self._silent: frozenset[str] = frozenset()
        self._slow: frozenset[str] = frozenset()
        self._stack = contextlib.AsyncExitStack()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return self._in_force.is_known and not self._is_stopping

    @property
    def table_version(self) -> int:
        """The version of the routes in force; 0 for none."""
        index = self._in_force.index
        return index.table.version if index is not None else 0

    @property
    def upstreams(self) -> frozenset[str]:
        """The incarnations that may get work."""
        usable = self._in_force.fleet.all_usable(self._clock())
        return frozenset(entry.incarnation for entry in usable)

    async def __aenter__(self) -> Self:
        """Starts all servers and tasks.

        Raises:
            OSError: An address can't be listened on.
        """
        stack = self._stack
        stack.callback(self._log.flush)
        stack.callback(self._pool.close)
        stack.push_async_callback(self._prober.close)
        for server, address in (
            (self._callers, self._settings.callers),
            (self._readiness, self._settings.readiness),
        ):
            await server.start(address)
            stack.callback(server.close)
        if self._settings.metrics is not None:
            await self._scrapes.start(self._settings.metrics)
            stack.callback(self._scrapes.close)
        await self._socket.open(self._settings.peers)
        stack.callback(self._socket.close)
        for follower in (self._follow_tables(), self._follow_upstreams()):
            self._spawn(follower.run())
        self._spawn(self._sweep())
        self._spawn(self._flush())
        self._spawn(self._reload_now_and_then())
        self._spawn(self._report())
        self._spawn(self._reach())
        asyncio.get_running_loop().set_exception_handler(self._on_error)
        self._log.line("start", pid=os.getpid())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ends all that is left."""
        self._log.line("end", in_work=self._callers.in_work)
        await self._stack.__aexit__(kind, error, trace)

    def _on_error(
        self, _: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Logs what no task has caught."""
        error = context.get("exception")
        trace = traceback.format_exception(error) if error else []
        self._log.line(
            "internal_error",
            message=context.get("message", ""),
            error=repr(error),
            trace="".join(trace[-2:]),
        )

    async def stop(self) -> None:
        """Stops gracefully: requests in flight end first."""
        began_s = self._clock()
        self._is_stopping = True
        self._log.line("stop", in_work=self._callers.in_work)
        self._callers.announce_close()
        grace_s = self._settings.bounds.grace_s
        last_s = began_s + grace_s - min(STOP_MARGIN_S, grace_s / 2)
        await asyncio.sleep(min(ROTATION_S, grace_s / 2))
        while self._clock() < last_s:
            self._callers.close_idle()
            if not self._callers.in_work:
                break
            await asyncio.sleep(SWEEP_S / 2)

    def reload(self) -> None:
        """Reads the settings again and puts in force what can change.

        Addresses stay as they are until the next start: callers, peers and the
        balancer know them. Settings that can't be read change nothing.
        """
        found = self._read_settings()
        if isinstance(found, str):
            self._log.line("reload_failed", reason=found)
            return
        if found == self._settings:
            return
        changed = [
            field.name
            for field in attrs.fields(GatewaySettings)
            if getattr(found, field.name) != getattr(self._settings, field.name)
        ]
        self._settings = attrs.evolve(self._settings, bounds=found.bounds)
        self._budget.set_bounds(found.bounds)
        self._log.line("reload", changed=",".join(changed))

    async def _reload_now_and_then(self) -> None:
        """Notices settings that change without a signal."""
        while True:
            await asyncio.sleep(RELOAD_S)
            self.reload()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._stack.push_async_callback(_cancel, task)

    def _limits(self) -> CallerLimits:
        index = self._in_force.index
        return index.table.limits if index is not None else CallerLimits()

    async def _answer_readiness(self, _: CallerRequest, reply: Reply) -> None:
        status = 200 if self.is_ready else 503
        reply.whole(status, (), b"")

    async def _answer_scrape(self, _: CallerRequest, reply: Reply) -> None:
        kind = (b"Content-Type", b"text/plain; version=0.0.4")
        reply.whole(200, (kind,), self._metrics.render())

    def _add_gauges(self) -> None:
        gauge = self._metrics.gauge
        gauge("hollyknot_ready", lambda: float(self.is_ready))
        gauge("hollyknot_routes_version", lambda: float(self.table_version))
        gauge("hollyknot_upstreams_usable", lambda: float(len(self.upstreams)))
        gauge("hollyknot_peers_heard", lambda: float(self._peers.count))
        gauge(
            "hollyknot_requests_in_work", lambda: float(self._callers.in_work)
        )
        gauge(
            "hollyknot_caller_connections",
            lambda: float(self._callers.connections),
        )
        gauge(
            "hollyknot_upstream_connections_opened",
            lambda: float(self._pool.opened),
        )
        gauge("hollyknot_log_lines_waiting", lambda: float(self._log.waiting))
        gauge("hollyknot_log_lines_dropped", lambda: float(self._log.dropped))

    def _options(self, pause_s: float) -> FollowOptions:
        return FollowOptions(
            wait_s=WATCH_S,
            pause_s=pause_s,
            settle_s=self._settings.bounds.contact_s,
        )

    def _follow_tables(self) -> Follower[RouteTable]:
        return Follower(
            self._ports.tables(self._pool),
            self._options(0.0),
            lambda listing, _: self._take_tables(listing.items),
            lambda changes, _: self._take_tables(changes.items),
            self._log,
            self._rng,
            self._clock,
        )

    def _follow_upstreams(self) -> Follower[UpstreamEntry]:
        return Follower(
            self._ports.upstreams(self._pool),
            # Entries are renewed all the time, so that a watch ends at once:
            # without a pause each renewal would cost a read. Two fifths of the
            # bound for leaving upstreams is left to notice one.
            self._options(self._settings.bounds.drain_s * NOTICE_PART),
            self._take_listing,
            self._take_changes,
            self._log,
            self._rng,
            self._clock,
        )

    def _take_tables(self, tables: dict[str, RouteTable]) -> None:
        for table in tables.values():
            began = time.perf_counter()
            is_new = self._in_force.take_table(table)
            self._log.line(
                "routes",
                version=table.version,
                in_force=is_new,
                routes=len(table.routes),
                ms=round((time.perf_counter() - began) * 1000, 2),
            )

    def _take_listing(
        self, listing: Listing[UpstreamEntry], may_have_lapsed: bool
    ) -> None:
        self._in_force.fleet.replace(
            listing.items.values(),
            self._clock(),
            may_have_lapsed=may_have_lapsed,
        )
        self._in_force.has_fleet = True
        self._log.line(
            "upstreams",
            listed=len(listing.items),
            known=len(self._in_force.fleet),
            revision=listing.revision,
        )

    def _take_changes(
        self, changes: Changes[UpstreamEntry], may_have_lapsed: bool
    ) -> None:
        fleet = self._in_force.fleet
        for entry in changes.items.values():
            if fleet.put(entry):
                self._log.line(
                    "upstream",
                    upstream=entry.incarnation,
                    service=entry.service,
                    draining=entry.is_draining,
                    revision=changes.revision,
                )
            if entry.is_draining:
                self._pool.drop(entry.incarnation)
        for incarnation in changes.removed:
            fleet.remove(
                incarnation, self._clock(), may_have_lapsed=may_have_lapsed
            )
            self._log.line(
                "upstream_gone",
                upstream=incarnation,
                lapsed=may_have_lapsed,
                revision=changes.revision,
            )
            if incarnation not in fleet:
                self._pool.drop(incarnation)
                self._reachability.forget(incarnation)
                self._health.forget(incarnation)
                self._paces.forget(incarnation)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self._look_at_clocks()
            self._stalls.sweep()
            self._callers.sweep(self._clock())
            self._readiness.sweep(self._clock())
            self._pool.sweep()

    async def _report(self) -> None:
        """Tells peers of this host's work, and counts theirs."""
        while True:
            await asyncio.sleep(REPORT_S)
            now = self._clock()
            for host in self._peers.expire(now):
                self._log.line("peer_lost", peer=host)
            fresh = self._peers.fresh(now)
            self._loads.take_reports(fresh)
            self._paces.take(p for report in fresh for p in report.paces)
            self._look_at_silence(now)
            self._log_slow()
            self._demand.take(d for report in fresh for d in report.demands)
            self._budget.set_hosts(self._peers.count + 1)
            targets = self._peers.targets(now, REPORTED_PEERS)
            self._sequence += 1
            self._socket.send(self._own_report(), targets)

    def _own_report(self) -> HostReport:
        return HostReport(
            host=self._settings.host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            address=self._settings.peers,
            data_centre=self._settings.data_centre,
            table_version=self.table_version,
            is_stopping=self._is_stopping,
            uses=self._loads.uses(),
            demands=self._demand.told(self._clock()),
            paces=self._paces.told(),
            suspects=self._suspects.records(self._clock()),
            contacts=self._peers.contacts(),
        )

    def _take_report(self, report: HostReport) -> None:
        now = self._clock()
        self._suspects.on_records(report.suspects, now)
        if self._peers.take(report, now):
            self._log.line(
                "peer_met", peer=report.host, data_centre=report.data_centre
            )

    async def _reach(self) -> None:
        """Tries to connect to upstreams that could not be reached."""
        while True:
            await asyncio.sleep(SWEEP_S / 2)
            self._prober.check_all(self._reachability.due(self._clock()))
            self._suspects.expire(self._clock())

    def _log_slow(self) -> None:
        slow = self._paces.slow
        if slow != self._slow:
            self._log.line("slow_upstreams", now=",".join(sorted(slow)))
        self._slow = slow

    def _look_at_silence(self, now_s: float) -> None:
        """Probes the upstreams of data centres that have just gone silent."""
        silent = self._peers.silent_data_centres(now_s)
        for data_centre in silent - self._silent:
            self._log.line("data_centre_silent", silent=data_centre)
            self._prober.check_all(
                entry
                for entry in self._in_force.fleet.all_usable(now_s)
                if entry.data_centre == data_centre
            )
        self._silent = silent

    def _may_be_cut_off(self, entry: UpstreamEntry) -> bool:
        """Whether an upstream that refuses may only be behind a cut.

        Two upstreams that crash within a second in one data centre are taken
        for a cut too: their requests are spared, which costs one more crash.
        """
        if entry.data_centre in self._silent:
            return True
        others = [
            other
            for other in self._in_force.fleet.all_usable(self._clock())
            if other.data_centre == entry.data_centre
            and other.incarnation != entry.incarnation
        ]
        return bool(self._reachability.away(others))

    def _upstream_away(
        self, entry: UpstreamEntry, failure: ConnectFailure
    ) -> None:
        """Ends what hangs at an upstream, and looks at those beside it."""
        self._stalls.upstream_away(entry.incarnation)
        if failure is not ConnectFailure.TIMEOUT:
            return
        away = self._reachability.away
        beside = [
            other
            for other in self._in_force.fleet.all_usable(self._clock())
            if other.data_centre == entry.data_centre
        ]
        known = away(beside)
        self._prober.check_all(
            other for other in beside if other.incarnation not in known
        )

    def _look_at_clocks(self) -> None:
        """Drops kept connections if the host has been suspended.

        The steady clock does not count a suspension, so that connections seem
        to have been idle for a moment that their other ends gave up long ago.
        """
        suspended_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
        gone_s = suspended_s - self._suspended_s
        self._suspended_s = suspended_s
        if gone_s > SUSPENDED_S:
            self._log.line("suspended", seconds=round(gone_s, 2))
            self._pool.close()

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            self._log.flush()


async def _cancel(task: "asyncio.Task[None]") -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
