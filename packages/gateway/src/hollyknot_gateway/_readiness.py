"""Decides whether callers may be sent to a host."""

from collections.abc import Callable

from hollyknot_coordination.suspects import Suspects
from hollyknot_gateway._host_tasks import HostTasks
from hollyknot_gateway._log import Log
from hollyknot_gateway._neighbours import Neighbours
from hollyknot_gateway._routing_state import RoutingState


class Readiness:
    """A host is ready once it knows its routes, its upstreams and evidence.

    Without the evidence of its peers it would send what crashes upstreams. A
    host with a task that keeps failing is not ready, since what it knows is
    out of date or will be.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        neighbours: Neighbours,
        suspects: Suspects,
        tasks: HostTasks,
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Creates the readiness of a host that has just started.

        Args:
            routing_state: Routes in force and known upstreams.
            neighbours: The host's peers.
            suspects: What may crash upstreams.
            tasks: The host's tasks.
            log: Logs what the host knows once it is ready.
            clock: The loop's monotonic clock, in seconds.
        """
        self._routing_state = routing_state
        self._neighbours = neighbours
        self._suspects = suspects
        self._tasks = tasks
        self._log = log
        self._clock = clock
        self._started_s = clock()
        self._was_ready = False
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers to this host."""
        return (
            self._routing_state.is_complete
            and self._neighbours.is_informed
            and not self._tasks.failing
            and not self._is_stopping
        )

    def stop(self) -> None:
        """Ends the readiness of a host that is stopping."""
        self._is_stopping = True

    def check(self) -> None:
        """Logs once what the host knows as it becomes ready."""
        if self._was_ready or not self.is_ready:
            return
        self._was_ready = True
        self._log.line(
            "ready",
            took_ms=round((self._clock() - self._started_s) * 1000),
            peers=self._neighbours.count,
            suspects=self._suspects.requests.suspects,
            parts=self._suspects.parts.suspects,
        )
