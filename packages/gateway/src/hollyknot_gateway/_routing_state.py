"""Holds the route table and the upstreams that a host uses at present."""

import attrs

from hollyknot_coordination.forwarding import RouteIndex, UpstreamRegistry
from hollyknot_state.routes import ColdStart, RouteTable


@attrs.define
class RoutingState:
    """The newest route table and the known upstreams.

    Attributes:
        registry: The known upstreams.
        index: The index of the newest route table; None until one is known.
        has_upstreams: Whether the upstreams have been listed at least once.
        evacuated: The data centres that get no new requests.
    """

    registry: UpstreamRegistry
    index: RouteIndex | None = None
    has_upstreams: bool = False
    evacuated: frozenset[str] = frozenset()

    @property
    def is_complete(self) -> bool:
        """Whether a route table and a list of upstreams have been read."""
        return self.index is not None and self.has_upstreams

    def cold_start(self, service: str) -> ColdStart | None:
        """Returns the limits of a service's upstreams just after their start.

        None means that the service is unknown or its upstreams are never cold.
        """
        if self.index is None:
            return None
        found = self.index.table.services.get(service)
        return found.cold_start if found is not None else None

    def evacuate(self, data_centres: frozenset[str]) -> frozenset[str]:
        """Stops new requests to these data centres, and to no others.

        Returns:
            The data centres that were evacuated before.
        """
        before = self.evacuated
        if data_centres != before:
            self.evacuated = data_centres
            self.registry.set_evacuated(data_centres)
        return before

    def apply_table(self, table: RouteTable) -> bool:
        """Puts a version of the route table in force unless it is outdated.

        A slow read may end after a newer one. Applying its result would serve
        requests by routes and keys that operators have since removed.

        Returns:
            Whether this version has replaced the one in force.
        """
        if self.index is not None and table.version <= self.index.table.version:
            return False
        self.index = RouteIndex(table)
        self.registry.set_services(table.services)
        return True
