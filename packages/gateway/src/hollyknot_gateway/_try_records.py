"""Logs and measures the tries of requests."""

from hollyknot_coordination.forwarding import Choice, EventFault
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._exchange import Result
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._job import Job
from hollyknot_gateway._lateness import Late
from hollyknot_gateway._log import parts_text
from hollyknot_gateway._upstream_connection import Lost
from hollyknot_state.routes import UpstreamEntry

_STREAM_FAULTS = frozenset(fault.value for fault in EventFault)


class TryRecords:
    """Writes the log lines and metrics of tries."""

    def __init__(self, parts: FlowParts) -> None:
        """Builds the records from the flow's parts."""
        self._parts = parts

    def log_suspect(self, job: Job, entry: UpstreamEntry) -> None:
        """Logs that a request is sent that may have crashed upstreams."""
        crashed = self._parts.suspects.requests.upstreams(
            job.identity.fingerprint
        )
        if crashed:
            self._parts.log.line(
                "suspect_sent",
                request=job.call.attempt_id,
                fingerprint=f"{job.identity.fingerprint:016x}",
                upstream=entry.incarnation,
                crashed=",".join(crashed),
            )

    def log_rejection(self, job: Job, entry: UpstreamEntry) -> None:
        """Logs what this host knew of an upstream that rejected a request."""
        parts = self._parts
        now = parts.clock()
        load = parts.loads.at(entry.incarnation, now)
        parts.log.line(
            "rejected",
            request=job.call.attempt_id,
            upstream=entry.incarnation,
            max_rejections=parts.brittle.max_rejections(entry),
            slots=entry.slots,
            own=parts.loads.own_requests(entry.incarnation),
            seen=load.requests,
            hosts=parts.neighbours.hosts,
        )

    def log_try(self, job: Job, choice: Choice, result: Result) -> None:
        """Logs how a try ended."""
        verdict = result.verdict
        event = "try" if verdict.is_complete else "failed_try"
        relayed_for = {"relayed_for": job.relayed_for}
        parts = {"parts": parts_text(job.call.shared_parts)}
        self._parts.log.line(
            f"relayed_{event}" if job.relayed_for else event,
            **(relayed_for if job.relayed_for else {}),
            **({} if verdict.is_complete else parts),
            request=job.call.attempt_id,
            route=job.route.name,
            upstream=choice.entry.incarnation,
            sent=job.sent,
            outcome=verdict.outcome.value,
            reason=verdict.reason.value,
            status=verdict.upstream_status,
            detail=verdict.detail,
            first_ms=_ms(result.first_s),
            gap_ms=_ms(result.gap_s),
            took_ms=_ms(result.took_s),
            asked_ms=_ms(job.asked_s),
            tokens=job.call.prompt_tokens,
            read=choice.tokens,
            ahead=choice.ahead,
            loose=job.is_loose,
            limit=self._parts.notices.rate(choice.entry),
            leaving=job.was_leaving,
            rest_ms=_ms(job.rest_left_s),
            unreachable=job.was_unreachable,
            customer=job.customer,
            late=job.late.value,
            version=choice.entry.version,
            **event_ids(job),
            resumes=job.call.resumes,
            from_copy=job.resumes_copy,
            reused=result.is_reused,
        )

    def observe(self, job: Job, result: Result) -> None:
        """Counts a try and observes its times."""
        parts = self._parts
        verdict = result.verdict
        parts.metrics.count(
            metrics.TRIES,
            service=job.service.name,
            outcome=verdict.outcome.value,
            reason=verdict.reason.value,
        )
        if verdict.detail == Lost.FLOODED.value:
            parts.metrics.count(metrics.FLOODS, service=job.service.name)
        if verdict.detail in _STREAM_FAULTS:
            parts.metrics.count(metrics.GARBLED, service=job.service.name)
        if verdict.is_complete and job.late is not Late.NO:
            parts.metrics.count(
                metrics.LATE, route=job.route.name, cause=job.late.value
            )
        if result.first_s:
            parts.metrics.observe(
                metrics.FIRST_EVENT_SECONDS,
                result.first_s,
                route=job.route.name,
            )
        if result.gap_s:
            parts.metrics.observe(
                metrics.LONGEST_GAP_SECONDS, result.gap_s, route=job.route.name
            )


def event_ids(job: Job) -> dict[str, str]:
    """Returns which events a try was asked for, and which it has brought."""
    stream = job.stream
    return {
        "after": stream.resumes_after,
        "first_id": stream.framer.first_id,
        "last_id": stream.framer.last_id,
    }


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
