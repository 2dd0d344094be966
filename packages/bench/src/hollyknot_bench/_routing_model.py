"""A seeded model of many hosts that choose among the same upstreams.

Engines run up to their slots and queue the rest; they keep a few prefixes,
which shorten the time to the first byte. Load reports come once a second, late,
to all hosts at once: the worst case for herding. Times are seconds of a
virtual clock. Arrivals and the work of each request depend on the seed alone,
so that policies meet the same load.
"""

import functools
import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator

import attrs

from hollyknot_coordination.routing import (
    Choice,
    RoutingOptions,
    UpstreamTable,
)
from hollyknot_state import (
    HostList,
    HostListEntry,
    LoadReport,
    Nature,
    Outcome,
    RequestInfo,
    Role,
    Verdict,
)

POOL = "m"
DATA_CENTRE = "hall-a"
COMPLETE = Verdict(Outcome.COMPLETE)
REPORT_INTERVAL_S = 1.0
SAMPLE_INTERVAL_S = 0.1


@attrs.frozen
class RoutingScenario:
    """One run.

    Attributes:
        options: The hosts' routing options.
        reports_only: Whether hosts ignore the table and take the upstream
            with the least reported load, as a naive router does.
        hosts: Hosts, with equal parts of the load.
        upstreams: Engines.
        slots: Of each engine.
        use: Offered load over the engines' capacity, without warm prefixes.
        cold_s: Time to the first token of an unknown prefix.
        warm_s: The same of a kept prefix.
        decode_s: Time from first to last token.
        prefixes: Distinct prefixes, drawn by Zipf's law; 0 for none.
        kept: Prefixes that an engine keeps, least recently used first out.
        slow_factor: By how much engine 0 is slower while it straggles; it
            reports no load then.
        slow_from_s: When it starts to straggle.
        slow_to_s: When it heals.
        target_s: The target for the first byte, from arrival.
        report_lag_s: Age of load reports when hosts get them.
        seed: Of the run's randomness.
        duration_s: Of the run.
    """

    options: RoutingOptions = attrs.Factory(RoutingOptions)
    reports_only: bool = False
    hosts: int = 8
    upstreams: int = 16
    slots: int = 8
    utilisation: float = 0.8
    cold_s: float = 0.4
    warm_s: float = 0.1
    decode_s: float = 1.6
    prefixes: int = 0
    cached: int = 20
    slow_factor: float = 1.0
    slow_from_s: float = 0.0
    slow_to_s: float = 0.0
    target_s: float = 1.0
    report_lag_s: float = 0.5
    seed: int = 1
    duration_s: float = 120.0


@attrs.frozen
class RoutingSample:
    """One second of engine 0, the straggler.

    Attributes:
        at_s: When.
        limit_sum: The limits for it, over all hosts.
        in_flight: Requests there.
    """

    at_s: float
    limit_sum: int
    in_flight: int


@attrs.frozen
class RoutingResult:
    """What a run measured.

    Attributes:
        attainment: Share of requests with a first byte in target.
        median_s: Median time from arrival to the first byte.
        p99_s: Its 99th percentile.
        excess: Mean over time of the fullest engine's load above the mean
            load, in slots of one engine.
        warm: Share of requests that met a kept prefix.
        completed: Requests that ended.
        samples: Engine 0, once a second.
    """

    attainment: float
    median_s: float
    p99_s: float
    excess: float
    warm: float
    completed: int
    samples: tuple[RoutingSample, ...]


@attrs.frozen
class _ModelRequest:
    request: RequestInfo
    first_factor: float
    decode_factor: float


@attrs.define
class _Engine:
    name: str
    running: int = 0
    queue: deque[Callable[[], None]] = attrs.Factory(deque)
    cached: OrderedDict[int, None] = attrs.Factory(OrderedDict)

    @property
    def load(self) -> int:
        return self.running + len(self.queue)


class RoutingModel:
    """Plays one scenario."""

    def __init__(self, scenario: RoutingScenario) -> None:
        """Builds hosts and engines."""
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._tie_rng = random.Random(scenario.seed)
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order: Iterator[int] = itertools.count()
        self._engines = {
            f"e{i}": _Engine(f"e{i}") for i in range(scenario.upstreams)
        }
        self._reported = dict.fromkeys(self._engines, 0)
        self._waiting: list[deque[_ModelRequest]] = [
            deque() for _ in range(scenario.hosts)
        ]
        self._weights = list(
            itertools.accumulate(1 / (i + 1) for i in range(scenario.prefixes))
        )
        self._first_bytes: list[float] = []
        self._excess: list[float] = []
        self._samples: list[RoutingSample] = []
        self._met_target: dict[str, bool] = {}
        self._warm = 0
        self._tables = [self._table(i) for i in range(scenario.hosts)]

    def run(self) -> RoutingResult:
        """Plays the scenario to its end."""
        self._arrive()
        self._report()
        self._sample()
        while self._now_s < self._scenario.duration_s:
            self._now_s, _, event = heapq.heappop(self._events)
            event()
        times = sorted(self._first_bytes)
        in_target = sum(t <= self._scenario.target_s for t in times)
        count = len(times)
        return RoutingResult(
            attainment=in_target / count,
            median_s=times[count // 2],
            p99_s=times[int(count * 0.99)],
            excess=sum(self._excess) / len(self._excess),
            warm=self._warm / count,
            completed=count,
            samples=tuple(self._samples),
        )

    def _table(self, index: int) -> UpstreamTable:
        hosts = [
            HostListEntry(f"h{i}", Role.HOST, DATA_CENTRE, "127.0.0.1", 1)
            for i in range(self._scenario.hosts)
        ]
        engines = [
            HostListEntry(
                name, Role.ENGINE, DATA_CENTRE, "127.0.0.1", 1, (POOL,)
            )
            for name in self._engines
        ]
        rng = random.Random(self._scenario.seed * 1000 + index)
        table = UpstreamTable(
            self._scenario.options, f"h{index}", DATA_CENTRE, rng
        )
        table.on_host_list(HostList(1, tuple(hosts + engines)), 0.0)
        return table

    def _schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        entry = (self._now_s + delay_s, next(self._order), event)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        scenario = self._scenario
        service_s = scenario.cold_s + scenario.decode_s
        capacity = scenario.upstreams * scenario.slots / service_s
        self._schedule(
            self._rng.expovariate(capacity * scenario.utilisation), self._arrive
        )
        host = self._rng.randrange(scenario.hosts)
        request = RequestInfo(
            request_id=f"r{next(self._order)}",
            customer="c",
            request_class="day",
            tier=1,
            nature=Nature.IDEMPOTENT,
            pool=POOL,
            arrived_s=self._now_s,
            budget_s=scenario.target_s,
            prefix=self._prefix(),
        )
        work = _ModelRequest(
            request, self._rng.uniform(0.8, 1.2), self._rng.expovariate(1.0)
        )
        self._waiting[host].append(work)
        self._send(host)

    def _prefix(self) -> int:
        if not self._weights:
            return 0
        (prefix,) = self._rng.choices(
            range(1, len(self._weights) + 1), cum_weights=self._weights
        )
        return prefix

    def _send(self, host: int) -> None:
        waiting = self._waiting[host]
        while waiting:
            upstream = self._choose(host, waiting[0].request)
            if upstream is None:
                return
            work = waiting.popleft()
            engine = self._engines[upstream]
            engine.queue.append(
                functools.partial(self._start, host, engine, work)
            )
            self._run_next(engine)

    def _choose(self, host: int, request: RequestInfo) -> str | None:
        if self._scenario.reports_only:
            least = min(self._reported.values())
            best = [n for n, load in self._reported.items() if load == least]
            return self._tie_rng.choice(best)
        choice = self._tables[host].choose(request, self._now_s)
        return choice.upstream if isinstance(choice, Choice) else None

    def _run_next(self, engine: _Engine) -> None:
        while engine.queue and engine.running < self._scenario.slots:
            engine.running += 1
            engine.queue.popleft()()

    def _start(self, host: int, engine: _Engine, work: _ModelRequest) -> None:
        scenario = self._scenario
        request = work.request
        is_warm = request.prefix in engine.cached
        if request.prefix:
            engine.cached[request.prefix] = None
            engine.cached.move_to_end(request.prefix)
            if len(engine.cached) > scenario.cached:
                engine.cached.popitem(last=False)
        self._warm += is_warm
        factor = self._slow_factor(engine)
        first_s = scenario.warm_s if is_warm else scenario.cold_s
        first_s *= factor * work.first_factor
        decode_s = scenario.decode_s * factor * work.decode_factor
        self._schedule(first_s, lambda: self._first_byte(host, engine, request))
        self._schedule(
            first_s + decode_s, lambda: self._finish(host, engine, request)
        )

    def _slow_factor(self, engine: _Engine) -> float:
        scenario = self._scenario
        is_slow = scenario.slow_from_s <= self._now_s < scenario.slow_to_s
        return scenario.slow_factor if is_slow and engine.name == "e0" else 1.0

    def _first_byte(
        self, host: int, engine: _Engine, request: RequestInfo
    ) -> None:
        self._first_bytes.append(self._now_s - request.arrived_s)
        if not self._scenario.reports_only:
            self._tables[host].on_first_byte(
                engine.name, request.request_id, self._now_s
            )
        met = self._now_s - request.arrived_s <= self._scenario.target_s
        self._met_target[request.request_id] = met

    def _finish(self, host: int, engine: _Engine, request: RequestInfo) -> None:
        engine.running -= 1
        met = self._met_target.pop(request.request_id)
        if not self._scenario.reports_only:
            self._tables[host].on_finished(
                engine.name, request.request_id, COMPLETE, self._now_s, met
            )
        self._run_next(engine)
        self._send(host)

    def _report(self) -> None:
        loads = {
            e.name: (e.running, len(e.queue)) for e in self._engines.values()
        }
        if self._slow_factor(self._engines["e0"]) > 1.0:
            loads["e0"] = (0, 0)
        self._schedule(
            self._scenario.report_lag_s, lambda: self._deliver(loads)
        )
        self._schedule(REPORT_INTERVAL_S, self._report)

    def _deliver(self, loads: dict[str, tuple[int, int]]) -> None:
        age_ms = int(self._scenario.report_lag_s * 1000)
        for name, (running, queued) in loads.items():
            self._reported[name] = running + queued
            report = LoadReport(
                running, queued, self._scenario.slots, False, age_ms
            )
            for table in self._tables:
                table.on_load_report(name, report, self._now_s)

    def _sample(self) -> None:
        loads = [e.load for e in self._engines.values()]
        mean = sum(loads) / len(loads)
        self._excess.append((max(loads) - mean) / self._scenario.slots)
        if len(self._excess) % int(1 / SAMPLE_INTERVAL_S) == 1:
            self._sample_first_engine()
        self._schedule(SAMPLE_INTERVAL_S, self._sample)

    def _sample_first_engine(self) -> None:
        views = [
            v
            for table in self._tables
            for v in table.view(self._now_s)
            if v.name == "e0"
        ]
        limit_sum = sum(v.limit for v in views)
        self._samples.append(
            RoutingSample(self._now_s, limit_sum, self._engines["e0"].load)
        )
