"""Goes on with streams of unknown version from the copies of their runs."""

from collections.abc import Iterator

from hollyknot_coordination.forwarding import (
    Choice,
    has_secret_name,
    possible_holders,
    run_key,
)
from hollyknot_coordination.suspects import Sendable
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._exchange import Result
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._job import Job
from hollyknot_gateway._tries import Tries
from hollyknot_gateway._upstream_selector import UpstreamSelector
from hollyknot_state.routes import UpstreamEntry


class CopyTries:
    """Offers requests to the upstreams that may keep copies of their runs.

    An upstream without the copy refuses the request and does not run it, so
    that one that runs it has the version that began the stream.
    """

    def __init__(
        self, parts: FlowParts, selector: UpstreamSelector, tries: Tries
    ) -> None:
        """Builds an instance.

        Args:
            parts: The flow's parts.
            selector: Tells which upstreams may get a request now.
            tries: Runs the tries.
        """
        self._parts = parts
        self._selector = selector
        self._tries = tries

    def may_exist(self, job: Job) -> bool:
        """Whether the run that a request goes on with may have been copied."""
        engine = job.service.engine
        if engine is None or engine.copy_s is None:
            return False
        return has_secret_name(job.call.resumes)

    async def run(self, job: Job, gate: Sendable) -> Result | None:
        """Sends a request to the upstreams that may keep the copy of its run.

        Args:
            job: A request that goes on with a stream of unknown version.
            gate: Which upstreams the request may be sent to.

        Returns:
            The result of the try that was not refused; None if all were, or if
            no upstream could be asked.
        """
        for entry in self._holders(job, gate):
            is_allowed = job.sent < job.route.max_attempts
            if not is_allowed or not self._takes_from_budget(job):
                return None
            job.resumes_copy = True
            result = await self._tries.run(job, Choice(entry, 0, 0))
            job.resumes_copy = False
            is_refused = result.verdict.is_proved_not_run
            self._parts.metrics.count(
                metrics.COPY_TRIES,
                service=job.service.name,
                outcome="refused" if is_refused else "sent",
            )
            if not is_refused:
                return result
        return None

    def _holders(self, job: Job, gate: Sendable) -> Iterator[UpstreamEntry]:
        """Yields the upstreams to ask, as long as they may get requests."""
        parts = self._parts
        service = job.service.name
        key = run_key(job.customer, job.call.resumes, job.call)
        usable = parts.in_force.registry.usable(service, parts.clock())
        unreachable = self._selector.unreachable(usable)
        reachable = [e for e in usable if e.incarnation not in unreachable]
        for entry in possible_holders(key, reachable, parts.rng):
            excluded = job.tried | gate.exclude
            excluded |= self._selector.blocked(job, [entry], parts.clock())
            # An upstream that must not reject many requests is not asked.
            is_brittle = parts.brittle.max_rejections(entry) is not None
            if entry.incarnation not in excluded and not is_brittle:
                yield entry

    def _takes_from_budget(self, job: Job) -> bool:
        """Charges a further try to the retry budget, if it allows one."""
        if not job.sent:
            return True
        parts = self._parts
        service, now = job.service.name, parts.clock()
        if parts.budget.remaining(service, now) < 1.0:
            return False
        parts.budget.spend(service, now)
        return True
