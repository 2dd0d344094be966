"""Tests that requests are placed at the right upstream."""

import random

import pytest

from hollyknot_coordination.forwarding import (
    CachedParts,
    Choice,
    Demand,
    Loads,
    NoUpstream,
    Placement,
)
from hollyknot_coordination.forwarding.tests._builders import (
    ENGINES,
    PLAIN,
    call,
    upstream,
)
from hollyknot_state.routes import CallTraits

ENGINE_SLOTS = 8
POOL = [upstream(name) for name in ("a", "b", "c", "d", "e", "f")]


class _Host:
    """The placement of one host, with its loads and demand."""

    def __init__(self, seed: int = 1) -> None:
        self.loads = Loads()
        self.demand = Demand()
        self.placement = Placement(
            self.loads,
            self.demand,
            CachedParts(),
            "north",
            random.Random(seed),
        )

    def choose(
        self,
        request: CallTraits,
        now_s: float = 0.0,
        *,
        is_loose: bool,
        urgency: int = 0,
    ) -> Choice:
        found = self.placement.choose(
            ENGINES,
            POOL,
            request,
            frozenset(),
            now_s,
            is_loose=is_loose,
            urgency=urgency,
        )
        assert isinstance(found, Choice)
        return found

    def send(
        self,
        request: CallTraits,
        now_s: float = 0.0,
        *,
        is_loose: bool,
        urgency: int = 0,
    ) -> str:
        choice = self.choose(request, now_s, is_loose=is_loose, urgency=urgency)
        self.placement.begin(
            choice, request, now_s, is_loose=is_loose, urgency=urgency
        )
        return choice.entry.incarnation


class TestEngines:
    """Placement at engines by lanes, cached parts and loads."""

    def test_hosts_send_a_session_to_the_same_upstream(self) -> None:
        chosen = {
            _Host(seed)
            .choose(
                call(("sys", 500), ("s1", 4000), (f"q{seed}", 50)),
                is_loose=True,
            )
            .entry.incarnation
            for seed in range(8)
        }
        assert len(chosen) == 1

    def test_sessions_reach_every_upstream_of_a_lane(self) -> None:
        """Guards against an upstream of a lane that gets no session at all.

        Each session prefers the upstream with the highest hash. With a checksum
        as hash the order of two upstreams depends on one bit of the session's
        name, and one of three upstreams never comes first.
        """
        host = _Host()
        chosen = {
            host.choose(
                call((f"s{i}", 4000), ("q", 50)), is_loose=True
            ).entry.incarnation
            for i in range(50)
        }
        assert len(chosen) == 3

    def test_loose_and_tight_streams_share_no_upstream(self) -> None:
        host = _Host()
        loose, tight = set(), set()
        for i in range(100):
            prompt = call((f"s{i}", 2000), ("q", 2000))
            long_one = host.choose(prompt, i * 0.2, is_loose=True)
            short = call((f"t{i}", 100), ("q", 1100))
            short_one = host.choose(short, i * 0.2, is_loose=False)
            host.demand.begin("engines", 4000, i * 0.2, is_loose=True)
            host.demand.begin("engines", 1200, i * 0.2, is_loose=False)
            # Before that, the lane sizes still adapt to the demand.
            if i >= 50:
                loose.add(long_one.entry.incarnation)
                tight.add(short_one.entry.incarnation)
        assert loose.isdisjoint(tight)

    def test_session_moves_once_load_exceeds_the_cost_of_missing_parts(
        self,
    ) -> None:
        host = _Host()
        prompt = call(("sys", 500), ("s1", 4000), ("q", 50))
        home = host.choose(prompt, is_loose=True).entry.incarnation
        host.loads.begin(home, 8_000, 0)
        assert host.choose(prompt, is_loose=True).entry.incarnation == home
        host.loads.begin(home, 2_000, 0)
        assert host.choose(prompt, is_loose=True).entry.incarnation != home

    def _fill(self, host: _Host, is_loose: bool, urgency: int) -> None:
        """Fills all slots of a lane and queues as many requests again."""
        entries = POOL[:3] if is_loose else POOL[3:]
        for entry in entries:
            for _ in range(2 * entry.slots):
                host.loads.begin(entry.incarnation, 10, urgency)

    def test_urgent_stream_disregards_requests_that_are_preempted(self) -> None:
        """Guards against urgent streams that wait while less urgent ones run.

        The upstreams of the urgent stream's lane are full; those of the other
        lane run less urgent requests in as many slots. These must not count,
        since the engine preempts them.
        """
        host = _Host()
        self._fill(host, is_loose=True, urgency=5)
        self._fill(host, is_loose=False, urgency=1)
        urgent = call(("t", 100), ("q", 50))
        found = host.choose(urgent, is_loose=False, urgency=1)
        assert found.entry in POOL[:3]

    def test_less_urgent_waiting_prompts_do_not_prevent_overflow(self) -> None:
        """Guards against urgent streams that time out in a burst.

        More urgent prompts wait in the tight lane, less urgent long ones in the
        loose lane. If the long ones counted, the loose lane would never be
        cheaper.
        """
        host = _Host()
        for entry in POOL[:3]:
            for _ in range(10):
                host.loads.begin(entry.incarnation, 9_000, 5)
        for entry in POOL[3:]:
            host.loads.begin(entry.incarnation, 60_000, 0)
        urgent = call(("t", 100), ("q", 50))
        found = host.choose(urgent, is_loose=False, urgency=1)
        assert found.entry in POOL[:3]

    def test_urgent_stream_avoids_a_long_prompt_in_prefill(
        self,
    ) -> None:
        """Guards against a short prompt that waits half a second without need.

        One upstream of its lane prefills a less urgent prompt of 36,000 tokens
        and the others are idle. An engine defers less urgent prompts, but not
        the one whose prefill has begun, so that this one must count.
        """
        host = _Host()
        urgent = call(("s", 200), ("q", 500))
        home = host.choose(urgent, is_loose=True, urgency=1).entry.incarnation
        host.loads.begin(home, 36_000, 5)
        found = host.choose(urgent, is_loose=True, urgency=1)
        assert found.entry.incarnation != home

    def test_less_urgent_stream_does_not_overflow_to_urgent_ones(self) -> None:
        host = _Host()
        self._fill(host, is_loose=True, urgency=5)
        self._fill(host, is_loose=False, urgency=1)
        other = call(("s", 4000), ("q", 50))
        found = host.choose(other, is_loose=True, urgency=5)
        assert found.entry in POOL[:3]

    def test_an_excluded_upstream_is_not_chosen(self) -> None:
        host = _Host()
        everywhere = frozenset(e.incarnation for e in POOL)
        found = host.placement.choose(
            ENGINES,
            POOL,
            call(("q", 9)),
            everywhere,
            0.0,
            is_loose=True,
            urgency=0,
        )
        assert found is NoUpstream.NONE_KNOWN


class TestPlainServices:
    """Placement of plain services: the least busy, then the nearest."""

    def test_prefers_the_least_busy_then_the_near(self) -> None:
        host = _Host()
        near = upstream("near", "plain")
        far = upstream("far", "plain", data_centre="south")
        found = host.placement.choose(
            PLAIN,
            [far, near],
            call(),
            frozenset(),
            0.0,
            is_loose=True,
            urgency=0,
        )
        assert isinstance(found, Choice)
        assert found.entry is near
        host.placement.begin(found, call(), 0.0, is_loose=True, urgency=0)
        other = host.placement.choose(
            PLAIN,
            [far, near],
            call(),
            frozenset(),
            0.0,
            is_loose=True,
            urgency=0,
        )
        assert isinstance(other, Choice)
        assert other.entry is far


class TestLimitedUpstreams:
    """Placement where some upstreams are under a rate limit."""

    def _places(
        self, limited: frozenset[str], blocked: frozenset[str] = frozenset()
    ) -> tuple[set[str], set[str]]:
        """Returns the upstreams of loose streams, and those of tight ones."""
        host = _Host()
        found: tuple[set[str], set[str]] = (set(), set())
        for number in range(2 * ENGINE_SLOTS):
            is_loose = number % 2 == 0
            request = call((f"own-{number}", 100))
            choice = host.placement.choose(
                ENGINES,
                POOL,
                request,
                blocked,
                0.0,
                is_loose=is_loose,
                urgency=0,
                limited=limited,
            )
            assert isinstance(choice, Choice)
            host.placement.begin(
                choice, request, 0.0, is_loose=is_loose, urgency=0
            )
            found[not is_loose].add(choice.entry.incarnation)
        return found

    @pytest.mark.parametrize(
        "limited", [{"a", "b", "c"}, {"d", "e", "f"}, {"a", "f"}]
    )
    def test_limited_upstreams_do_not_empty_a_lane(
        self, limited: set[str]
    ) -> None:
        """Guards against a lane that vanishes with its limited upstreams."""
        used_up = frozenset(limited)
        loose, tight = self._places(used_up, used_up)
        assert not loose & tight
        assert loose | tight == {e.incarnation for e in POOL} - limited

    def test_limited_upstreams_serve_both_lanes(self) -> None:
        limited = frozenset({"a", "b", "c", "d"})
        loose, tight = self._places(limited)
        assert loose & limited
        assert tight & limited

    def test_all_are_used_where_all_are_limited(self) -> None:
        loose, tight = self._places(frozenset(e.incarnation for e in POOL))
        assert loose | tight == {e.incarnation for e in POOL}

    def test_limited_upstream_that_is_excluded_is_not_chosen(self) -> None:
        loose, tight = self._places(frozenset({"a", "b"}), frozenset({"a"}))
        assert "a" not in loose | tight
