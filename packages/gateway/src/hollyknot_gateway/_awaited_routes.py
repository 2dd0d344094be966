"""Has a host that starts wait for the routes that its peers have in force."""

from hollyknot_gateway._log import Log
from hollyknot_gateway._routing_state import RoutingState
from hollyknot_state import HostReport


class AwaitedRoutes:
    """Waits for newer routes than those of a directory that was restored.

    The directory of a host that starts may have been restored from a copy that
    is older than the routes that its peers have in force.
    """

    def __init__(
        self, routing_state: RoutingState, apply_s: float, log: Log
    ) -> None:
        """Creates an instance that waits for nothing.

        Args:
            routing_state: Routes in force.
            apply_s: Seconds within which a host has to apply new routes, for
                which it waits.
            log: Logs the wait.
        """
        self._routing_state = routing_state
        self._apply_s = apply_s
        self._log = log
        # None until a peer has told the version of its routes.
        self._until_s: float | None = None

    def on_report(self, report: HostReport, now_s: float) -> None:
        """Waits for the routes that a peer has in force."""
        if self._until_s is None:
            self._until_s = now_s + self._apply_s
        if now_s >= self._until_s:
            return
        if self._routing_state.await_table(report.table_version):
            self._log.line(
                "routes_withdrawn",
                peer=report.host,
                peer_version=report.table_version,
            )

    def check(self, now_s: float) -> None:
        """Ends the wait for routes that the directory doesn't have in time."""
        if self._until_s is None or now_s < self._until_s:
            return
        if self._routing_state.stop_awaiting():
            self._log.line("routes_not_awaited")
