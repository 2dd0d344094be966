"""Tests the lookup of routes and customers, and the urgency of requests."""

import attrs
import pytest

from hollyknot_coordination.forwarding import NoOwner, NoRoute, RouteIndex
from hollyknot_coordination.forwarding._route_index import LEAST_URGENT
from hollyknot_coordination.forwarding.tests._builders import route, table
from hollyknot_state.routes import (
    KeyOwner,
    RequiredKeys,
    RouteKind,
    RouteTable,
)


class TestFind:
    """Finds routes by host, then by the longest prefix."""

    @pytest.mark.parametrize(
        ("host", "path", "name"),
        [
            ("h.example", "/a/", "short"),
            ("h.example", "/a/x", "short"),
            ("h.example", "/a/b/", "long"),
            ("h.example", "/a/b/c?d=/a/", "long"),
            ("H.Example:8080", "/a/b/c", "long"),
            ("other.example", "/a/b/c", "other"),
        ],
    )
    def test_longest_prefix_of_the_host(
        self, host: str, path: str, name: str
    ) -> None:
        index = RouteIndex(
            table(
                route("short", "/a/"),
                route("long", "/a/b/"),
                route("other", "/", "other.example"),
            )
        )
        found = index.find(host, path)
        assert not isinstance(found, NoRoute)
        assert found.name == name

    @pytest.mark.parametrize("path", ["/a", "/", "/b/a/", "", "/a?/a/"])
    def test_path_without_a_matching_prefix_has_no_route(
        self, path: str
    ) -> None:
        index = RouteIndex(table(route("short", "/a/")))
        assert index.find("h.example", path) is NoRoute.UNKNOWN

    def test_many_slashes_cost_no_more_than_the_longest_prefix(self) -> None:
        index = RouteIndex(table(route("short", "/a/")))
        assert index.find("h.example", "/" * 100_000) is NoRoute.UNKNOWN


class TestOwner:
    """Finds the customer that holds a key."""

    def test_known_unknown_and_not_needed(self) -> None:
        index = RouteIndex(table(route(), k1=None))
        found = index.find("h.example", "/a/")
        assert not isinstance(found, NoRoute)
        assert index.owner(found, "k1") == KeyOwner("customer-k1", None)
        assert index.owner(found, "k2") is NoOwner.UNKNOWN
        open_index = RouteIndex(table(route()))
        assert open_index.owner(found, "") is NoOwner.NOT_NEEDED

    @pytest.mark.parametrize("key", ["", "k1", "k2"])
    def test_without_any_key_left_no_request_may_run(self, key: str) -> None:
        """Guards against open routes after the last key was revoked."""
        index = RouteIndex(RouteTable(1, (route(),), keys=RequiredKeys()))
        assert index.owner(route(), key) is NoOwner.UNKNOWN
        exempt = attrs.evolve(route(), needs_key=False)
        assert index.owner(exempt, key) is NoOwner.NOT_NEEDED


class TestUrgency:
    """Computes the same urgency at all hosts."""

    def test_route_first_then_customer(self) -> None:
        """An engine out of memory drops questions while it runs reviews.

        It happens if urgency depends on the customer alone or first: reviews
        of one customer are then more urgent than questions of the others.
        """
        question, review = route("q", "/q/"), route("r", "/r/", priority=2)
        index = RouteIndex(table(question, review, first=0, usual=1))
        first, usual = KeyOwner("f", 0), KeyOwner("u", 1)
        ranks = [
            index.urgency(question, first),
            index.urgency(question, usual),
            index.urgency(review, first),
            index.urgency(review, usual),
        ]
        assert ranks == sorted(set(ranks))

    @pytest.mark.parametrize("priorities", [(0, 1, 2), (1, 4, 7), (0, 8, 30)])
    def test_urgency_is_one_that_engines_support(
        self, priorities: tuple[int, ...]
    ) -> None:
        """Requests of different routes get the same urgency.

        It happens with route priorities of 4 and 7, if these are multiplied by
        three to make room for customers' priorities and limited to 9.
        """
        routes = [route(f"r{p}", f"/{p}/", priority=p) for p in priorities]
        index = RouteIndex(table(*routes, first=0, usual=1))
        ranks = [index.urgency(r, KeyOwner("u", 1)) for r in routes]
        assert ranks == sorted(set(ranks))
        assert 0 <= ranks[0] <= ranks[-1] <= LEAST_URGENT

    def test_urgency_does_not_depend_on_which_priorities_are_in_use(
        self,
    ) -> None:
        """Running requests have urgencies on another scale than new ones.

        It happens if urgencies are numbered by the priorities in the table,
        and the only key of a customer of priority 0 is revoked.
        """
        usual = KeyOwner("u", 1)
        before = RouteIndex(table(route(), first=0, usual=1))
        after = RouteIndex(table(route(), usual=1))
        assert before.urgency(route(), usual) == after.urgency(route(), usual)

    def test_urgency_does_not_depend_on_which_customers_have_a_key(
        self,
    ) -> None:
        """Guards against urgencies of two scales after the last key goes."""
        usual = KeyOwner("u", 1)
        keys = RequiredKeys({}, (usual,))
        before = RouteIndex(table(route(priority=2), usual=1))
        after = RouteIndex(RouteTable(1, (route(priority=2),), keys=keys))
        assert before.urgency(route(priority=2), usual) == after.urgency(
            route(priority=2), usual
        )

    def test_routes_alone_where_no_customer_has_a_priority(self) -> None:
        index = RouteIndex(table(route(priority=4), k1=None))
        owner = KeyOwner("customer-k1", None)
        assert index.urgency(route(priority=4), owner) == 4


class TestLooseStreams:
    """Finds routes whose streams tolerate long inter-token gaps."""

    @pytest.mark.parametrize(
        ("pauses_s", "are_loose"),
        [
            ((0.2, 0.3, 0.8), (False, True, True)),
            ((0.25, 0.4, 1.0), (False, True, True)),
            ((0.2, 0.25, 0.8), (False, False, True)),
            ((0.2, 0.25), (False, False)),
            ((0.8, 0.8), (False, False)),
        ],
    )
    def test_all_but_the_shortest_pauses_are_loose(
        self, pauses_s: tuple[float, ...], are_loose: tuple[bool, ...]
    ) -> None:
        """Streams with the shortest gap target are late in bursts of others.

        Prompts of 2,000 tokens, whose streams tolerate gaps of 0.3 s, arrive
        beside streams that tolerate 0.2 s. It happens if routes are divided
        only at the largest difference between targets, so that both kinds
        share the few upstreams of one lane.
        """
        routes = [
            route(f"r{index}", f"/{index}/", gap_s=pause_s)
            for index, pause_s in enumerate(pauses_s)
        ]
        index = RouteIndex(table(*routes))
        found = tuple(index.is_loose(r, "engines") for r in routes)
        assert found == are_loose

    def test_a_route_without_a_pause_target_is_loose(self) -> None:
        plain = route("p", "/p/", kind=RouteKind.IDEMPOTENT, gap_s=0.0)
        index = RouteIndex(table(plain, route("a", "/a/")))
        assert index.is_loose(plain, "engines")


class TestShedsFrom:
    """Finds the urgency from which streams may be shed."""

    @pytest.mark.parametrize(
        ("priorities", "owner_priority", "shed_from_urgency"),
        [
            ((0, 1, 2), None, 2),
            ((0, 1, 2), 1, 6),
            ((0, 5, 30), None, LEAST_URGENT),
            ((0, 0), None, LEAST_URGENT + 1),
            ((2,), 1, LEAST_URGENT + 1),
            ((), None, LEAST_URGENT + 1),
        ],
    )
    def test_only_the_least_urgent_of_several(
        self,
        priorities: tuple[int, ...],
        owner_priority: int | None,
        shed_from_urgency: int,
    ) -> None:
        routes = [
            attrs.evolve(
                route(f"r{index}", f"/{index}/", priority=priority),
                has_prompts=True,
            )
            for index, priority in enumerate(priorities)
        ]
        index = RouteIndex(table(*routes, key=owner_priority))
        assert index.shed_from_urgency("engines") == shed_from_urgency

    def test_no_more_urgent_route_reaches_it(self) -> None:
        routes = [
            attrs.evolve(
                route(f"r{priority}", f"/{priority}/", priority=priority),
                has_prompts=True,
            )
            for priority in (0, 1, 2)
        ]
        index = RouteIndex(table(*routes, first=0, last=2))
        owners = [KeyOwner("c", rank) for rank in (None, 0, 1, 2, 9)]
        shed_from_urgency = index.shed_from_urgency("engines")
        for owner in owners:
            urgencies = [index.urgency(r, owner) for r in routes]
            assert urgencies[1] < shed_from_urgency <= urgencies[2]
