"""Logs what placement has learnt: sizes of lanes and slow upstreams."""

from collections.abc import Callable, Mapping

from hollyknot_coordination.forwarding import LaneSize, Speeds
from hollyknot_gateway._log import Log
from hollyknot_gateway._routing_state import RoutingState

SLOW_FROM = 2.0
"""Slowness from which an upstream counts as slow."""

USUAL_BELOW = 1.5
"""Slowness below which a slow upstream counts as usual again. It is lower than
`SLOW_FROM`, so that a value near one bound is not logged at each check."""


class PlacementLog:
    """Logs changes of the lanes that a host uses and of slow upstreams."""

    def __init__(
        self,
        lane_sizes: Callable[[], Mapping[str, LaneSize]],
        slowness: Callable[[], Mapping[str, float]],
        log: Log,
    ) -> None:
        """Builds a log of a host that has learnt nothing yet.

        Args:
            lane_sizes: Returns the sizes in use by service.
            slowness: Returns the slowness of upstreams by incarnation.
            log: Where the lines are written.
        """
        self._lane_sizes = lane_sizes
        self._slowness = slowness
        self._log = log
        self._logged_sizes: dict[str, LaneSize] = {}
        self._slow: frozenset[str] = frozenset()

    @property
    def slow_count(self) -> int:
        """Number of upstreams that count as slow."""
        return len(self._slow)

    @property
    def own_sizes(self) -> int:
        """Number of services whose lanes this host sizes by itself."""
        return sum(not size.is_told for size in self._lane_sizes().values())

    def check(self) -> None:
        """Logs what has changed since the last call."""
        self._check_lanes()
        self._check_speeds()

    def _check_lanes(self) -> None:
        for service, size in self._lane_sizes().items():
            if self._logged_sizes.get(service) == size:
                continue
            self._logged_sizes[service] = size
            self._log.line(
                "lanes",
                service=service,
                loose=size.loose,
                upstreams=size.count,
                sized_by="peer" if size.is_told else "self",
            )

    def _check_speeds(self) -> None:
        slowness = self._slowness()
        slow = frozenset(
            name
            for name, factor in slowness.items()
            if factor >= (USUAL_BELOW if name in self._slow else SLOW_FROM)
        )
        for name in sorted(slow - self._slow):
            self._log.line(
                "upstream_slow",
                upstream=name,
                slowness=round(slowness[name], 2),
            )
        for name in sorted(self._slow - slow):
            self._log.line("upstream_usual", upstream=name)
        self._slow = slow


def slowness_reader(
    in_force: RoutingState, speeds: Speeds, clock: Callable[[], float]
) -> Callable[[], Mapping[str, float]]:
    """Returns a function that returns the slowness of all usable upstreams.

    Args:
        in_force: Current routes and upstreams.
        speeds: Speeds of upstreams.
        clock: The loop's monotonic clock, in seconds.
    """

    def read() -> dict[str, float]:
        now_s = clock()
        index = in_force.index
        found: dict[str, float] = {}
        for service in index.table.services if index is not None else ():
            entries = in_force.registry.usable(service, now_s)
            found |= speeds.slowness(entries, now_s)
        return found

    return read
