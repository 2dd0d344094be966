"""Holds the route table and the upstreams that a host uses at present."""

import attrs

from hollyknot_coordination.forwarding import (
    NoRoute,
    RouteIndex,
    UpstreamRegistry,
)
from hollyknot_state.routes import ColdStart, Route, RouteTable

_MAX_FORMER = 1024
"""Most places whose former services are remembered."""


@attrs.define
class RoutingState:
    """The newest route table and the known upstreams.

    The table that a host reads first may be from an older copy of the
    directory. It is not in force while peers are known to have a newer one.

    Attributes:
        registry: The known upstreams.
        index: The index of the route table in force; None for none.
        has_upstreams: Whether the upstreams have been listed at least once.
        evacuated: The data centres that get no new requests.
        longest_stream_s: Longest time in seconds for which any table so far has
            let callers wait for a stream that they may resume.
    """

    registry: UpstreamRegistry
    index: RouteIndex | None = None
    has_upstreams: bool = False
    evacuated: frozenset[str] = frozenset()
    longest_stream_s: float = 0.0
    _newest: RouteIndex | None = attrs.field(default=None, init=False)
    _awaited: int = attrs.field(default=0, init=False)
    # By place: the services of routes that resume no streams any more.
    _former: dict[tuple[str, str], frozenset[str]] = attrs.field(
        factory=dict, init=False
    )

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
        newest = self._newest
        if newest is not None and table.version <= newest.table.version:
            return False
        self._newest = RouteIndex(table)
        timeouts = (r.timeout_s for r in table.routes if r.may_resume)
        self.longest_stream_s = max(self.longest_stream_s, *timeouts, 0.0)
        self.registry.set_services(table.services)
        self._update_index()
        return self.index is not None

    def is_replaced_by(self, table: RouteTable) -> bool:
        """Whether a table is newer than one that is known."""
        newest = self._newest
        return newest is not None and table.version > newest.table.version

    def moved_services(self, table: RouteTable) -> frozenset[str]:
        """Returns the services between which a table moves streams.

        A route may move by several tables, of which one resumes no streams.

        Args:
            table: A table that has not been applied yet; an outdated one moves
                none.
        """
        if self._newest is None or not self.is_replaced_by(table):
            return frozenset()
        before, after = self._newest, RouteIndex(table)
        moved: set[str] = set()
        for place in _stream_places(before.table) | _stream_places(table):
            old = _stream_services(before.find(*place)) or self._former.pop(
                place, frozenset()
            )
            new = _stream_services(after.find(*place))
            if old and not new and len(self._former) < _MAX_FORMER:
                self._former[place] = old
            if old and new and old != new:
                moved |= old | new
        return frozenset(moved)

    def await_table(self, version: int) -> bool:
        """Puts no version of the route table in force that is older than this.

        Returns:
            Whether the version in force has been withdrawn.
        """
        before = self.index
        self._awaited = max(self._awaited, version)
        self._update_index()
        return before is not None and self.index is None

    def stop_awaiting(self) -> bool:
        """Puts the newest version in force, whichever it is.

        Returns:
            Whether it was not in force before.
        """
        before = self.index
        self._awaited = 0
        self._update_index()
        return before is not self.index

    def _update_index(self) -> None:
        newest = self._newest
        if newest is None or newest.table.version < self._awaited:
            self.index = None
        else:
            self.index = newest


def _stream_places(table: RouteTable) -> set[tuple[str, str]]:
    """Returns hosts and prefixes of the routes that resume streams."""
    return {(r.host, r.prefix) for r in table.routes if r.may_resume}


def _stream_services(route: Route | NoRoute) -> frozenset[str]:
    """Returns the services of a route whose streams may be taken up."""
    if isinstance(route, NoRoute) or not route.may_resume:
        return frozenset()
    return frozenset(route.services)
