"""Tests of the upstreams whose load is asked for before placement."""

import random
from collections import Counter

import attrs

from hollyknot_coordination.forwarding import (
    CachedParts,
    Choice,
    Demand,
    Loads,
    Placement,
)
from hollyknot_coordination.forwarding.placement._placement import (
    OTHER_LANE_SHORTLIST,
    OWN_LANE_SHORTLIST,
)
from hollyknot_coordination.forwarding.tests._builders import (
    ENGINES,
    PLAIN,
    call,
    upstream,
)
from hollyknot_state import UpstreamUse, short_name
from hollyknot_state.routes import CallTraits, Service, UpstreamEntry

POOL = [upstream(f"e{n:02}") for n in range(20)]
APPS = [upstream(f"a{n}", "plain") for n in range(6)]
LONG = call(("shared", 900), ("own", 50))
SHORT = call(("greeting", 40), ("own", 50))


@attrs.define(eq=False)
class _Host:
    """The placement of one host."""

    seed: int
    loads: Loads = attrs.Factory(Loads)
    placement: Placement = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        rng = random.Random(self.seed)
        self.placement = Placement(
            self.loads, Demand(), CachedParts(), "north", rng
        )

    def shortlist(
        self,
        request: CallTraits,
        service: Service = ENGINES,
        pool: list[UpstreamEntry] = POOL,
        excluded: frozenset[str] = frozenset(),
        *,
        is_brief: bool = False,
    ) -> list[str]:
        """Returns the incarnations on the shortlist of a request."""
        found = self.placement.shortlist(
            service,
            pool,
            request,
            excluded,
            0.0,
            is_loose=True,
            is_brief=is_brief,
        )
        return [entry.incarnation for entry in found]


class TestShortlist:
    """The shortlist has a few upstreams of the own lane, one of the other."""

    def test_hosts_agree_on_the_shortlist_where_much_is_shared(self) -> None:
        """Guards against shared parts that every engine of a fleet prefills.

        This happens if each host sends the requests of a session to whichever
        engine seems idle, instead of to the few that all hosts prefer.
        """
        lists = [_Host(seed).shortlist(LONG) for seed in range(20)]
        assert {tuple(found[:OWN_LANE_SHORTLIST]) for found in lists} == {
            tuple(lists[0][:OWN_LANE_SHORTLIST])
        }
        assert len(lists[0]) == OWN_LANE_SHORTLIST + OTHER_LANE_SHORTLIST

    def test_brief_shortlist_leaves_out_the_least_useful(self) -> None:
        """Guards against bytes that are spent before a burst ends."""
        found = _Host(1).shortlist(LONG, is_brief=True)
        assert found == _Host(1).shortlist(LONG)[: OWN_LANE_SHORTLIST - 1]

    def test_shortlist_is_random_where_little_is_shared(self) -> None:
        counts = Counter(
            name for seed in range(200) for name in _Host(seed).shortlist(SHORT)
        )
        assert len(counts) == len(POOL)

    def test_idle_connections_are_reused_where_little_is_shared(self) -> None:
        """Guards against a new connection for each request.

        In a large fleet a host sends each request to another upstream, and its
        idle connections are closed before they are used again, unless the
        shortlist prefers upstreams with an idle connection.
        """
        kept = {POOL[1].incarnation, POOL[2].incarnation, POOL[3].incarnation}
        placement = Placement(
            Loads(),
            Demand(),
            CachedParts(),
            "north",
            random.Random(1),
            lambda incarnation: incarnation in kept,
        )
        reused = 0
        others = set()
        for _ in range(100):
            found = placement.shortlist(
                ENGINES, POOL, SHORT, frozenset(), 0.0, is_loose=True
            )
            names = {entry.incarnation for entry in found[:OWN_LANE_SHORTLIST]}
            assert len(names) == OWN_LANE_SHORTLIST
            assert len(names & kept) >= OWN_LANE_SHORTLIST - 1
            others |= names - kept
            choice = placement.choose(
                ENGINES,
                POOL,
                SHORT,
                frozenset(),
                0.0,
                is_loose=True,
                urgency=0,
                among=names,
            )
            assert isinstance(choice, Choice)
            reused += choice.entry.incarnation in kept
        assert reused == 100
        assert len(others) > 3

    def test_excluded_upstreams_are_not_on_the_shortlist(self) -> None:
        host = _Host(1)
        excluded = frozenset(host.shortlist(LONG))
        assert not excluded & set(host.shortlist(LONG, excluded=excluded))

    def test_shortlist_of_a_small_pool_has_no_duplicates(self) -> None:
        for size in (1, 2, 3):
            found = _Host(1).shortlist(LONG, pool=POOL[:size])
            assert sorted(found) == [e.incarnation for e in POOL[:size]]

    def test_plain_services_get_a_shortlist(self) -> None:
        found = _Host(1).shortlist(call(), PLAIN, APPS)
        assert len(set(found)) == OWN_LANE_SHORTLIST


class TestChoiceFromShortlist:
    """The choice is limited to the upstreams on the shortlist."""

    def _choose(self, host: _Host, among: list[str]) -> str:
        found = host.placement.choose(
            ENGINES,
            POOL,
            LONG,
            frozenset(),
            0.0,
            is_loose=True,
            urgency=2,
            among=among,
        )
        assert isinstance(found, Choice)
        return found.entry.incarnation

    def test_least_busy_of_the_shortlist_is_chosen(self) -> None:
        host = _Host(1)
        among = host.shortlist(LONG)
        uses = [
            UpstreamUse(short_name(name), (0, 0, 90_000), 3, 0, b"\0\0\3")
            for name in among[:2]
        ]
        host.loads.add_tracked(uses, 0.0)
        assert self._choose(host, among) == among[2]

    def test_upstream_that_only_seems_idle_is_not_chosen(self) -> None:
        """Guards against all hosts sending to one engine between two reports.

        By the reports an engine is idle; it must not be chosen without asking
        for its load, since requests may have been sent there meanwhile.
        """
        host = _Host(1)
        among = host.shortlist(LONG)
        uses = [
            UpstreamUse(short_name(name), (0, 0, 500), 1, 0, b"\0\0\1")
            for name in among
        ]
        host.loads.add_tracked(uses, 0.0)
        assert self._choose(host, among) in among

    def test_others_are_chosen_if_the_shortlist_is_excluded(self) -> None:
        host = _Host(1)
        found = host.placement.choose(
            ENGINES,
            POOL,
            LONG,
            frozenset({"e00"}),
            0.0,
            is_loose=True,
            urgency=2,
            among=["e00"],
        )
        assert isinstance(found, Choice)
