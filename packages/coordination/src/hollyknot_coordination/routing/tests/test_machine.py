"""State machine tests of counts, choices and limits of an `UpstreamTable`."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from hollyknot_coordination.limits import LimitOptions
from hollyknot_coordination.routing import (
    Choice,
    NoChoice,
    NoChoiceReason,
    RoutingOptions,
    UpstreamState,
    UpstreamTable,
)
from hollyknot_state import (
    EntryState,
    HostList,
    HostListEntry,
    LoadReport,
    Nature,
    Outcome,
    Reason,
    RequestInfo,
    Role,
    SignKind,
    UpstreamSign,
    Verdict,
)

NAMES = tuple(f"e{i}" for i in range(6))
HERE = frozenset(NAMES[:4])
USABLE = {UpstreamState.LIVE, UpstreamState.RECOVERING}
TRIAL = {UpstreamState.CHECKING, UpstreamState.EJECTED}
VERDICTS = [
    Verdict(Outcome.COMPLETE),
    Verdict(Outcome.NOT_RUN, Reason.CONNECT_FAILED),
    Verdict(Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED),
    Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST),
    Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT),
    Verdict(Outcome.MAY_HAVE_RUN, Reason.CALLER_GONE),
    Verdict(Outcome.FAILED, Reason.UPSTREAM_ERROR, upstream_status=500),
]


def entry(name: str, state: EntryState = EntryState.LIVE) -> HostListEntry:
    """Returns the host list entry of an upstream."""
    data_centre = "hall-a" if name in HERE else "hall-b"
    return HostListEntry(
        name, Role.ENGINE, data_centre, "127.0.0.1", 1, ("m",), state
    )


def request(name: str, nature: Nature, prefix: int = 0) -> RequestInfo:
    """Returns a request that has just arrived."""
    return RequestInfo(name, "c", "day", 1, nature, "m", 0.0, 1.0, 0, prefix)


class TableMachine(RuleBasedStateMachine):
    """Applies events in any order and checks which upstreams are chosen."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        rng = random.Random(seed)
        options = RoutingOptions(limits=LimitOptions(start=2))
        self.table = UpstreamTable(options, "h1", "hall-a", rng)
        self.now_s = 0.0
        self.revision = 0
        self.count = 0
        self.listed: set[str] = set()
        self.flights: dict[str, str] = {}
        self.put_list(set(NAMES), set())

    @rule(seconds=st.sampled_from([0.0, 0.3, 3.0, 30.0]))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(
        live=st.sets(st.sampled_from(NAMES)),
        leaving=st.sets(st.sampled_from(NAMES)),
    )
    def put_list(self, live: set[str], leaving: set[str]) -> None:
        self.revision += 1
        self.listed = live - leaving
        entries = [entry(n) for n in sorted(self.listed)]
        entries += [entry(n, EntryState.LEAVING) for n in sorted(leaving)]
        host_list = HostList(self.revision, tuple(entries))
        self.table.on_host_list(host_list, self.now_s)

    @rule()
    def put_older_list(self) -> None:
        older = HostList(self.revision - 1, tuple(map(entry, NAMES)))
        self.table.on_host_list(older, self.now_s)

    @rule(
        nature=st.sampled_from(Nature),
        prefix=st.integers(0, 2),
        exclude=st.sets(st.sampled_from(NAMES), max_size=2),
    )
    def choose(self, nature: Nature, prefix: int, exclude: set[str]) -> None:
        before = {v.name: v for v in self.table.view(self.now_s)}
        suspects_itself = self.table.suspects_itself(self.now_s)
        free = self.table.free_slots("m", self.now_s)
        self.count += 1
        name = f"r{self.count}"
        choice = self.table.choose(
            request(name, nature, prefix), self.now_s, frozenset(exclude)
        )
        usable = {n for n, v in before.items() if v.state in USABLE}
        group = usable & HERE or usable
        if nature is Nature.IDEMPOTENT and not exclude:
            assert isinstance(choice, Choice) == (free > 0)
        if isinstance(choice, NoChoice):
            known = choice.reason is not NoChoiceReason.NONE_KNOWN
            assert known == bool(self.listed)
            assert not any(
                before[n].in_flight < before[n].limit for n in group - exclude
            )
            return
        self.flights[name] = choice.upstream
        view = before[choice.upstream]
        assert choice.upstream in self.listed - exclude
        if view.state in USABLE:
            assert choice.upstream in group
            assert view.in_flight < view.limit
        else:
            assert view.state in TRIAL
            assert nature is Nature.IDEMPOTENT
            assert suspects_itself or not usable

    @rule(data=st.data(), verdict=st.sampled_from(VERDICTS), met=st.booleans())
    def finish(self, data: st.DataObject, verdict: Verdict, met: bool) -> None:
        if not self.flights:
            return
        name = data.draw(st.sampled_from(sorted(self.flights)))
        upstream = self.flights.pop(name)
        if verdict.outcome is Outcome.COMPLETE:
            self.table.on_first_byte(upstream, name, self.now_s)
        self.table.on_finished(upstream, name, verdict, self.now_s, met)
        states = {v.name: v.state for v in self.table.view(self.now_s)}
        if verdict.reason is Reason.CONNECT_FAILED and upstream in states:
            assert states[upstream] not in USABLE

    @rule(
        name=st.sampled_from(NAMES),
        running=st.integers(0, 30),
        draining=st.booleans(),
        age_ms=st.sampled_from([0, 500, 5000]),
    )
    def report(
        self, name: str, running: int, draining: bool, age_ms: int
    ) -> None:
        report = LoadReport(running, 0, 8, draining, age_ms)
        self.table.on_load_report(name, report, self.now_s)

    @rule(
        name=st.sampled_from(NAMES),
        kind=st.sampled_from(SignKind),
        age_ms=st.sampled_from([0, 1000, 60_000]),
    )
    def sign(self, name: str, kind: SignKind, age_ms: int) -> None:
        before = {v.name: v.state for v in self.table.view(self.now_s)}
        signs = (UpstreamSign(name, kind, age_ms),)
        self.table.on_signs(signs, self.now_s)
        after = {v.name: v.state for v in self.table.view(self.now_s)}
        assert {n for n, s in after.items() if s is UpstreamState.EJECTED} == {
            n for n, s in before.items() if s is UpstreamState.EJECTED
        }

    @rule(ok=st.booleans())
    def probe(self, ok: bool) -> None:
        for probe in self.table.probes_due(self.now_s):
            self.table.on_probe(probe.upstream, ok, self.now_s)

    @invariant()
    def counts_match(self) -> None:
        views = self.table.view(self.now_s)
        counts = dict.fromkeys((v.name for v in views), 0)
        for upstream in self.flights.values():
            counts[upstream] += 1
        assert {v.name: v.in_flight for v in views} == counts
        assert all(v.limit >= 1 for v in views)
        assert self.table.free_slots("m", self.now_s) >= 0

    def teardown(self) -> None:
        for name, upstream in self.flights.items():
            self.table.on_finished(
                upstream, name, VERDICTS[0], self.now_s, True
            )
        self.flights.clear()
        self.counts_match()


TableMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=120,
    stateful_step_count=40,
)
TestTableMachine = TableMachine.TestCase


class TestHealth:
    """What ejects an upstream, and what makes it usable again."""

    def test_draining_upstream_gets_no_request_even_if_alone(self) -> None:
        """A draining upstream must get no requests, not even trials.

        It reports that it drains, the host list is outdated, and there is no
        other upstream. If draining were treated like an ejection, it would get
        new requests while it is leaving.
        """
        table = UpstreamTable(
            RoutingOptions(), "h1", "hall-a", random.Random(1)
        )
        table.on_host_list(HostList(1, (entry("e0"),)), 0.0)
        table.on_load_report("e0", LoadReport(0, 0, 8, True, 0), 0.0)
        sent = request("r", Nature.IDEMPOTENT)
        assert table.choose(sent, 0.0) == NoChoice(NoChoiceReason.ALL_EJECTED)
        (probe,) = table.probes_due(1.0)
        table.on_probe(probe.upstream, True, 1.0)
        assert table.choose(sent, 1.0) == NoChoice(NoChoiceReason.ALL_EJECTED)
        table.on_load_report("e0", LoadReport(0, 0, 8, False, 0), 2.0)
        table.on_probe("e0", True, 2.0)
        assert isinstance(table.choose(sent, 2.0), Choice)

    def test_good_probe_restores_ejected_upstream_with_limit_one(self) -> None:
        table = UpstreamTable(
            RoutingOptions(), "h1", "hall-a", random.Random(1)
        )
        table.on_host_list(HostList(1, (entry("e0"),)), 0.0)
        sent = request("r", Nature.IDEMPOTENT)
        choice = table.choose(sent, 0.0)
        assert isinstance(choice, Choice)
        table.on_finished("e0", "r", VERDICTS[1], 0.0, False)
        assert table.probes_due(0.1) == ()
        (probe,) = table.probes_due(1.0)
        table.on_probe(probe.upstream, True, 1.0)
        (view,) = table.view(1.0)
        assert (view.state, view.limit) == (UpstreamState.RECOVERING, 1)
