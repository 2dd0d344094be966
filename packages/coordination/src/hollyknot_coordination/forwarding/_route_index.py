"""Finds a request's route, by host and then by the longest path prefix."""

import enum

from hollyknot_coordination.forwarding._gap_tolerance import GapTolerance
from hollyknot_state import TIERS
from hollyknot_state.routes import (
    KeyOwner,
    NoKeys,
    RequiredKeys,
    Route,
    RouteTable,
)

LEAST_URGENT = 9
"""The least urgent of the ten urgencies that engines support; 0 is the most
urgent."""


class NoRoute(enum.Enum):
    """Reason why a request has no route."""

    UNKNOWN = "no-route"


class NoOwner(enum.Enum):
    """Reason why a request's key has no owner."""

    UNKNOWN = "unknown-key"
    NOT_NEEDED = "no-key-needed"


class RouteIndex:
    """An index of the routes of one version of the table.

    A lookup takes one dictionary access for each slash in the path, whatever
    the number of routes.
    """

    def __init__(self, table: RouteTable) -> None:
        """Creates the index of a table."""
        self._table = table
        self._by_host: dict[str, dict[str, Route]] = {}
        self._longest_prefix = 0
        keys = table.keys
        # Those of customers whose keys are revoked count too: urgencies must
        # not change with the keys.
        self._has_owner_priorities = isinstance(keys, RequiredKeys) and any(
            customer.priority is not None for customer in keys.customers
        )
        # With more route priorities than this, customers' priorities are
        # ignored: the numbers would exceed the least urgent one, and requests
        # of different routes would get the same urgency.
        self._has_room_for_owner_ranks = all(
            0 <= route.priority < len(TIERS) for route in table.routes
        )
        self._tolerances: dict[str, GapTolerance] = {}
        self._shed_from_by_service: dict[str, int] = {}
        for route in table.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
            self._longest_prefix = max(self._longest_prefix, len(route.prefix))

    @property
    def table(self) -> RouteTable:
        """The table that is indexed."""
        return self._table

    @property
    def names_customers(self) -> bool:
        """Whether the table names customers."""
        return isinstance(self._table.keys, RequiredKeys)

    def find(self, host: str, path: str) -> Route | NoRoute:
        """Returns the route of a request.

        Args:
            host: Value of the `Host` header; its port is ignored.
            path: Path of the request, with or without a query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return NoRoute.UNKNOWN
        rest = path.partition("?")[0]
        # Bounded by the longest prefix: a path of thousands of slashes would
        # otherwise take thousands of lookups.
        end = rest.rfind("/", 0, self._longest_prefix)
        while end >= 0:
            route = prefixes.get(rest[: end + 1])
            if route is not None:
                return route
            end = rest.rfind("/", 0, end)
        return NoRoute.UNKNOWN

    def is_loose(self, route: Route, service: str) -> bool:
        """Whether a route's streams tolerate long inter-token gaps."""
        tolerance = self._tolerances.get(service)
        if tolerance is None:
            tolerance = GapTolerance(self._table.routes, service)
            self._tolerances[service] = tolerance
        return tolerance.is_loose(route)

    def urgency(self, route: Route, owner: KeyOwner | NoOwner) -> int:
        """Returns a request's urgency; 0 is the most urgent.

        Urgencies are ordered by the route's priority and then by the
        customer's. Engines run the most urgent requests first and drop the
        least urgent ones when memory runs out. If two hosts computed different
        urgencies, or requests of different routes got the same one, a long
        review could displace a short question. Ordered by customer first, 18
        of 206 requests dropped for lack of memory ran beside requests of less
        urgent routes; ordered by route first, none of 430 did.

        The numbers must not depend on which priorities are in use: these
        change with each key, and running requests keep their urgency.
        """
        if not self._has_owner_priorities or not self._has_room_for_owner_ranks:
            return min(max(route.priority, 0), LEAST_URGENT)
        own = route.priority
        if isinstance(owner, KeyOwner) and owner.priority is not None:
            own = owner.priority
        return route.priority * len(TIERS) + min(max(own, 0), len(TIERS) - 1)

    def shed_from_urgency(self, service: str) -> int:
        """Returns the urgency from which a service's streams may be shed.

        Only streams of its least urgent routes may be shed, and only if it has
        more urgent ones. Otherwise the number returned is above all urgencies.
        """
        known = self._shed_from_by_service.get(service)
        if known is None:
            known = self._find_shed_from_urgency(service)
            self._shed_from_by_service[service] = known
        return known

    def _find_shed_from_urgency(self, service: str) -> int:
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
        """Returns the customer that holds a key, or why there is none."""
        keys = self._table.keys
        if isinstance(keys, NoKeys) or not route.needs_key:
            return NoOwner.NOT_NEEDED
        return keys.owners.get(key, NoOwner.UNKNOWN)
