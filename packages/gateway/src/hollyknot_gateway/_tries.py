"""Sends a request to chosen upstreams and records the result of each try."""

import asyncio

import attrs

from hollyknot_coordination.forwarding import (
    Choice,
    EventFault,
    PlacedRequest,
)
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._exchange import Exchange, Result
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._headers import CONTENT_LENGTH, end_to_end, write_head
from hollyknot_gateway._job import Job
from hollyknot_gateway._lateness import Late, judge
from hollyknot_gateway._pool import ConnectFailure
from hollyknot_gateway._relay_messages import tell_upstream
from hollyknot_gateway._run_copies import copy_target
from hollyknot_gateway._try_records import TryRecords
from hollyknot_gateway._upstream_connection import UpstreamConnection
from hollyknot_gateway._upstream_selector import UpstreamSelector
from hollyknot_state import Address, Outcome, Reason, Verdict
from hollyknot_state.routes import (
    Dispatch,
    RouteKind,
    RunCopy,
    UpstreamEntry,
)

PROOF_DELAY_S = 0.5
"""Seconds for which a stream has to go on until it proves that no part of its
prompt crashes upstreams: one that crashes may have written a few events."""

CRASH_S = 0.01
"""Seconds within which a process that crashes has closed its listening socket
after its connections."""

_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
_CALLER_GONE = Verdict(Outcome.MAY_HAVE_RUN, Reason.CALLER_GONE)
_DEADLINE_PASSED = "the request's deadline has passed"
_CALLER_LEFT = "the caller has left"
_UNAVAILABLE = 503
_NOT_SENT = frozenset(
    {
        Reason.CONNECT_FAILED,
        Reason.NO_UPSTREAM,
        Reason.UPSTREAMS_RESTING,
        Reason.RATE_LIMITED,
        Reason.STOPPING,
    }
)


class Tries:
    """Runs the tries of requests, one upstream at a time."""

    def __init__(self, parts: FlowParts, selector: UpstreamSelector) -> None:
        """Builds the runner of tries.

        Args:
            parts: The flow's parts.
            selector: Tells which upstreams may get a request now.
        """
        self._parts = parts
        self._selector = selector
        self._records = TryRecords(parts)
        self._detached: set[asyncio.Task[None]] = set()

    async def run(self, job: Job, choice: Choice) -> Result:
        """Sends a request to an upstream and returns the result of the try."""
        result = await self._try(job, choice)
        self._record_result(job, choice, result)
        return result

    async def _try(self, job: Job, choice: Choice) -> Result:
        parts = self._parts
        entry = choice.entry
        was_limited = parts.permits.is_limited(entry)
        if was_limited and not await self._has_permit(job, entry):
            return self._selector.no_upstream_result(job)
        was_cold = parts.cold_starts.is_cold(entry.incarnation, parts.clock())
        has_slot = parts.brittle.has_slot(entry, parts.clock())
        if not has_slot or not parts.cold_starts.acquire(
            entry.incarnation, parts.clock()
        ):
            return Result(Verdict(Outcome.NOT_RUN, Reason.NO_UPSTREAM))
        work = parts.placement.begin(
            choice,
            job.call,
            parts.clock(),
            is_loose=job.is_loose,
            urgency=job.urgency,
        )
        is_detached = False
        try:
            left_s = job.deadline_s - parts.clock()
            connection = await parts.pool.acquire(
                entry.incarnation, entry.address, left_s
            )
            if isinstance(connection, ConnectFailure):
                parts.prober.failed(entry, connection)
                verdict = Verdict(
                    Outcome.NOT_RUN, Reason.CONNECT_FAILED, connection.value
                )
                return Result(verdict)
            if not self._still_accepts(
                entry, was_cold=was_cold, was_limited=was_limited
            ):
                connection.close()
                return Result(Verdict(Outcome.NOT_RUN, Reason.NO_UPSTREAM))
            if parts.grace.is_too_late(job):
                self._release(entry, connection)
                return Result(parts.grace.refusal(job))
            exchange = self._send(job, choice, connection, work)
            parts.stalls.add(
                exchange,
                entry.incarnation,
                entry.service,
                job.route,
                lambda: self._retries_left(job, entry),
            )
            try:
                result = await asyncio.shield(exchange.done)
            except asyncio.CancelledError:
                is_detached = self._end_unwaited(job, choice, work, exchange)
                raise
            finally:
                parts.stalls.discard(exchange)
            note_lateness(job, result)
            if exchange.has_head:
                job.last_byte_s = exchange.last_byte_s
            self._release(entry, connection)
            return result
        finally:
            if not is_detached:
                parts.placement.end(work)

    async def _has_permit(self, job: Job, entry: UpstreamEntry) -> bool:
        """Asks for a permit to send a request to a rate-limited upstream."""
        parts = self._parts
        is_issued = await parts.neighbours.ask_permit(
            entry, is_least_urgent=job.is_least_urgent
        )
        job.permits_refused += not is_issued
        parts.metrics.count(
            metrics.PERMITS,
            service=job.service.name,
            outcome="issued" if is_issued else "refused",
        )
        return is_issued

    def _still_accepts(
        self, entry: UpstreamEntry, *, was_cold: bool, was_limited: bool
    ) -> bool:
        """Whether an upstream still takes the request after connecting.

        While the connection was made, the upstream may have begun to shut
        down, restarted (even under its name, in another version), asked for
        rest or announced a rate limit.

        Args:
            entry: The upstream.
            was_cold: Whether it was cold when the try began.
            was_limited: Whether it had a rate limit when the try began.
        """
        parts = self._parts
        now = parts.clock()
        is_cold = parts.cold_starts.is_cold(entry.incarnation, now)
        is_usable = parts.in_force.registry.is_usable(entry.incarnation, now)
        is_limited = parts.permits.is_limited(entry)
        known = parts.in_force.registry.entry_of(entry.incarnation)
        is_same_version = known is not None and known.version == entry.version
        return (
            is_usable
            and is_same_version
            and (was_cold or not is_cold)
            and (was_limited or not is_limited)
        )

    def _retries_left(self, job: Job, entry: UpstreamEntry) -> float:
        """Returns the retries left, or 0 if none can help the request."""
        if not job.may_go_on:
            return 0.0
        if job.relayed_for:
            return 1.0 if job.may_be_retried else 0.0
        parts = self._parts
        now = parts.clock()
        tried = job.tried | {entry.incarnation}
        usable = parts.in_force.registry.usable(job.service.name, now)
        tried |= self._selector.blocked(job, usable, now)
        tried |= self._selector.unreachable(usable)
        others = any(e.incarnation not in tried for e in usable)
        others = others or parts.relays.has_any(job.service.name, now)
        if job.sent >= job.route.max_attempts or not others:
            return 0.0
        return parts.budget.remaining(job.service.name, now)

    def _release(
        self, entry: UpstreamEntry, connection: UpstreamConnection
    ) -> None:
        self._parts.pool.release(entry.incarnation, connection)
        if not connection.is_reusable:
            connection.abandon()

    def _send(
        self,
        job: Job,
        choice: Choice,
        connection: UpstreamConnection,
        work: PlacedRequest,
    ) -> Exchange:
        parts = self._parts
        entry = choice.entry
        stream = job.stream
        is_numbered = parts.dialect.numbers_events or (
            parts.stream_forms.are_numbered(entry.service, entry.version)
        )
        stream.begin_try(
            job.call,
            must_be_numbered=is_numbered,
            furthest=lambda after, has_no_gaps: parts.stream_steps.furthest(
                entry.service, entry.version, after, has_no_gaps=has_no_gaps
            ),
        )
        sent_s = parts.clock()
        exchange = Exchange(
            parts.dialect,
            job.call.attempt_id,
            job.reply,
            stream,
            connection,
            parts.clock,
            lambda: self._record_first_event(job, choice, work, sent_s),
            lambda interval_s: self._record_interval(job, entry, interval_s),
            lambda traits, sent_s: parts.notices.observe(entry, traits, sent_s),
            lambda: self._has_crashed(entry),
        )
        copy_to = copy_target(parts, job, entry)
        job.is_copied = job.is_copied or copy_to is not None
        head = self._request_head(job, choice, copy_to)
        job.sent_s = parts.clock()
        job.is_resumed = job.reply.has_begun
        if not job.sent:
            parts.metrics.observe(
                metrics.ADDED_SECONDS, job.sent_s - job.request.arrived_s
            )
        job.sent += 1
        job.tried_version = entry.version
        job.was_leaving = parts.notices.is_leaving(entry)
        job.rest_left_s = parts.notices.rest_left_s(entry)
        parts.rests.on_sent(entry.incarnation, parts.clock())
        self._records.log_suspect(job, entry)
        if job.relayed_for:
            tell_upstream(job.reply, entry)
        parts.suspects.on_dispatch(job.identity, entry.incarnation)
        # From here on the request may run, even if this task is cancelled.
        job.may_have_run = True
        is_head = job.request.method == "HEAD"
        connection.send(
            head,
            exchange,
            is_head=is_head,
            body=job.request.body,
            is_patient=not job.route.is_repeatable,
        )
        return exchange

    async def _has_crashed(self, entry: UpstreamEntry) -> bool:
        """Whether an upstream that was to serve on refuses connections.

        One that leaves is listed no more, or says so, before its process ends.
        """
        parts = self._parts
        is_usable = parts.in_force.registry.is_usable(
            entry.incarnation, parts.clock()
        )
        if not is_usable or parts.notices.is_leaving(entry):
            return False
        await asyncio.sleep(CRASH_S)
        return await parts.prober.check(entry) is ConnectFailure.REFUSED

    def _record_first_event(
        self, job: Job, choice: Choice, work: PlacedRequest, sent_s: float
    ) -> None:
        parts = self._parts
        if job.route.kind is RouteKind.STREAM:
            self._note_form(job, choice.entry)
        parts.neighbours.versions.on_first_event(
            job, choice.entry.version, choice.entry.incarnation
        )
        parts.placement.start(work)
        parts.speeds.observe(
            choice.entry.incarnation,
            choice.tokens,
            choice.queued_tokens,
            parts.clock() - sent_s,
        )

    def _note_form(self, job: Job, entry: UpstreamEntry) -> None:
        framer = job.stream.framer
        is_other = framer.fault is EventFault.OTHER_NUMBERING
        self._parts.stream_forms.note(
            entry.service,
            entry.version,
            is_numbered=framer.is_numbered and not is_other,
        )

    def _note_step(self, job: Job, entry: UpstreamEntry) -> None:
        numbers = job.stream.framer.numbers
        if numbers is not None and numbers.has_steps:
            self._parts.stream_steps.note(
                entry.service, entry.version, numbers.step
            )

    def _record_interval(
        self, job: Job, entry: UpstreamEntry, interval_s: float
    ) -> None:
        parts = self._parts
        now = parts.clock()
        parts.forecasts.note_interval(entry.incarnation, interval_s, now)
        if job.goes_on_try != job.sent:
            job.goes_on_try, job.goes_on_s = job.sent, now
        elif not job.is_proved and now - job.goes_on_s >= PROOF_DELAY_S:
            job.is_proved = True
            parts.suspects.on_answer(job.identity, now)

    def _request_head(
        self, job: Job, choice: Choice, copy_to: Address | None
    ) -> bytes:
        entry, source = choice.entry, choice.source
        request = job.request
        dispatch = Dispatch(
            upstream=entry.name,
            left_s=job.deadline_s - self._parts.clock(),
            customer=job.customer,
            urgency=job.urgency,
            last_event_id=job.stream.resumes_after,
            is_engine=job.service.engine is not None,
            source=source.address if source is not None else None,
            copy_to=copy_to,
            goes_on_from=RunCopy(entry.address, job.call.resumes)
            if job.resumes_copy
            else None,
        )
        headers = self._parts.dialect.upstream_headers(
            end_to_end(request.headers), dispatch
        )
        if request.has_body or request.method in _BODY_METHODS:
            headers.append((CONTENT_LENGTH.title(), b"%d" % len(request.body)))
        line = f"{request.method} {request.target} HTTP/1.1"
        return write_head(line.encode("latin-1"), headers)

    def _end_unwaited(
        self,
        job: Job,
        choice: Choice,
        work: PlacedRequest,
        exchange: Exchange,
    ) -> bool:
        """Ends a try whose caller has left or whose deadline has passed.

        Returns:
            Whether the request goes on at the upstream and counts as in
            flight until its end.
        """
        is_call = job.route.kind is RouteKind.NON_IDEMPOTENT
        end_s = self._parts.grace.end_s(job.deadline_s)
        is_late = self._parts.clock() >= end_s
        if is_late:
            self._observe_duration(job, exchange.partial_result(_CALLER_GONE))
        caller_gone_verdict = attrs.evolve(
            _CALLER_GONE, detail=_DEADLINE_PASSED if is_late else _CALLER_LEFT
        )
        self._records.log_try(
            job, choice, exchange.partial_result(caller_gone_verdict)
        )
        if not is_call or is_late:
            exchange.connection.abandon()
            self._parts.losses.on_try_end(
                choice.entry, job.identity, _CALLER_GONE
            )
            return False
        # A request that can't be repeated is not cancelled half-way either: its
        # end is awaited, so that it counts as in flight at the upstream. Its
        # body has been written; nobody counts it any more.
        job.request = attrs.evolve(job.request, body=b"")
        exchange.forget_body()
        release = job.reply.detach(exchange.connection.unsent_bytes)
        task = asyncio.ensure_future(
            self._await_end(job, choice, work, exchange)
        )
        task.add_done_callback(lambda _: release())
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return True

    async def _await_end(
        self,
        job: Job,
        choice: Choice,
        work: PlacedRequest,
        exchange: Exchange,
    ) -> None:
        verdict = _CALLER_GONE
        try:
            async with asyncio.timeout_at(job.deadline_s):
                result = await exchange.done
            verdict = result.verdict
            self._records.log_try(job, choice, result)
            self._release(choice.entry, exchange.connection)
        except TimeoutError:
            exchange.connection.abandon()
            caller_gone_verdict = attrs.evolve(
                _CALLER_GONE, detail=_DEADLINE_PASSED
            )
            self._records.log_try(
                job, choice, exchange.partial_result(caller_gone_verdict)
            )
        finally:
            self._parts.placement.end(work)
            self._parts.losses.on_try_end(choice.entry, job.identity, verdict)

    def _record_result(self, job: Job, choice: Choice, result: Result) -> None:
        entry = choice.entry
        verdict = result.verdict
        lacks_copy = job.resumes_copy and verdict.is_proved_not_run
        if not lacks_copy:
            # That an upstream lacks a copy says nothing about its health.
            self._record_health(entry, verdict)
        if job.sent > job.sent_before:
            job.sent_before = job.sent
            self._parts.losses.on_try_end(entry, job.identity, verdict)
            self._note_step(job, entry)
        job.tried |= {entry.incarnation}
        if verdict.upstream_status == _UNAVAILABLE and not lacks_copy:
            self._records.log_rejection(job, entry)
            now = self._parts.clock()
            self._parts.brittle.on_rejected(entry, job.sent_s, now)
        if verdict.reason is Reason.UPSTREAM_LOST:
            self._parts.prober.on_connection_lost()
        if verdict.is_proved_not_run:
            job.may_have_run = job.may_have_run_before
        else:
            job.may_have_run_before = True
        if result.is_other_upstream:
            self._parts.in_force.registry.mark_replaced(entry.incarnation)
            self._parts.pool.drop(entry.incarnation)
        self._learn(job, entry, result)
        self._records.observe(job, result)
        self._records.log_try(job, choice, result)

    def _learn(self, job: Job, entry: UpstreamEntry, result: Result) -> None:
        """Notes what the end of a try tells of its route and service."""
        verdict = result.verdict
        if verdict.is_complete and result.intervals and job.sent == 1:
            # The intervals of a resumed stream cover only its last part.
            self._parts.forecasts.note_answer(
                job.route.name, job.call.answer_tokens, result.intervals
            )
        is_other = verdict.detail == EventFault.OTHER_NUMBERING.value
        if is_other and not job.stream.framer.events:
            self._note_form(job, entry)
        if verdict.outcome in (Outcome.COMPLETE, Outcome.FAILED):
            self._observe_duration(job, result)

    def _observe_duration(self, job: Job, result: Result) -> None:
        """Records how long a try took that had the whole answer to get."""
        if not job.is_resumed:
            self._parts.grace.observe(job.route.name, result.took_s)

    def _record_health(self, entry: UpstreamEntry, verdict: Verdict) -> None:
        parts = self._parts
        if verdict.reason in _NOT_SENT:
            return
        now = parts.clock()
        usable = parts.in_force.registry.usable(entry.service, now)
        is_good = verdict.outcome is Outcome.COMPLETE
        if parts.health.note(entry, usable, now, is_good=is_good):
            parts.log.line(
                "ejected",
                upstream=entry.incarnation,
                reason=verdict.reason.value,
            )


def note_lateness(job: Job, result: Result) -> None:
    """Notes on a job whether a try made its answer late."""
    if job.late is not Late.NO:
        return
    pause_s = None
    if job.is_resumed:
        pause_s = job.sent_s + result.first_s - job.last_byte_s
    waited_s = job.sent_s - job.request.arrived_s
    job.late = judge(job.route, result, waited_s, pause_s)
