"""Simulates hosts in front of upstreams that crash or are cut off.

The hosts' own parts decide about lost answers: registers of suspects, loss
classifiers, probers and the gossip between hosts. Upstreams, callers and the
directory are simulated, and time is virtual.
"""

import asyncio
import os
import random
from collections.abc import Coroutine, Iterator
from typing import Any, cast

import attrs

from hollyknot_coordination.suspects import Refuse, RequestIdentity, Trial
from hollyknot_gateway._log import Log
from hollyknot_gateway._loss_classifier import LossClassifier, PartitionSigns
from hollyknot_gateway._pool import ConnectFailure, Pool
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._upstream_connection import UpstreamConnection
from hollyknot_gateway.tests._crash_load import CONTACT_S, Load, Report
from hollyknot_gateway.tests._neighbour_network import (
    DATA_CENTRES,
    Host,
    Network,
)
from hollyknot_state import Address, Outcome, Reason, Verdict
from hollyknot_state.routes import UpstreamEntry

LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
GOOD = Verdict(Outcome.COMPLETE)

ENGINES = "engines"
PLAIN = "plain"

DISCOVERY_S = 6.0
"""Seconds until all hosts know each other."""

ROLL_FROM_S = 6.0
"""Seconds from the first request to the first restart of a host."""

CRASH_DELAY_S = 0.08
"""Seconds from the arrival of a crashing request to the crash."""

_ROUND_TRIP_S = 0.002
_PROBE_INTERVAL_S = 0.05
_LAPSE_S = 2.3
"""Seconds from a crash until the directory drops the upstream's entry."""

_LISTING_S = 0.3
"""Seconds from an upstream's start until all hosts have its entry."""

_RUN_S = (0.2, 1.5)
"""Shortest and longest time of an innocent request in seconds."""

_MAX_TRIES = 30
_MASK = 2**60 - 1


@attrs.define(eq=False)
class _Upstream:
    """A simulated upstream; its successors have other entries.

    Attributes:
        entry: The entry of the running incarnation.
        is_up: Whether it listens.
        ended: Set when the running incarnation ends.
        starts: Number of incarnations so far.
    """

    entry: UpstreamEntry
    is_up: bool = True
    ended: asyncio.Event = attrs.Factory(asyncio.Event)
    starts: int = 1


@attrs.define
class _SimulatedPool:
    """Opens connections of one host in the simulated network."""

    fleet: "CrashFleet"
    data_centre: str

    async def open(
        self, address: Address, timeout_s: float
    ) -> UpstreamConnection | ConnectFailure:
        """Connects, unless the upstream is down or behind a partition."""
        del timeout_s
        await asyncio.sleep(_ROUND_TRIP_S)
        upstream = self.fleet.upstream_at(address)
        if self.fleet.is_cut(self.data_centre, upstream.entry.data_centre):
            return ConnectFailure.REFUSED
        if not upstream.is_up:
            return ConnectFailure.REFUSED
        return cast(UpstreamConnection, None)

    def release(self, incarnation: str, connection: UpstreamConnection) -> None:
        """Does nothing, as connections are not kept."""

    def drop(self, incarnation: str) -> None:
        """Does nothing, as connections are not kept."""


@attrs.define(eq=False)
class _Router:
    """One host with the parts that decide about losses.

    Attributes:
        host: The host.
        data_centre: Its data centre.
        prober: Probes upstreams.
        losses: Judges lost answers.
        is_up: Whether its process runs.
        takes_requests: Whether callers send to it.
        started_s: Time in seconds at which its process started.
    """

    host: Host
    data_centre: str
    prober: Prober
    losses: LossClassifier
    is_up: bool = True
    takes_requests: bool = True
    started_s: float = float("-inf")


class CrashFleet:
    """Hosts, upstreams and callers of one simulation."""

    def __init__(self, load: Load) -> None:
        """Builds the fleet; `run` plays the load."""
        self.report = Report()
        self._load = load
        self._rng = random.Random(load.seed)
        self._network = Network(load.hosts, load.seed, is_busy=load.is_busy)
        self._network.is_cut = self.is_cut
        self._cut = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._cut_began = asyncio.Event()
        self._by_address: dict[Address, _Upstream] = {}
        self._log = Log("h", "d", os.open(os.devnull, os.O_WRONLY))
        for service, count in ((ENGINES, load.engines), (PLAIN, load.plain)):
            for number in range(count):
                self._add(service, number)
        self._routers = [
            self._router(number, host)
            for number, host in enumerate(self._network.hosts)
        ]
        for upstream in self._by_address.values():
            self._list(upstream.entry)

    def upstream_at(self, address: Address) -> _Upstream:
        """Returns the upstream that has an address."""
        return self._by_address[address]

    def is_cut(self, one: str, other: str) -> bool:
        """Whether two data centres are partitioned from each other."""
        return self._cut and one != other and DATA_CENTRES[0] in (one, other)

    async def run(self) -> Report:
        """Plays the load and returns what was observed."""
        load = self._load
        self._network.start()
        for router in self._routers:
            self._spawn(self._probe(router))
        await asyncio.sleep(DISCOVERY_S)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + load.seconds
        self._spawn(self._send_innocents(until_s))
        for _ in range(load.culprits):
            culprit = self._rng.getrandbits(60)
            self._spawn(self._send_culprit(culprit, until_s))
        if load.crash_interval_s:
            self._spawn(self._crash_others(until_s))
        for at_s, length_s in load.cuts:
            self._spawn(self._cut_off(at_s, length_s))
        for at_s in load.ends:
            self._spawn(self._end_data_centre(at_s))
        for number in range(load.rolls):
            half_s = load.hosts * load.roll_gap_s / 2
            self._spawn(self._roll(ROLL_FROM_S + number * half_s))
        for at_s, share in load.kills:
            self._spawn(self._kill(at_s, share))
        await asyncio.sleep(load.seconds + 2.0)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._network.stop()
        return self.report

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _add(self, service: str, number: int) -> None:
        name = f"{service}-{number}"
        address = Address("10.9.0.1", 1000 + len(self._by_address))
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        entry = UpstreamEntry(name, service, address, data_centre, 48)
        self._by_address[address] = _Upstream(entry)

    def _router(self, number: int, host: Host) -> _Router:
        loop = asyncio.get_running_loop()
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        prober = Prober(
            cast(Pool, _SimulatedPool(self, data_centre)),
            host.reachability,
            host.partitions.on_upstream_unreachable,
            lambda _: None,
            self._log,
            loop.time,
        )
        host.partitions._prober = prober
        losses = LossClassifier(
            host.all_suspects,
            prober,
            PartitionSigns(
                host.partitions.sign,
                host.partitions.others_to_probe,
                lambda entry: host.registry.has_successor(entry, loop.time()),
            ),
            self._log,
            loop.time,
        )
        return _Router(host, data_centre, prober, losses)

    async def _roll(self, at_s: float) -> None:
        """Stops and starts all hosts in turn, each overlapping the next."""
        await asyncio.sleep(at_s)
        order = list(range(self._load.hosts))
        self._rng.shuffle(order)
        for number in order:
            self._spawn(self._restart_host(number, self._load.drain_s))
            await asyncio.sleep(self._load.roll_gap_s)

    async def _kill(self, at_s: float, share: float) -> None:
        """Kills some hosts at once, which are back after a while."""
        await asyncio.sleep(at_s)
        count = round(share * self._load.hosts)
        for number in self._rng.sample(range(self._load.hosts), count):
            self._spawn(self._restart_host(number, 0.0))

    async def _restart_host(self, number: int, drain_s: float) -> None:
        """Replaces the process of a host, unless that has begun already."""
        ended = self._routers[number]
        if not ended.takes_requests:
            return
        ended.takes_requests = False
        await asyncio.sleep(drain_s)
        ended.is_up = False
        self._network.end(number)
        await asyncio.sleep(self._load.down_s)
        router = self._router(number, self._network.restart(number))
        router.takes_requests = False
        router.started_s = asyncio.get_running_loop().time()
        self._routers[number] = router
        for upstream in self._by_address.values():
            if upstream.is_up:
                router.host.registry.put(upstream.entry)
        self._spawn(self._probe(router))
        while not router.host.neighbours.is_informed:
            await asyncio.sleep(_PROBE_INTERVAL_S)
        router.takes_requests = True

    def _choose_router(self) -> _Router | None:
        """Returns a host that takes requests, if there is any."""
        found = [router for router in self._routers if router.takes_requests]
        return self._rng.choice(found) if found else None

    def _list(self, entry: UpstreamEntry) -> None:
        """Writes an entry to the directories of all hosts."""
        for router in self._routers:
            router.host.registry.put(entry)
            self._handle_ended(router)

    def _unlist(self, entry: UpstreamEntry) -> None:
        """Drops an entry, as its lease has run out."""
        now_s = asyncio.get_running_loop().time()
        for router in self._routers:
            router.host.registry.remove(entry.name, now_s)
            self._handle_ended(router)

    def _handle_ended(self, router: _Router) -> None:
        now_s = asyncio.get_running_loop().time()
        router.host.registry.all_serving(now_s)
        for ended in router.host.registry.pop_ended():
            router.host.reachability.forget(ended.incarnation)

    async def _probe(self, router: _Router) -> None:
        """Probes unreachable upstreams and drops old evidence, as hosts do."""
        while router.is_up:
            await asyncio.sleep(_PROBE_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            router.prober.check_all(router.host.reachability.due(now_s))
            router.losses.settle()
            router.host.suspects.expire(now_s)

    def _crash(self, upstream: _Upstream) -> bool:
        """Ends an upstream's process; returns whether it was running."""
        if not upstream.is_up:
            return False
        upstream.is_up = False
        upstream.ended.set()
        self._spawn(self._restart(upstream))
        return True

    async def _restart(self, upstream: _Upstream) -> None:
        """Starts the successor of a crashed upstream at its address."""
        crashed = upstream.entry
        downtime_s = self._load.downtime_s
        if downtime_s >= _LAPSE_S:
            await asyncio.sleep(_LAPSE_S)
            self._unlist(crashed)
            downtime_s -= _LAPSE_S
        await asyncio.sleep(downtime_s)
        name = f"{crashed.name.partition('+')[0]}+{upstream.starts}"
        upstream.starts += 1
        upstream.entry = attrs.evolve(crashed, name=name)
        upstream.ended = asyncio.Event()
        upstream.is_up = True
        await asyncio.sleep(_LISTING_S)
        self._list(upstream.entry)

    async def _send_innocents(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.expovariate(self._load.rate))
            self._spawn(self._ask(self._rng.getrandbits(60)))

    async def _send_culprit(self, fingerprint: int, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            rate = self._load.culprits_per_s
            await asyncio.sleep(self._rng.expovariate(rate))
            router = self._choose_router()
            if router is not None:
                self._spawn(self._try_culprit(router, fingerprint))

    async def _try_culprit(self, router: _Router, fingerprint: int) -> None:
        """Sends a culprit once, unless its host refuses it."""
        loop = asyncio.get_running_loop()
        upstream = await self._choose(router, fingerprint)
        if upstream is None or isinstance(upstream, float):
            return
        entry = upstream.entry
        if loop.time() - router.started_s >= CONTACT_S:
            self.report.sends[fingerprint].append(loop.time())
        lost = [fingerprint]
        if len(self.report.crashes[fingerprint]) < self._load.shared_crashes:
            lost.append(~fingerprint & _MASK)
        for number in lost:
            router.host.suspects.on_dispatch(number, entry.incarnation)
        try:
            async with asyncio.timeout(CRASH_DELAY_S):
                await upstream.ended.wait()
        except TimeoutError:
            if self._crash(upstream):
                self.report.crashes[fingerprint].append(loop.time())
        for number in lost:
            router.losses.on_try_end(entry, RequestIdentity(number), LOST)

    async def _ask(self, fingerprint: int) -> None:
        """Sends an innocent request until it is answered."""
        loop = asyncio.get_running_loop()
        refused_since_s: float | None = None
        for _ in range(_MAX_TRIES):
            router = self._choose_router()
            if router is None:
                await asyncio.sleep(0.1)
                continue
            upstream = await self._choose(router, fingerprint)
            if isinstance(upstream, float):
                refused_since_s = refused_since_s or loop.time()
                await asyncio.sleep(upstream)
                continue
            if refused_since_s is not None:
                self.report.refused_s.append(loop.time() - refused_since_s)
                refused_since_s = None
            if upstream is None:
                await asyncio.sleep(0.1)
                continue
            if await self._runs(router, upstream, fingerprint):
                return
            self.report.lost += 1
            await asyncio.sleep(0.01)
        if refused_since_s is not None:
            self.report.refused_s.append(loop.time() - refused_since_s)

    async def _runs(
        self, router: _Router, upstream: _Upstream, fingerprint: int
    ) -> bool:
        """Runs an innocent request; returns whether it was answered."""
        entry = upstream.entry
        router.host.suspects.on_dispatch(fingerprint, entry.incarnation)
        waits = [asyncio.create_task(upstream.ended.wait())]
        if DATA_CENTRES[0] in (router.data_centre, entry.data_centre):
            waits.append(asyncio.create_task(self._cut_began.wait()))
        run_s = self._rng.uniform(*_RUN_S)
        done, pending = await asyncio.wait(
            waits, timeout=run_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in pending:
            task.cancel()
        is_cut = self.is_cut(router.data_centre, entry.data_centre)
        is_lost = upstream.ended.is_set() or is_cut
        verdict = LOST if done and is_lost else GOOD
        router.losses.on_try_end(entry, RequestIdentity(fingerprint), verdict)
        return verdict is GOOD

    async def _choose(
        self, router: _Router, fingerprint: int
    ) -> _Upstream | float | None:
        """Chooses as a host does, but among its reachable upstreams at random.

        Returns:
            The upstream; seconds until a retry if the host refuses the request;
            None if no upstream could be connected to.
        """
        now_s = asyncio.get_running_loop().time()
        host = router.host
        gate = host.suspects.gate(fingerprint, now_s)
        if isinstance(gate, Refuse):
            return gate.verdict.retry_after_s
        if isinstance(gate, Trial):
            wait_s = await host.neighbours.trials.ask(gate, "")
            if wait_s:
                return wait_s
        usable = host.registry.usable(ENGINES, now_s)
        avoided = host.reachability.unreachable(usable)
        excluded = gate.exclude
        for barred in (avoided | excluded, avoided):
            found = [e for e in usable if e.incarnation not in barred]
            if found:
                break
        else:
            return None
        entry = self._rng.choice(found)
        upstream = self._by_address[entry.address]
        is_cut = self.is_cut(router.data_centre, entry.data_centre)
        if is_cut or not upstream.is_up or upstream.entry is not entry:
            router.prober.failed(entry, ConnectFailure.REFUSED)
            return None
        return upstream

    async def _crash_others(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            mean_s = self._load.crash_interval_s
            await asyncio.sleep(self._rng.expovariate(1 / mean_s))
            running = list(self._running())
            if len(running) > self._load.engines // 2:
                self._crash(self._rng.choice(running))

    def _running(self) -> Iterator[_Upstream]:
        return (
            upstream
            for upstream in self._by_address.values()
            if upstream.is_up and upstream.entry.service == ENGINES
        )

    async def _cut_off(self, at_s: float, length_s: float) -> None:
        await asyncio.sleep(at_s)
        self._cut = True
        self._cut_began.set()
        self._cut_began = asyncio.Event()
        await asyncio.sleep(length_s)
        self._cut = False

    async def _end_data_centre(self, at_s: float) -> None:
        await asyncio.sleep(at_s)
        for upstream in list(self._by_address.values()):
            if upstream.entry.data_centre == DATA_CENTRES[-1]:
                self._crash(upstream)
