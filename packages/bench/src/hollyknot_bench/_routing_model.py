"""Models many hosts that route requests to the same upstreams.

An engine runs as many requests as it has slots and queues the rest; it caches a
few prefixes, which shortens the time to the first byte. Load reports reach all
hosts at once, each second and with a delay, which is the worst case for
herding. Times are seconds of a virtual clock. Arrivals and the length of each
request depend on the seed alone, so that all policies get the same load.
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
    """Parameters of one run of the model.

    Attributes:
        options: Routing options of the hosts.
        reports_only: Whether hosts ignore the table and choose the upstream
            with the least reported load, as a naive router does.
        hosts: Number of hosts; each gets an equal share of the requests.
        upstreams: Number of engines.
        slots: Number of requests that an engine runs at once.
        utilisation: Offered load over the engines' capacity, if no prefix were
            cached.
        cold_s: Time to first token if the prefix is not cached, in seconds.
        warm_s: Time to first token if the prefix is cached, in seconds.
        decode_s: Mean time from the first to the last token, in seconds.
        prefixes: Number of distinct prefixes, which are drawn by Zipf's law; 0
            for requests without prefixes.
        cached: Number of prefixes that an engine caches; the least recently
            used one is evicted first.
        slow_factor: Factor by which engine 0 is slower while it straggles; it
            also reports that it is idle then.
        slow_from_s: Time at which engine 0 starts to straggle, in seconds.
        slow_to_s: Time at which engine 0 recovers, in seconds.
        target_s: Target for the time from arrival to first byte, in seconds.
        report_lag_s: Age of a load report when hosts receive it, in seconds.
        seed: Seed of all randomness in the run.
        duration_s: Length of the run, in seconds.
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
    """State of engine 0, the straggler, at one moment.

    Attributes:
        at_s: Time of the sample, in seconds.
        limit_sum: Sum of all hosts' concurrency limits for the engine.
        in_flight: Number of requests that run or queue at the engine.
    """

    at_s: float
    limit_sum: int
    in_flight: int


@attrs.frozen
class RoutingResult:
    """Results of one run of the model.

    Attributes:
        attainment: Share of requests whose first byte met the target, 0 to 1.
        median_s: Median time from arrival to first byte, in seconds.
        p99_s: 99th percentile of the time from arrival to first byte, in
            seconds.
        excess: Mean over time of the difference between the highest load of an
            engine and the mean load, as a multiple of an engine's slots.
        warm: Share of requests whose prefix was cached, 0 to 1.
        completed: Number of requests that got a first byte.
        samples: States of engine 0, one per second.
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
    """Simulates one scenario."""

    def __init__(self, scenario: RoutingScenario) -> None:
        """Builds the hosts and engines of a scenario, without load."""
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
        """Runs the scenario to its end and returns the results."""
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
