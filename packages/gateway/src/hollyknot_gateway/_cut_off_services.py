"""Tracks the services of which a host reaches no upstream at all."""

from collections.abc import Callable, Sequence

from hollyknot_coordination.forwarding import Reachability, UpstreamRegistry
from hollyknot_gateway._log import Log
from hollyknot_state.routes import UpstreamEntry


class CutOffServices:
    """The services that one host is cut off from, and since when."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        reachability: Reachability,
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Builds a tracker that takes all services for reachable.

        Args:
            registry: Known upstreams.
            reachability: Records which upstreams can't be connected to.
            log: Logs both changes of a service.
            clock: The loop's monotonic clock, in seconds.
        """
        self._registry = registry
        self._reachability = reachability
        self._log = log
        self._clock = clock
        self._since_s: dict[str, float] = {}

    @property
    def names(self) -> frozenset[str]:
        """Names of the services of which no upstream was reached last time."""
        return frozenset(self._since_s)

    def check(self) -> None:
        """Compares the services with the upstreams that are unreachable now."""
        if not self._since_s and not self._reachability.has_unreachable:
            return
        now_s = self._clock()
        cut_off = self._cut_off(now_s)
        for service, upstreams in cut_off.items():
            if service not in self._since_s:
                self._since_s[service] = now_s
                self._log.line(
                    "service_unreachable", service=service, upstreams=upstreams
                )
        for service in self._since_s.keys() - cut_off.keys():
            after_s = now_s - self._since_s.pop(service)
            self._log.line(
                "service_reachable",
                service=service,
                after_ms=round(after_s * 1000),
            )

    def _cut_off(self, now_s: float) -> dict[str, int]:
        """Returns the number of upstreams of each service that is cut off."""
        by_service: dict[str, list[UpstreamEntry]] = {}
        for entry in self._registry.all_serving(now_s):
            by_service.setdefault(entry.service, []).append(entry)
        return {
            service: len(entries)
            for service, entries in by_service.items()
            if self._reaches_none(entries)
        }

    def _reaches_none(self, entries: Sequence[UpstreamEntry]) -> bool:
        return len(self._reachability.unreachable(entries)) == len(entries)
