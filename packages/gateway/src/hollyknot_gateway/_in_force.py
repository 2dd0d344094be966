"""What a host believes at this moment: its routes and its upstreams."""

import attrs

from hollyknot_coordination.forwarding import RouteIndex, UpstreamRegistry
from hollyknot_state.routes import ColdStart, RouteTable


@attrs.define
class InForce:
    """The newest route table and the upstreams.

    Attributes:
        fleet: The upstreams.
        index: Of the newest table; None until one is known.
        has_fleet: Whether the upstreams have been listed once.
        evacuated: Data centres that get no new work.
    """

    fleet: UpstreamRegistry
    index: RouteIndex | None = None
    has_fleet: bool = False
    evacuated: frozenset[str] = frozenset()

    @property
    def is_known(self) -> bool:
        """Whether a request can be judged by what is known."""
        return self.index is not None and self.has_fleet

    def cold_start(self, service: str) -> ColdStart | None:
        """Returns what upstreams of a service bear just after their start."""
        if self.index is None:
            return None
        found = self.index.table.services.get(service)
        return found.cold_start if found is not None else None

    def evacuate(self, data_centres: frozenset[str]) -> frozenset[str]:
        """Keeps new work from these data centres, and from no others.

        Returns:
            Those that got none before.
        """
        before = self.evacuated
        if data_centres != before:
            self.evacuated = data_centres
            self.fleet.set_evacuated(data_centres)
        return before

    def take_table(self, table: RouteTable) -> bool:
        """Puts a version in force, unless it is older.

        A slow read may end after a newer one: going back to it would run
        requests by routes and keys that operators have taken away.

        Returns:
            Whether it is in force now and was not before.
        """
        if self.index is not None and table.version <= self.index.table.version:
            return False
        self.index = RouteIndex(table)
        self.fleet.set_services(table.services)
        return True
