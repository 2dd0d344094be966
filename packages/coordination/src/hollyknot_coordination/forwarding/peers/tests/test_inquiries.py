"""Tests of queries for loads and of notes, with lost hosts and messages."""

import random

import attrs
import pytest

from hollyknot_coordination.forwarding import (
    RENEW_S,
    CachedParts,
    Demand,
    Forecasts,
    Inquiries,
    LaneShares,
    Loads,
    Speeds,
    Tracker,
    Trackers,
    runs_of,
)
from hollyknot_coordination.forwarding.peers._inquiries import (
    FULL_ANSWER_EVERY,
)
from hollyknot_coordination.forwarding.peers._tracked_loads import EXPIRE_S
from hollyknot_coordination.forwarding.peers._trackers import MAX_MISSES
from hollyknot_coordination.forwarding.placement._demand_samples import (
    MIN_HOSTS,
)
from hollyknot_coordination.forwarding.placement._loads import TRACKED_S
from hollyknot_coordination.forwarding.tests._builders import (
    call,
    upstream,
)
from hollyknot_state import (
    Address,
    CustomerWork,
    LaneShare,
    LoadAnswer,
    ServiceWork,
    short_name,
)
from hollyknot_state.routes import UpstreamEntry

ENGINES = {f"i-{n}": upstream(f"i-{n}") for n in range(6)}
ENGINE = ENGINES["i-0"]
PROMPT = call(("shared", 900), ("own", 50)).prompt


@attrs.define(eq=False)
class _Host:
    """One host with its view of all loads."""

    tracker: Tracker
    loads: Loads
    cached: CachedParts
    forecasts: Forecasts
    demand: Demand
    speeds: Speeds
    lane_shares: LaneShares
    inquiries: Inquiries
    is_lost: bool = False


class _Fleet:
    """Hosts whose messages arrive at once or are lost."""

    def __init__(self, size: int) -> None:
        self.now_s = 0.0
        self.loss = 0.0
        self._rng = random.Random(1)
        trackers = [
            Tracker(n, Address("127.0.0.1", 1 + n), "north")
            for n in range(size)
        ]
        self.hosts = [self._host(own, trackers) for own in trackers]

    def _host(self, own: Tracker, trackers: list[Tracker]) -> _Host:
        peers = tuple(other for other in trackers if other is not own)
        loads, cached, forecasts = Loads(), CachedParts(), Forecasts()
        demand, speeds = Demand(), Speeds()
        lane_shares = LaneShares(own.incarnation)
        found = Trackers(own, lambda: peers)
        inquiries = Inquiries(
            own.incarnation,
            found,
            loads,
            cached,
            forecasts,
            demand,
            speeds,
            lane_shares,
        )
        return _Host(
            own,
            loads,
            cached,
            forecasts,
            demand,
            speeds,
            lane_shares,
            inquiries,
        )

    def send_notes(self, host: _Host) -> None:
        """Sends the due notes of a host to the trackers."""
        for tracker, note in host.inquiries.notes(ENGINES.get, self.now_s):
            other = self._recipient(tracker)
            if other is not None:
                other.inquiries.handle_note(note, self.now_s)

    def ask(self, host: _Host, entries: list[UpstreamEntry]) -> bool:
        """Queries the trackers, and returns whether all have answered."""
        done: list[bool] = []
        runs = runs_of(PROMPT)
        inquiry = host.inquiries.ask(entries, runs, self.now_s)
        inquiry.on_done = lambda: done.append(True)
        for tracker, query in inquiry.sent:
            other = self._recipient(tracker)
            if other is not None:
                answer = other.inquiries.answer(query, self.now_s)
                host.inquiries.handle_answer(answer, self.now_s)
        host.inquiries.give_up(inquiry, self.now_s)
        return bool(done) or not inquiry.sent

    def tracker_of(self, entry: UpstreamEntry) -> _Host:
        """Returns the host that tracks an upstream."""
        probe = self.hosts[0].inquiries._trackers.of(entry, self.now_s)
        return self.hosts[probe.incarnation if probe is not None else 0]

    def _recipient(self, tracker: Tracker) -> _Host | None:
        host = self.hosts[tracker.incarnation]
        lost = host.is_lost or self._rng.random() < self.loss
        return None if lost else host


class TestAsking:
    """In-flight work of other hosts is known when an upstream is chosen."""

    def test_load_of_other_hosts_is_known_before_any_report(self) -> None:
        """Guards against many hosts that all choose the same idle upstream.

        In a burst they choose within a second, while reports take seconds in a
        large fleet, so none would know what the others have just sent.
        """
        fleet = _Fleet(5)
        for number, host in enumerate(fleet.hosts):
            host.loads.begin("i-0", 100 + number, 2)
            fleet.send_notes(host)
        asker = fleet.hosts[3]
        assert asker.loads.at("i-0", 0.0).requests == 1
        assert fleet.ask(asker, [ENGINE])
        load = asker.loads.at("i-0", 0.0)
        assert (load.requests, load.waiting_tokens) == (5, 510)

    def test_an_answer_expires(self) -> None:
        fleet = _Fleet(2)
        fleet.hosts[0].loads.begin("i-0", 100, 2)
        fleet.send_notes(fleet.hosts[0])
        fleet.ask(fleet.hosts[1], [ENGINE])
        loads = fleet.hosts[1].loads
        assert loads.at("i-0", TRACKED_S).requests == 1
        assert loads.at("i-0", TRACKED_S + 0.01).requests == 0

    def test_ended_requests_are_not_counted(self) -> None:
        fleet = _Fleet(3)
        busy = fleet.hosts[0]
        busy.loads.begin("i-0", 100, 2)
        fleet.send_notes(busy)
        busy.loads.end("i-0", 100, 2, has_started=False)
        fleet.send_notes(busy)
        fleet.ask(fleet.hosts[1], [ENGINE])
        assert fleet.hosts[1].loads.at("i-0", 0.0).requests == 0

    def test_answers_carry_cached_parts_and_paces(self) -> None:
        fleet = _Fleet(3)
        sender, asker = fleet.hosts[0], fleet.hosts[1]
        sender.cached.note("i-0", PROMPT, 0.0)
        sender.loads.begin("i-0", 100, 2)
        sender.forecasts.note_interval("i-0", 0.075, 0.0)
        fleet.send_notes(sender)
        fleet.ask(asker, list(ENGINES.values()))
        missing = asker.cached.missing(list(ENGINES.values()), PROMPT, 0.0)
        assert missing.missing_tokens["i-0"] == 0
        assert missing.holders == (ENGINE,)
        assert (
            next(iter(asker.forecasts._tracked_paces.values())).interval_s
            == 0.075
        )


class TestFailures:
    """Lost trackers, hosts and messages leave loads wrong for a short time."""

    def test_a_lost_tracker_is_replaced_within_a_second(self) -> None:
        """Guards against queries and notes that still go to a lost tracker.

        When it loses power in a burst, the load of its upstream would be
        unknown until peers have removed the host.
        """
        fleet = _Fleet(6)
        lost = fleet.tracker_of(ENGINE)
        lost.is_lost = True
        others = [host for host in fleet.hosts if host is not lost]
        busy, asker = others[0], others[1]
        busy.loads.begin("i-0", 100, 2)
        for host in others:
            for _ in range(MAX_MISSES):
                fleet.ask(host, [ENGINE])
        fleet.now_s = RENEW_S
        fleet.send_notes(busy)
        assert fleet.ask(asker, [ENGINE])
        assert asker.loads.at("i-0", fleet.now_s).requests == 1

    def test_load_of_a_lost_host_expires(self) -> None:
        fleet = _Fleet(3)
        tracker = fleet.tracker_of(ENGINE)
        busy, asker = (h for h in fleet.hosts if h is not tracker)
        busy.loads.begin("i-0", 100, 2)
        fleet.send_notes(busy)
        fleet.now_s = EXPIRE_S + 0.1
        fleet.ask(asker, [ENGINE])
        assert asker.loads.at("i-0", fleet.now_s).requests == 0

    def test_unchanged_load_is_renewed(self) -> None:
        """Guards against a busy upstream that seems idle after some seconds.

        While streams of ten seconds run and no request starts or ends, a load
        that was reported only once would expire.
        """
        fleet = _Fleet(3)
        tracker = fleet.tracker_of(ENGINE)
        busy, asker = (h for h in fleet.hosts if h is not tracker)
        busy.loads.begin("i-0", 100, 2)
        while fleet.now_s < 2 * EXPIRE_S:
            fleet.send_notes(busy)
            fleet.now_s += RENEW_S / 10
        fleet.ask(asker, [ENGINE])
        assert asker.loads.at("i-0", fleet.now_s).requests == 1

    @pytest.mark.parametrize("loss", [0.02, 0.3])
    def test_lost_notes_are_repeated(self, loss: float) -> None:
        fleet = _Fleet(4)
        fleet.loss = loss
        for host in fleet.hosts:
            host.loads.begin("i-0", 100, 2)
        for _ in range(30):
            for host in fleet.hosts:
                fleet.send_notes(host)
            fleet.now_s += RENEW_S / 2
        fleet.loss = 0.0
        for host in fleet.hosts:
            fleet.send_notes(host)
        asker = fleet.hosts[0]
        assert fleet.ask(asker, [ENGINE])
        assert asker.loads.at("i-0", fleet.now_s).requests >= 3

    def test_a_late_note_does_not_undo_a_newer_one(self) -> None:
        fleet = _Fleet(2)
        tracker = fleet.tracker_of(ENGINE)
        (busy,) = (h for h in fleet.hosts if h is not tracker)
        busy.loads.begin("i-0", 100, 2)
        ((_, older),) = busy.inquiries.notes(ENGINES.get, 0.0)
        busy.loads.end("i-0", 100, 2, has_started=False)
        ((_, newer),) = busy.inquiries.notes(ENGINES.get, 0.0)
        tracker.inquiries.handle_note(newer, 0.0)
        tracker.inquiries.handle_note(older, 0.0)
        fleet.ask(tracker, [ENGINE])
        assert tracker.loads.at("i-0", 0.0).requests == 0

    def test_a_late_answer_is_still_applied(self) -> None:
        fleet = _Fleet(2)
        tracker = fleet.tracker_of(ENGINE)
        (asker,) = (h for h in fleet.hosts if h is not tracker)
        tracker.loads.begin("i-0", 100, 2)
        fleet.send_notes(tracker)
        inquiry = asker.inquiries.ask([ENGINE], (), 0.0)
        ((_, query),) = inquiry.sent
        asker.inquiries.give_up(inquiry, 0.01)
        answer = tracker.inquiries.answer(query, 0.01)
        asker.inquiries.handle_answer(answer, 0.02)
        assert asker.loads.at("i-0", 0.02).requests == 1

    def test_a_tracker_drops_upstreams_without_recent_notes(self) -> None:
        """Guards against memory that grows with each upstream ever reported.

        Upstreams are replaced all day. Loads that are dropped only when they
        are queried would stay for those that have gone.
        """
        fleet = _Fleet(1)
        (host,) = fleet.hosts
        for name in ENGINES:
            host.loads.begin(name, 100, 2)
        fleet.send_notes(host)
        assert len(host.inquiries._tracked) == len(ENGINES)
        for name in ENGINES:
            host.loads.end(name, 100, 2, has_started=False)
        fleet.send_notes(host)
        fleet.now_s = EXPIRE_S + RENEW_S
        fleet.send_notes(host)
        assert len(host.inquiries._tracked) == 0


class TestDemandAndSpeeds:
    """Answers tell sizers the demand, and all hosts sizes and speeds."""

    def test_sizer_gets_the_demand_of_the_hosts_that_answer(self) -> None:
        fleet = _Fleet(2 * MIN_HOSTS)
        for host in fleet.hosts:
            host.demand.begin("engines", 4_000, 0.0, is_loose=True)
        asker = fleet.hosts[0]
        asker.demand.apply_reported([], 1.0, hosts=len(fleet.hosts))
        for number in range(200):
            fleet.ask(asker, [upstream(f"i-{number}")])
        streams = asker.demand.streams("engines", 0.0, is_loose=True)
        assert streams == len(fleet.hosts)

    def test_answer_to_a_host_that_sizes_nothing_is_no_sample(self) -> None:
        """Guards against a demand of zero from answers that tell none."""
        fleet = _Fleet(2 * MIN_HOSTS)
        asker = fleet.hosts[0]
        told = [LaneShare(short_name("engines"), 500, 2**31 - 1, 0)]
        asker.lane_shares.apply_told(told, 0.0)
        for number in range(200):
            fleet.ask(asker, [upstream(f"i-{number}")])
        assert not asker.demand.is_sampled(0.0)

    def test_size_of_lanes_reaches_who_asks(self) -> None:
        fleet = _Fleet(2)
        tracker = fleet.tracker_of(ENGINE)
        asker = next(host for host in fleet.hosts if host is not tracker)
        tracker.lane_shares.publish("engines", 0.5, 0.0)
        fleet.ask(asker, [ENGINE])
        told = asker.lane_shares.from_others("engines", 0.0, can_size=True)
        assert told == 0.5

    def test_speed_seen_by_some_hosts_reaches_who_asks(self) -> None:
        fleet = _Fleet(6)
        for host in fleet.hosts:
            host.loads.begin("i-0", 100, 2)
            host.speeds.observe("i-0", 8_500, 0, 0.2)
            fleet.send_notes(host)
        asker = fleet.hosts[3]
        for _ in range(FULL_ANSWER_EVERY):
            fleet.ask(asker, [ENGINE])
        assert set(asker.speeds.slowness([ENGINE], 0.0)) == {"i-0"}


class TestCustomersWork:
    """Answers tell of the work that a tracker's own callers offer."""

    def test_an_answer_tells_and_names_no_wrong_host(self) -> None:
        """Guards against work that is credited to a host twice or to none."""
        told = (ServiceWork(1, 500, 100, (CustomerWork(2, 400),)),)
        heard: list[tuple[int, tuple[ServiceWork, ...], float]] = []
        fleet = _Fleet(5)
        tracker = fleet.tracker_of(ENGINE)
        tracker.inquiries._tell = lambda _: told
        asker = fleet.hosts[(tracker.tracker.incarnation + 1) % 5]
        asker.inquiries._hear = lambda *words: heard.append(words)
        assert fleet.ask(asker, [ENGINE])
        assert heard == [(tracker.tracker.incarnation, told, 0.0)]

    def test_an_answer_that_nobody_waits_for_tells_nothing(self) -> None:
        """Guards against a stray datagram that speaks for customers."""
        heard: list[int] = []
        asker = _Fleet(2).hosts[0]
        asker.inquiries._hear = lambda *_: heard.append(1)
        stray = LoadAnswer(77, (), work=(ServiceWork(1, 500, 100),))
        asker.inquiries.handle_answer(stray, 0.0)
        assert not heard
