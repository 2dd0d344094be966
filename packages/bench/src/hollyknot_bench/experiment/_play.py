"""Plays a load through the decisions that serve, under a virtual clock.

Several hosts, each with its own loads, lanes and caches as it believes them;
reports between them that are as old as they are in a fleet; engines that batch.
Bytes, connections and health are left out: the decisions are what is measured.
"""

import itertools
import math
import random
from collections.abc import Callable

import attrs

from hollyknot_bench.experiment._clock import Clock
from hollyknot_bench.experiment._engine import Engine, EngineRequest
from hollyknot_bench.experiment._host import Host, make_host
from hollyknot_bench.experiment._load import Load, Request, requests_of
from hollyknot_bench.experiment._outcome import Ended, Outcome
from hollyknot_bench.experiment._wire import Wire
from hollyknot_coordination.forwarding import (
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

NETWORK_S = 0.003
"""One way between callers, hosts and engines."""

COME_BACK_SPREAD = 0.5
"""By how much the time to come back varies either way."""

SETTLE_S = 20.0
"""After the last request is sent, until the last one has ended."""

_SERVICE = "engines"


class Play:
    """One day of one load."""

    def __init__(
        self,
        load: Load,
        seed: int,
        make: Callable[[random.Random], Host] = make_host,
        *,
        is_shared: bool = False,
        asks: bool = True,
    ) -> None:
        """Draws the requests.

        Args:
            load: What is played.
            seed: Of requests and of the hosts' chance.
            make: Makes each host; policies are compared by other ones.
            asks: Whether hosts ask trackers before they choose.
            is_shared: Whether all hosts share one's beliefs, as if they told
                each other everything at once and at no cost: the bound of what
                knowledge is worth.
        """
        self._load = load
        self._clock = Clock()
        self._rng = random.Random(seed + 1)
        self._requests = requests_of(load, seed)
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
            Engine(load.engine, next(slowness)) for _ in range(load.engines)
        ]
        self._entries = [self._entry(n, 0) for n in range(load.engines)]
        self._by_incarnation = {e.incarnation: e for e in self._entries}
        self._wire = Wire(
            self._clock, self._hosts, self._rng, self._by_incarnation.get
        )
        self._index = RouteIndex(_table(load))
        self._service = Service(_SERVICE, EngineService(load.engine.slots))
        self._ended = {r.number: Ended(r) for r in self._requests}
        self._reports: dict[int, HostReport] = {}
        self._named = NamedLimits()
        self._permits = self._make_permits()

    def run(self) -> Outcome:
        """Plays it to its end."""
        for request in self._requests:
            self._later(request.at_s, self._arrive, request, request.host)
        for crash in self._load.crashes:
            for number in range(crash.engines):
                self._later(crash.at_s, self._crash, number)
                back_s = crash.at_s + crash.for_s
                self._later(back_s, self._come_back, number)
        for limit in self._load.limits:
            for number in limit.engines:
                self._later(limit.at_s, self._name, number, limit.rate)
                end_s = limit.at_s + limit.for_s
                self._later(end_s, self._name, number, None)
        self._begin_reports()
        until_s = self._load.length_s + SETTLE_S
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
        """Returns the permits that all hosts get, at once and at no cost."""
        own = Tracker(0, Address("10.0.1.1", 1), "one")
        return Permits(
            Trackers(own, tuple),
            HostCount(-math.inf, is_alone=True),
            self._named,
            self._by_incarnation.get,
            self._rng,
        )

    def _name(self, number: int, rate: float | None) -> None:
        """Has all hosts know an engine's limit."""
        name = self._entries[number].incarnation
        now_s = self._clock.now_s
        self._named.observe(name, rate, now_s, now_s)

    def _begin_reports(self) -> None:
        if self._is_shared:
            return
        if self._asks:
            self._wire.begin_notes()
        if not self._load.report_s:
            self._wire.begin_reports()
            return
        for number in range(self._load.hosts):
            first_s = self._rng.random() * self._load.report_s
            self._later(first_s, self._report, number, 1)

    def _later(
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
            demands=host.demand.told(self._clock.now_s),
            held=host.cached.told(self._clock.now_s),
        )
        self._reports[number] = report
        for other, peer in enumerate(self._hosts):
            heard = [r for n, r in self._reports.items() if n != other]
            peer.loads.replace_reports(heard)
            peer.demand.take(d for r in heard for d in r.demands)
            peer.cached.take(report.held, self._clock.now_s)
        again_s = self._clock.now_s + self._load.report_s
        self._later(again_s, self._report, number, sequence + 1)

    def _crash(self, number: int) -> None:
        self._engines[number].crash(self._clock.now_s)

    def _come_back(self, number: int) -> None:
        self._engines[number].recover()
        entry = self._entry(number, int(self._clock.now_s * 1000))
        self._entries[number] = entry
        self._by_incarnation[entry.incarnation] = entry

    def _usable(self) -> list[UpstreamEntry]:
        pairs = zip(self._entries, self._engines, strict=True)
        return [entry for entry, engine in pairs if not engine.is_down]

    def _arrive(self, request: Request, number: int) -> None:
        """Takes a request, and asks for loads before it is placed."""
        host = self._hosts[number]
        now_s = self._clock.now_s
        if not self._is_shared and not self._load.report_s:
            self._wire.tellers[number].sum_up(now_s)
        host.forecasts.note_request(request.kind.name, request.hint)
        if now_s - request.at_s >= request.kind.timeout_s:
            return
        if not self._asks or not self._wire.may_ask(number):
            self._place(request, number, [])
            return
        route = self._index.table.routes[_place_of(self._load, request)]
        call = _call(request)
        asked = host.placement.shortlist(
            self._service,
            self._usable(),
            call,
            frozenset(),
            now_s,
            is_loose=self._index.is_loose(route, _SERVICE),
        )
        self._wire.ask(
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
        route = self._index.table.routes[_place_of(self._load, request)]
        urgency = self._index.urgency(route, KeyOwner("c", request.rank))
        sheds_from = self._index.sheds_from(_SERVICE)
        is_loose = self._index.is_loose(route, _SERVICE)
        call = _call(request)
        counted = [
            e for e in asked or entries if not self._permits.is_limited(e)
        ]
        if urgency >= sheds_from and isinstance(
            host.shedding.decide(counted or entries, sheds_from, now_s), Shed
        ):
            self._refuse(request)
            return
        is_least_urgent = urgency >= sheds_from
        closed = self._permits.closed(
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
        left_s = request.at_s + kind.timeout_s - now_s - kind.first_s
        found = host.shedding.decide_by_time(needed_s, left_s)
        return isinstance(found, TooSlow)

    def _refuse(self, request: Request) -> None:
        ended = self._ended[request.number]
        ended.refusals += 1
        if ended.refusals > 1:
            return
        spread = self._rng.uniform(1 - COME_BACK_SPREAD, 1 + COME_BACK_SPREAD)
        left_s = request.at_s + request.kind.timeout_s - self._clock.now_s
        wait_s = min(SHED_RETRY_AFTER_S * spread, left_s / 3)
        host = self._rng.randrange(self._load.hosts)
        self._later(self._clock.now_s + wait_s, self._arrive, request, host)

    def _send(
        self, request: Request, host: Host, choice: Choice, work: PlacedRequest
    ) -> None:
        clock = self._clock
        ended = self._ended[request.number]
        ended.expected = choice.tokens
        engine = self._engines[choice.entry.address.port - 1]
        state = _Stream(request.at_s + request.kind.timeout_s)

        def on_event(when_s: float, is_last: bool) -> None:
            self._later(when_s + NETWORK_S, seen, is_last)

        def seen(is_last: bool) -> None:
            if state.is_over:
                return
            now_s = clock.now_s
            if not state.last_s:
                ended.first_s = now_s - request.at_s
                host.placement.start(work)
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
                over()

        def over() -> None:
            if not state.is_over:
                state.is_over = True
                ended.read = run.read
                host.placement.end(work)
                engine.cancel(run)

        run = EngineRequest(
            request.prompt,
            request.out_tokens,
            work.urgency,
            on_event,
            lambda _: over(),
            self._engine_of(choice.source),
        )

        def submit() -> None:
            if engine.is_down:
                over()
            else:
                engine.submit(run, clock.now_s)
                self._step_later(engine)

        self._later(clock.now_s + NETWORK_S, submit)
        self._later(state.deadline_s, over)

    def _engine_of(self, entry: UpstreamEntry | None) -> Engine | None:
        return None if entry is None else self._engines[entry.address.port - 1]

    def _step_later(self, engine: Engine) -> None:
        """Has an engine's next step ended when it is due."""
        if engine.next_s is None or engine.is_scheduled:
            return
        engine.is_scheduled = True
        self._later(engine.next_s, self._step, engine)

    def _step(self, engine: Engine) -> None:
        engine.is_scheduled = False
        if engine.next_s is not None:
            engine.step()
            self._step_later(engine)


@attrs.define
class _Stream:
    """What a host knows of a stream that it relays."""

    deadline_s: float
    last_s: float = 0.0
    intervals: int = 0
    is_over: bool = False


def _place_of(load: Load, request: Request) -> int:
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
    owners = {"key": KeyOwner("customer", 0)}
    return RouteTable(1, routes, {_SERVICE: service}, owners_by_key=owners)


def play(
    load: Load,
    seed: int,
    make: Callable[[random.Random], Host] = make_host,
    *,
    is_shared: bool = False,
    asks: bool = True,
) -> Outcome:
    """Plays one day of a load with a policy."""
    return Play(load, seed, make, is_shared=is_shared, asks=asks).run()
