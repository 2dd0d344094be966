"""Simulates a load under a virtual clock, with the router's own decisions.

Each of several hosts keeps its own view of loads, lanes and caches; reports
between hosts are as old as they are in a fleet, and engines batch requests.
Bytes, connections and health are left out, since only decisions are compared.
"""

import itertools
import math
import random
from collections.abc import Callable

import attrs

from hollyknot_bench.experiment._clock import Clock
from hollyknot_bench.experiment._engine import Engine, EngineRequest
from hollyknot_bench.experiment._host import Host, make_host
from hollyknot_bench.experiment._host_network import HostNetwork
from hollyknot_bench.experiment._load import Load, Request, draw_requests
from hollyknot_bench.experiment._outcome import Outcome, RequestOutcome
from hollyknot_coordination.forwarding import (
    BRIEF_RESERVE,
    SHED_RETRY_AFTER_S,
    Choice,
    HostCount,
    NamedLimits,
    Permits,
    PlacedRequest,
    RouteIndex,
    Shed,
    TooSlow,
    Tracker,
    Trackers,
    runs_of,
)
from hollyknot_state import Address, HostReport
from hollyknot_state.routes import (
    CallTraits,
    KeyOwner,
    PromptPart,
    RequiredKeys,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Share,
    UpstreamEntry,
)
from hollyknot_state.routes import (
    Engine as EngineService,
)

NETWORK_LATENCY_S = 0.003
"""One-way latency between callers, hosts and engines."""

SHED_RETRY_JITTER = 0.5
"""By how much the wait before a shed request is retried varies either way."""

SWEEP_S = 0.25
"""Seconds between two sizings of a host's lanes."""

DRAIN_S = 20.0
"""Time that a run goes on after sending ends, so that requests can end."""

_SERVICE = "engines"

_MAX_TRIES = 2
"""Number of engines to which one request may be sent."""


class Play:
    """One simulated run of a load."""

    def __init__(
        self,
        load: Load,
        seed: int,
        make: Callable[[random.Random], Host] = make_host,
        *,
        is_shared: bool = False,
        asks: bool = True,
    ) -> None:
        """Draws the requests and builds the hosts and engines.

        Args:
            load: Load that is simulated.
            seed: Seed of the requests and of the hosts' random choices.
            make: Makes a host; pass another function to compare policies.
            asks: Whether hosts query trackers before they choose an engine.
            is_shared: Whether all hosts share the state of one host, as if
                reports were instant and free. The result bounds what better
                knowledge could gain.
        """
        self._load = load
        self._clock = Clock()
        self._rng = random.Random(seed + 1)
        self._requests = draw_requests(load, seed)
        self._hosts = [
            make(random.Random(seed * 1000 + number))
            for number in range(load.hosts)
        ]
        if is_shared:
            self._hosts = self._hosts[:1] * load.hosts
        self._is_shared = is_shared
        self._asks = asks and not is_shared
        slowness = itertools.cycle(load.slowness)
        self._engines = [
            Engine(load.engine, next(slowness), number)
            for number in range(load.engines)
        ]
        self._entries = [self._entry(n, 0) for n in range(load.engines)]
        self._by_incarnation = {e.incarnation: e for e in self._entries}
        self._host_network = HostNetwork(
            self._clock, self._hosts, self._rng, self._by_incarnation.get
        )
        self._index = RouteIndex(_table(load))
        self._service = Service(_SERVICE, EngineService(load.engine.slots))
        self._ended = {r.number: RequestOutcome(r) for r in self._requests}
        self._reports: dict[int, HostReport] = {}
        self._rate_limits = NamedLimits()
        self._permits = self._make_permits()

    def run(self) -> Outcome:
        """Runs the simulation to its end and returns the outcome."""
        for request in self._requests:
            self._call_at(request.at_s, self._arrive, request, request.host)
        for crash in self._load.crashes:
            for number in self._rng.sample(
                range(self._load.engines), crash.engines
            ):
                self._call_at(crash.at_s, self._crash, number)
                back_s = crash.at_s + crash.for_s
                self._call_at(back_s, self._restart, number)
        for limit in self._load.limits:
            for number in limit.engines:
                self._call_at(
                    limit.at_s, self._set_rate_limit, number, limit.rate
                )
                end_s = limit.at_s + limit.for_s
                self._call_at(end_s, self._set_rate_limit, number, None)
        self._begin_reports()
        self._refresh_lanes()
        until_s = self._load.length_s + DRAIN_S
        self._clock.run(until_s)
        time_s = self._load.length_s * self._load.engines
        return Outcome(
            tuple(self._ended.values()),
            sum(e.tokens_read for e in self._engines),
            sum(e.tokens_read_again for e in self._engines),
            sum(e.preemptions for e in self._engines),
            sum(e.prefill_busy_s for e in self._engines) / time_s,
        )

    def _make_permits(self) -> Permits:
        """Returns the permits that all hosts share, at once and at no cost."""
        own = Tracker(0, Address("10.0.1.1", 1), "one")
        return Permits(
            Trackers(own, tuple),
            HostCount(-math.inf, is_alone=True),
            self._rate_limits,
            self._by_incarnation.get,
            self._rng,
        )

    def _set_rate_limit(self, number: int, rate: float | None) -> None:
        """Makes an engine's rate limit known to all hosts; None ends it."""
        name = self._entries[number].incarnation
        now_s = self._clock.now_s
        self._rate_limits.observe(name, rate, now_s, now_s)

    def _refresh_lanes(self) -> None:
        """Lets each host size its lanes again, as often as a real host does."""
        for host in self._hosts:
            host.placement.refresh_lanes(self._clock.now_s)
        self._call_at(self._clock.now_s + SWEEP_S, self._refresh_lanes)

    def _begin_reports(self) -> None:
        if self._is_shared:
            return
        if self._asks:
            self._host_network.begin_notes()
        if not self._load.report_s:
            self._host_network.begin_reports()
            return
        for number in range(self._load.hosts):
            first_s = self._rng.random() * self._load.report_s
            self._call_at(first_s, self._report, number, 1)

    def _call_at(
        self, when_s: float, call: Callable[..., None], *args: object
    ) -> None:
        self._clock.at(when_s, lambda: call(*args))

    def _entry(self, number: int, born_ms: int) -> UpstreamEntry:
        name = f"engine-{number}"
        address = Address("10.0.0.1", number + 1)
        slots = self._load.engine.slots
        return UpstreamEntry(
            name, _SERVICE, address, "one", slots, born_ms=born_ms
        )

    def _report(self, number: int, sequence: int) -> None:
        host = self._hosts[number]
        report = HostReport(
            host=str(number),
            incarnation=number,
            sequence=sequence,
            address=Address("10.0.1.1", number + 1),
            data_centre="one",
            table_version=1,
            uses=host.loads.uses(),
            demands=host.demand.to_report(self._clock.now_s),
            held=host.cached.to_report(self._clock.now_s),
        )
        self._reports[number] = report
        for other, peer in enumerate(self._hosts):
            received = [r for n, r in self._reports.items() if n != other]
            peer.loads.replace_reports(received)
            peer.demand.apply_reported(d for r in received for d in r.demands)
            peer.cached.apply_reported(report.held, self._clock.now_s)
        again_s = self._clock.now_s + self._load.report_s
        self._call_at(again_s, self._report, number, sequence + 1)

    def _crash(self, number: int) -> None:
        self._engines[number].crash(self._clock.now_s)

    def _restart(self, number: int) -> None:
        self._engines[number].recover()
        entry = self._entry(number, int(self._clock.now_s * 1000))
        self._entries[number] = entry
        self._by_incarnation[entry.incarnation] = entry

    def _usable(self) -> list[UpstreamEntry]:
        pairs = zip(self._entries, self._engines, strict=True)
        return [entry for entry, engine in pairs if not engine.is_down]

    def _arrive(self, request: Request, number: int) -> None:
        """Receives a request; queries loads before placement if allowed."""
        host = self._hosts[number]
        now_s = self._clock.now_s
        if not self._is_shared and not self._load.report_s:
            self._host_network.reporters[number].apply_fresh_reports(now_s)
        host.forecasts.note_request(request.kind.name, request.hint)
        if now_s - request.at_s >= request.kind.timeout_s:
            return
        route = self._index.table.routes[_route_index(self._load, request)]
        call = _call(request)
        if not self._asks or not self._host_network.may_ask(number):
            self._place(request, number, [])
            return
        asked = host.placement.shortlist(
            self._service,
            self._usable(),
            call,
            frozenset(),
            now_s,
            is_loose=self._index.is_loose(route, _SERVICE),
            is_brief=not self._host_network.may_ask(number, BRIEF_RESERVE),
        )
        self._host_network.ask(
            number,
            asked,
            runs_of(call.prompt),
            lambda: self._place(request, number, asked),
        )

    def _place(
        self, request: Request, number: int, asked: list[UpstreamEntry]
    ) -> None:
        host = self._hosts[number]
        now_s = self._clock.now_s
        entries = self._usable()
        if not entries:
            return
        route = self._index.table.routes[_route_index(self._load, request)]
        urgency = self._index.urgency(route, KeyOwner("c", request.rank))
        sheds_from = self._index.shed_from_urgency(_SERVICE)
        is_loose = self._index.is_loose(route, _SERVICE)
        call = _call(request)
        unlimited = [
            e for e in asked or entries if not self._permits.is_limited(e)
        ]
        if urgency >= sheds_from and isinstance(
            host.shedding.decide(unlimited or entries, sheds_from, now_s), Shed
        ):
            self._refuse(request)
            return
        is_least_urgent = urgency >= sheds_from
        closed = self._permits.blocked(
            entries, now_s, is_least_urgent=is_least_urgent
        )
        choice = host.placement.choose(
            self._service,
            entries,
            call,
            closed,
            now_s,
            is_loose=is_loose,
            urgency=urgency,
            among=frozenset(entry.incarnation for entry in asked),
            limited=self._permits.limited(entries),
        )
        if not isinstance(choice, Choice):
            self._refuse(request)
            return
        if self._permits.is_limited(choice.entry):
            permit, _ = self._permits.ask(
                choice.entry, now_s, is_least_urgent=is_least_urgent
            )
            if not permit.is_issued:
                self._place(request, number, asked)
                return
        if urgency >= sheds_from and self._is_too_slow(request, host, choice):
            self._refuse(request)
            return
        work = host.placement.begin(
            choice, call, now_s, is_loose=is_loose, urgency=urgency
        )
        self._send(request, host, choice, work)

    def _is_too_slow(
        self, request: Request, host: Host, choice: Choice
    ) -> bool:
        now_s = self._clock.now_s
        kind = request.kind
        needed_s = host.forecasts.duration_s(
            choice.entry.incarnation, kind.name, now_s
        )
        if needed_s is None:
            return False
        remaining_s = request.at_s + kind.timeout_s - now_s - kind.first_s
        found = host.shedding.decide_by_time(needed_s, remaining_s)
        return isinstance(found, TooSlow)

    def _refuse(self, request: Request) -> None:
        ended = self._ended[request.number]
        ended.refusals += 1
        if ended.refusals > 1:
            return
        spread = self._rng.uniform(1 - SHED_RETRY_JITTER, 1 + SHED_RETRY_JITTER)
        remaining_s = request.at_s + request.kind.timeout_s - self._clock.now_s
        wait_s = min(SHED_RETRY_AFTER_S * spread, remaining_s / 3)
        host = self._rng.randrange(self._load.hosts)
        self._call_at(self._clock.now_s + wait_s, self._arrive, request, host)

    def _send(
        self, request: Request, host: Host, choice: Choice, work: PlacedRequest
    ) -> None:
        clock = self._clock
        ended = self._ended[request.number]
        ended.expected = choice.tokens
        sent_s = clock.now_s
        engine = self._engines[choice.entry.address.port - 1]
        state = _Stream(request.at_s + request.kind.timeout_s)

        def on_event(when_s: float, is_last: bool) -> None:
            self._call_at(when_s + NETWORK_LATENCY_S, on_received, is_last)

        def on_received(is_last: bool) -> None:
            if state.is_over:
                return
            now_s = clock.now_s
            if not state.last_s:
                ended.first_s = ended.first_s or now_s - request.at_s
                host.placement.start(work)
                host.speeds.observe(
                    choice.entry.incarnation,
                    choice.tokens,
                    choice.queued_tokens,
                    now_s - sent_s,
                )
            else:
                interval_s = now_s - state.last_s
                state.intervals += 1
                host.forecasts.note_interval(
                    choice.entry.incarnation, interval_s, now_s
                )
                ended.gap_s = max(ended.gap_s, interval_s)
            state.last_s = now_s
            if is_last:
                ended.is_whole = now_s <= state.deadline_s
                if ended.is_whole and state.intervals:
                    host.forecasts.note_answer(
                        request.kind.name, request.hint, state.intervals
                    )
                finish()

        def finish() -> None:
            if not state.is_over:
                state.is_over = True
                ended.read = run.read
                host.placement.end(work)
                engine.cancel(run)

        def on_lost(_: float) -> None:
            if state.is_over:
                return
            finish()
            ended.tries += 1
            if request.kind.resumes and ended.tries < _MAX_TRIES:
                self._arrive(request, request.host)

        run = EngineRequest(
            request.prompt,
            request.out_tokens,
            work.urgency,
            on_event,
            on_lost,
            self._engine_of(choice.source),
        )

        def submit() -> None:
            if engine.is_down:
                finish()
            else:
                engine.submit(run, clock.now_s)
                self._schedule_step(engine)

        self._call_at(clock.now_s + NETWORK_LATENCY_S, submit)
        self._call_at(state.deadline_s, finish)

    def _engine_of(self, entry: UpstreamEntry | None) -> Engine | None:
        return None if entry is None else self._engines[entry.address.port - 1]

    def _schedule_step(self, engine: Engine) -> None:
        """Schedules the end of an engine's current step, at most once."""
        if engine.next_s is None or engine.is_scheduled:
            return
        engine.is_scheduled = True
        self._call_at(engine.next_s, self._step, engine)

    def _step(self, engine: Engine) -> None:
        engine.is_scheduled = False
        if engine.next_s is not None:
            engine.step()
            self._schedule_step(engine)


@attrs.define
class _Stream:
    """State that a host keeps of a stream that it relays."""

    deadline_s: float
    last_s: float = 0.0
    intervals: int = 0
    is_over: bool = False


def _route_index(load: Load, request: Request) -> int:
    return load.classes.index(request.kind)


def _call(request: Request) -> CallTraits:
    return CallTraits(
        attempt_id=str(request.number),
        prompt=tuple(PromptPart(n, tokens) for n, tokens in request.prompt),
        prompt_tokens=request.tokens,
    )


def _table(load: Load) -> RouteTable:
    routes = tuple(
        Route(
            name=kind.name,
            host="h.example",
            prefix=f"/{kind.name}/",
            kind=RouteKind.STREAM,
            shares=(Share(_SERVICE, 1),),
            timeout_s=kind.timeout_s,
            target_s=kind.first_s,
            gap_target_s=kind.gap_s,
            priority=kind.priority,
            has_prompts=True,
        )
        for kind in load.classes
    )
    service = Service(_SERVICE, EngineService(load.engine.slots))
    owner = KeyOwner("customer", 0)
    keys = RequiredKeys({"key": owner}, (owner,))
    return RouteTable(1, routes, {_SERVICE: service}, keys=keys)


def play(
    load: Load,
    seed: int,
    make: Callable[[random.Random], Host] = make_host,
    *,
    is_shared: bool = False,
    asks: bool = True,
) -> Outcome:
    """Simulates one run of a load with a policy."""
    return Play(load, seed, make, is_shared=is_shared, asks=asks).run()
