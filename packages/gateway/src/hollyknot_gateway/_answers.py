"""Writes the final answer to a caller, with its log line and counters."""

from hollyknot_coordination.forwarding import GiveUp
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._exchange import Result
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._job import Job
from hollyknot_gateway._relay_messages import tell_verdict
from hollyknot_gateway._reply import Reply
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import CallTraits

RETRY_AFTER_S = 0.5
"""Mean Retry-After of a refusal, in seconds: long enough for an upstream to be
usable again, short compared with the time limits of routes."""

RETRY_JITTER = 0.5
"""Fraction by which Retry-After varies either way: callers that are refused
together would otherwise return together."""

MAX_RETURN_DELAY_S = 0.25
"""Longest time in seconds between the moment from which an upstream may take a
refused request and the return of its caller: callers that wait for the same
moment, such as the end of a rest, would otherwise return together."""

NO_ROUTE = ""
"""The route in log lines and counters of a request that matches none."""

_UNAVAILABLE = 503
_TIMEOUT = 504
_OK = 200
_NO_STATUS = 0
"""The status in log lines and counters if no complete answer was sent."""

_TIME_LIMIT_PASSED = "the time limit of the route or the caller has passed"


class Answers:
    """Writes answers, counts them and logs refusals."""

    def __init__(self, parts: FlowParts) -> None:
        """Builds the writer of answers from the flow's parts."""
        self._parts = parts

    def answer_if_settled(self, job: Job, result: Result) -> bool:
        """Answers the caller if a try has completed its request.

        Returns:
            Whether the request is answered.
        """
        if job.reply.has_ended:
            self._count(job.route.name, result.verdict, _OK, job)
            return True
        verdict = result.verdict
        if not verdict.is_complete or result.answer is None:
            return False
        answer = result.answer
        job.reply.respond(answer.status, answer.headers, answer.body)
        self._count(job.route.name, verdict, answer.status, job)
        return True

    def give_up(self, job: Job, result: Result, step: GiveUp) -> None:
        """Answers a request that is not tried again."""
        if job.reply.has_begun:
            self._cut_off(job, step.verdict)
        elif result.answer is not None:
            answer = result.answer
            job.reply.respond(answer.status, answer.headers, answer.body)
            self._count(job.route.name, result.verdict, answer.status, job)
        else:
            self.refuse(job.reply, job.call, step, job)

    def time_out(self, job: Job) -> None:
        """Answers a request whose deadline or whose host's grace has passed."""
        if job.reply.has_ended:
            # The answer ended just before its task could be woken.
            self._count(job.route.name, Verdict(Outcome.COMPLETE), _OK, job)
            return
        if self._parts.grace.is_shortened(job):
            verdict = self._parts.grace.end(job)
        elif job.may_have_run:
            verdict = Verdict(
                Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT, _TIME_LIMIT_PASSED
            )
        else:
            verdict = Verdict(
                Outcome.NOT_RUN, Reason.NO_UPSTREAM, _TIME_LIMIT_PASSED
            )
        if job.reply.has_begun:
            self._cut_off(job, verdict)
            return
        status = _TIMEOUT if job.may_have_run else _UNAVAILABLE
        self.refuse(job.reply, job.call, GiveUp(status, verdict), job)

    def caller_gone(self, job: Job) -> None:
        """Counts and logs a request whose caller has disconnected."""
        outcome = Outcome.MAY_HAVE_RUN if job.may_have_run else Outcome.NOT_RUN
        verdict = Verdict(outcome, Reason.CALLER_GONE)
        self._count(job.route.name, verdict, _NO_STATUS, job)
        self._log_end("caller_gone", job.call, job, verdict, _NO_STATUS)

    def _cut_off(self, job: Job, verdict: Verdict) -> None:
        job.reply.abort_answer()
        self._count(job.route.name, verdict, _NO_STATUS, job)
        self._log_end("cut_off", job.call, job, verdict, _NO_STATUS)

    def refuse(
        self, reply: Reply, call: CallTraits, step: GiveUp, job: Job | None
    ) -> None:
        """Answers a request with a status that the host itself chooses.

        Args:
            reply: Writes the answer to the caller.
            call: Values parsed from the request's headers.
            step: The status and why the request is refused.
            job: The request; None if it has no route or no customer.
        """
        verdict = step.verdict
        headers = [(b"Content-Type", b"text/plain")]
        if call.attempt_id:
            name = self._parts.dialect.attempt_header
            attempt = call.attempt_id.encode("utf-8", "surrogateescape")
            headers.append((name, attempt))
        if step.status == _UNAVAILABLE:
            after_s = self._retry_after_s(step)
            headers.append((b"Retry-After", b"%.2f" % after_s))
        if job is not None and job.relayed_for:
            tell_verdict(reply, verdict)
        reply.respond(
            step.status, headers, verdict.reason.value.encode() + b"\n"
        )
        route = job.route.name if job is not None else NO_ROUTE
        self._count(route, verdict, step.status, job)
        self._log_end("refused", call, job, verdict, step.status)

    def _retry_after_s(self, step: GiveUp) -> float:
        """Returns when the caller of a refused request is to come back."""
        rng = self._parts.rng
        if step.return_s is not None:
            return step.return_s + rng.uniform(0, MAX_RETURN_DELAY_S)
        mean_s = step.verdict.retry_after_s or RETRY_AFTER_S
        return mean_s * rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)

    def _log_end(
        self,
        event: str,
        call: CallTraits,
        job: Job | None,
        verdict: Verdict,
        status: int,
    ) -> None:
        if job is not None and job.relayed_for:
            event = f"relayed_{event}"
        self._parts.log.line(
            event,
            request=call.attempt_id,
            route=job.route.name if job is not None else NO_ROUTE,
            status=status,
            outcome=verdict.outcome.value,
            reason=verdict.reason.value,
            detail=verdict.detail,
            customer=job.customer if job is not None else "",
            service=job.service.name if job is not None else "",
        )

    def _count(
        self, route: str, verdict: Verdict, status: int, job: Job | None
    ) -> None:
        """Counts a request of an own caller, or a try made for a peer."""
        if job is not None and job.relayed_for:
            self._parts.metrics.count(
                metrics.RELAYS_TAKEN,
                service=job.service.name,
                outcome=verdict.outcome.value,
            )
            return
        self._parts.metrics.count(
            metrics.REQUESTS,
            route=route,
            status=str(status),
            reason=verdict.reason.value,
        )
