"""The time that requests have left while a host stops."""

import asyncio
import math
from collections.abc import Callable

from hollyknot_coordination.forwarding import Durations
from hollyknot_gateway._job import Job
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import Route, RouteKind

RETRY_S = 0.1
"""Mean Retry-After in seconds of a request that a stopping host refuses while
other hosts may take it at once."""

_TOO_LATE = "the host ends before an answer can be expected"
_ENDED = "the host has ended before the answer"


class Grace:
    """Tells what a stopping host can still serve and ends what it can't."""

    def __init__(
        self,
        has_peers: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        """Creates the grace of a host that does not stop yet.

        Args:
            has_peers: Returns whether other hosts take requests of a service.
            clock: The loop's monotonic clock, in seconds.
        """
        self._has_peers = has_peers
        self._clock = clock
        self._durations = Durations()
        self._ends_s = math.inf
        self._limits: set[asyncio.Timeout] = set()

    def begin(self, ends_s: float) -> None:
        """Limits the requests in work, and all that come.

        Args:
            ends_s: Time at which the host answers all requests that it still
                has, in seconds.
        """
        self._ends_s = ends_s
        for limit in self._limits:
            due_s = limit.when()
            if not limit.expired() and due_s is not None and due_s > ends_s:
                limit.reschedule(ends_s)

    def end_s(self, deadline_s: float) -> float:
        """Returns when a request with a deadline has to be answered."""
        return min(deadline_s, self._ends_s)

    def is_shortened(self, job: Job) -> bool:
        """Whether a request has to be answered before its deadline."""
        return self._ends_s < job.deadline_s

    def refusal(self, job: Job) -> Verdict:
        """Returns why a request that has not run is not sent any more."""
        retry_after_s = RETRY_S if self._has_peers(job.service.name) else 0.0
        return Verdict(
            Outcome.NOT_RUN, Reason.STOPPING, _TOO_LATE, retry_after_s
        )

    def end(self, job: Job) -> Verdict:
        """Returns the end of a request that the host can't wait for."""
        if not job.may_have_run:
            return self.refusal(job)
        return Verdict(Outcome.MAY_HAVE_RUN, Reason.STOPPING, _ENDED)

    def add(self, limit: asyncio.Timeout) -> None:
        """Adds the timeout of a request, which ends with the grace."""
        self._limits.add(limit)

    def discard(self, limit: asyncio.Timeout) -> None:
        """Removes the timeout of a request that has ended."""
        self._limits.discard(limit)

    def observe(self, route: str, took_s: float) -> None:
        """Records how long a try of a route has taken, in seconds."""
        self._durations.observe(route, took_s)

    def is_too_late(self, job: Job) -> bool:
        """Whether a try that began now could not be expected to end in time.

        If it may have run, or if its caller has a part of the answer, a refusal
        would not help, and a try whose duration is unknown is worth making.
        """
        if not self.is_shortened(job):
            return False
        left_s = self._ends_s - self._clock()
        if left_s <= 0:
            return True
        if job.reply.has_begun:
            return False
        bound_s = self._durations.bound_s(job.route.name)
        if bound_s is None:
            return not job.may_have_run and _target_s(job.route) > left_s
        return bound_s > left_s


def _target_s(route: Route) -> float:
    """Returns the time within which a route's answers are to end.

    Returns:
        Seconds; the route's timeout if it has no target for the end.
    """
    if route.kind is RouteKind.STREAM or route.target_s <= 0:
        return route.timeout_s
    return route.target_s
