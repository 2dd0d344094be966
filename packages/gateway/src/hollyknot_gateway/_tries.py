"""Chooses upstreams for a request, sends it and records each try's result."""

import asyncio
from collections.abc import Sequence

import attrs

from hollyknot_coordination.forwarding import (
    Choice,
    GiveUp,
    NoUpstream,
    PlacedRequest,
    runs_of,
)
from hollyknot_coordination.suspects import Clear, Isolate
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._answers import RETRY_AFTER_S
from hollyknot_gateway._exchange import Exchange, Result
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._headers import CONTENT_LENGTH, end_to_end, write_head
from hollyknot_gateway._job import Job
from hollyknot_gateway._pool import ConnectFailure
from hollyknot_gateway._upstream_connection import UpstreamConnection
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import (
    Dispatch,
    KeyOwner,
    RouteKind,
    UpstreamEntry,
)

_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
_CALLER_GONE = Verdict(Outcome.MAY_HAVE_RUN, Reason.CALLER_GONE)
_DEADLINE_PASSED = "the request's deadline has passed"
_CALLER_LEFT = "the caller has left"
_NOT_SENT = frozenset(
    {
        Reason.CONNECT_FAILED,
        Reason.NO_UPSTREAM,
        Reason.UPSTREAMS_RESTING,
        Reason.RATE_LIMITED,
    }
)

MAX_PERMITS_REFUSED = 3
"""Refused permits after which a request avoids rate-limited upstreams: asking
for a permit may take tens of milliseconds."""


class Tries:
    """Runs the tries of requests, one upstream at a time."""

    def __init__(self, parts: FlowParts) -> None:
        """Builds the runner of tries from the flow's parts."""
        self._parts = parts
        self._detached: set[asyncio.Task[None]] = set()

    async def ask(self, job: Job, gate: Clear | Isolate) -> None:
        """Queries the current loads of a few upstreams before the choice.

        If no loads are queried, the choice is among all upstreams: a small
        sample with loads as old as the last reports would not represent them.
        """
        parts = self._parts
        if not parts.neighbours.should_query_trackers:
            job.asked = ()
            return
        now = parts.clock()
        usable = parts.in_force.registry.usable(job.service.name, now)
        excluded = parts.reachability.unreachable(usable) | job.tried
        excluded |= parts.health.ejected(usable, now)
        excluded |= parts.rests.on_trial(now)
        if isinstance(gate, Isolate):
            excluded |= gate.exclude
        excluded |= self.blocked(job, usable, now)
        job.asked = parts.placement.shortlist(
            job.service,
            usable,
            job.call,
            excluded,
            now,
            is_loose=job.is_loose,
            limited=parts.permits.limited(usable),
        )
        job.asked += self._pick_cold(job, excluded, usable)
        is_known = await parts.neighbours.ask(
            job.asked, runs_of(job.call.prompt)
        )
        asked_s = parts.clock() - now
        job.asked_s += asked_s
        outcome = "known" if is_known else "old"
        parts.metrics.observe(metrics.ASKED_SECONDS, asked_s, outcome=outcome)

    def _pick_cold(
        self,
        job: Job,
        excluded: frozenset[str],
        usable: Sequence[UpstreamEntry],
    ) -> list[UpstreamEntry]:
        """Returns a random cold upstream that may get a request, if any."""
        parts = self._parts
        permitted = [
            entry
            for entry in parts.cold_starts.permitted(usable, parts.clock())
            if entry.incarnation not in excluded and entry not in job.asked
        ]
        return [parts.rng.choice(permitted)] if permitted else []

    def blocked(
        self, job: Job, entries: Sequence[UpstreamEntry], now_s: float
    ) -> frozenset[str]:
        """Returns the incarnations that must not be sent a request now.

        These upstreams are cold without a permit for a request, have used up
        their rate limit, or are rate-limited after the request was refused
        `MAX_PERMITS_REFUSED` permits.
        """
        parts = self._parts
        blocked = parts.cold_starts.blocked(entries, now_s)
        blocked |= parts.permits.blocked(
            entries, now_s, is_least_urgent=job.is_least_urgent
        )
        if job.permits_refused >= MAX_PERMITS_REFUSED:
            blocked |= {
                entry.incarnation
                for entry in entries
                if parts.permits.is_limited(entry)
            }
        return blocked

    def no_upstream_result(self, job: Job) -> Result:
        """Returns the result of a request that no upstream can be sent."""
        parts = self._parts
        now = parts.clock()
        usable = parts.in_force.registry.usable(job.service.name, now)
        wait_s = parts.permits.shortest_wait_s(
            usable, now, is_least_urgent=job.is_least_urgent
        )
        if wait_s is None:
            is_rest = parts.in_force.registry.resting(job.service.name, now)
            reason = Reason.UPSTREAMS_RESTING if is_rest else Reason.NO_UPSTREAM
            return Result(Verdict(Outcome.NOT_RUN, reason))
        verdict = Verdict(
            Outcome.NOT_RUN,
            Reason.RATE_LIMITED,
            retry_after_s=max(wait_s, RETRY_AFTER_S),
        )
        return Result(verdict)

    def with_return_time(self, job: Job, step: GiveUp) -> GiveUp:
        """Adds to a refusal from when an upstream may take the request.

        This is known if all upstreams rest, or if those that turned the request
        away are excluded since then and there are others.
        """
        parts = self._parts
        now = parts.clock()
        registry = parts.in_force.registry
        verdict = step.verdict
        is_limited = verdict.reason is Reason.RATE_LIMITED
        if registry.usable(job.service.name, now) and not is_limited:
            is_refused = verdict.reason is Reason.UPSTREAM_REFUSED
            if is_refused and not any(
                registry.is_usable(name, now) for name in job.tried
            ):
                return attrs.evolve(step, return_s=0.0)
            return step
        rest_left_s = min(
            map(
                parts.notices.rest_left_s,
                registry.resting(job.service.name, now),
            ),
            default=None,
        )
        if rest_left_s is None:
            return step
        if is_limited and verdict.retry_after_s <= rest_left_s:
            return step
        return attrs.evolve(step, return_s=rest_left_s)

    def choose(self, job: Job, gate: Clear | Isolate) -> Choice | NoUpstream:
        """Returns the upstream to send a request to next."""
        parts = self._parts
        now = parts.clock()
        usable = parts.in_force.registry.usable(job.service.name, now)
        unreachable = parts.reachability.unreachable(usable)
        if isinstance(gate, Isolate):
            unreachable |= gate.exclude
        doubtful = parts.health.ejected(usable, now)
        doubtful |= parts.rests.on_trial(now)
        blocked = self.blocked(job, usable, now)
        limited = parts.permits.limited(usable)
        chosen: Choice | NoUpstream = NoUpstream.NONE_KNOWN
        # An upstream that fails often, has just rested or was unreachable
        # lately is better than none: the exclusions are relaxed step by step.
        for avoided in (unreachable | doubtful, unreachable, frozenset[str]()):
            chosen = parts.placement.choose(
                job.service,
                usable,
                job.call,
                job.tried | avoided | blocked,
                now,
                is_loose=job.is_loose,
                urgency=job.urgency,
                among=frozenset(entry.incarnation for entry in job.asked),
                limited=limited,
            )
            if isinstance(chosen, Choice):
                break
        return chosen

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
            return self.no_upstream_result(job)
        was_cold = parts.cold_starts.is_cold(entry.incarnation, parts.clock())
        if not parts.cold_starts.acquire(entry.incarnation, parts.clock()):
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
            exchange = self._send(job, choice, connection, work)
            parts.stalls.add(
                exchange,
                entry,
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
        down, restarted, asked for rest or announced a rate limit.

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
        return (
            is_usable
            and (was_cold or not is_cold)
            and (was_limited or not is_limited)
        )

    def _retries_left(self, job: Job, entry: UpstreamEntry) -> float:
        """Returns the retries left, or 0 if none can help the request."""
        parts = self._parts
        now = parts.clock()
        tried = job.tried | {entry.incarnation}
        usable = parts.in_force.registry.usable(job.service.name, now)
        tried |= self.blocked(job, usable, now)
        others = any(e.incarnation not in tried for e in usable)
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
        stream.framer.drop_partial()
        stream.resumes_after = stream.framer.last_id or job.call.last_event_id
        exchange = Exchange(
            parts.dialect,
            job.call.attempt_id,
            job.reply,
            stream,
            connection,
            parts.clock,
            lambda: parts.placement.start(work),
            lambda interval_s: self._record_interval(entry, interval_s),
            lambda traits, sent_s: parts.notices.observe(entry, traits, sent_s),
        )
        data = self._request_bytes(job, choice)
        if not job.sent:
            parts.metrics.observe(
                metrics.ADDED_SECONDS, parts.clock() - job.request.arrived_s
            )
        job.sent += 1
        job.was_leaving = parts.notices.is_leaving(entry)
        job.rest_left_s = parts.notices.rest_left_s(entry)
        parts.rests.on_sent(entry.incarnation, parts.clock())
        parts.suspects.on_dispatch(job.fingerprint, entry.incarnation)
        # From here on the request may run, even if this task is cancelled.
        job.may_have_run = True
        is_head = job.request.method == "HEAD"
        connection.send(data, exchange, is_head=is_head)
        return exchange

    def _record_interval(self, entry: UpstreamEntry, interval_s: float) -> None:
        parts = self._parts
        parts.forecasts.note_interval(
            entry.incarnation, interval_s, parts.clock()
        )

    def _request_bytes(self, job: Job, choice: Choice) -> bytes:
        entry, source = choice.entry, choice.source
        request = job.request
        owner = job.owner
        dispatch = Dispatch(
            upstream=entry.name,
            left_s=job.deadline_s - self._parts.clock(),
            customer=owner.name if isinstance(owner, KeyOwner) else "",
            urgency=job.urgency,
            last_event_id=job.stream.resumes_after,
            is_engine=job.service.engine is not None,
            source=source.address if source is not None else None,
        )
        headers = self._parts.dialect.upstream_headers(
            end_to_end(request.headers), dispatch
        )
        if request.has_body or request.method in _BODY_METHODS:
            headers.append((CONTENT_LENGTH.title(), b"%d" % len(request.body)))
        line = f"{request.method} {request.target} HTTP/1.1"
        return write_head(line.encode("latin-1"), headers) + request.body

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
        is_late = self._parts.clock() >= job.deadline_s
        caller_gone_verdict = attrs.evolve(
            _CALLER_GONE, detail=_DEADLINE_PASSED if is_late else _CALLER_LEFT
        )
        self._log_try(job, choice, exchange.partial_result(caller_gone_verdict))
        if not is_call or is_late:
            exchange.connection.abandon()
            self._parts.losses.on_try_end(
                choice.entry, job.fingerprint, _CALLER_GONE
            )
            return False
        # A request that can't be repeated is not cancelled half-way either: its
        # end is awaited, so that it counts as in flight at the upstream.
        task = asyncio.ensure_future(
            self._await_end(job, choice, work, exchange)
        )
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
            self._log_try(job, choice, result)
            self._release(choice.entry, exchange.connection)
        except TimeoutError:
            exchange.connection.abandon()
            caller_gone_verdict = attrs.evolve(
                _CALLER_GONE, detail=_DEADLINE_PASSED
            )
            self._log_try(
                job, choice, exchange.partial_result(caller_gone_verdict)
            )
        finally:
            self._parts.placement.end(work)
            self._parts.losses.on_try_end(
                choice.entry, job.fingerprint, verdict
            )

    def _record_result(self, job: Job, choice: Choice, result: Result) -> None:
        entry = choice.entry
        verdict = result.verdict
        self._record_health(entry, verdict)
        if job.sent > job.sent_before:
            job.sent_before = job.sent
            self._parts.losses.on_try_end(entry, job.fingerprint, verdict)
        job.tried |= {entry.incarnation}
        if verdict.is_proved_not_run:
            job.may_have_run = job.may_have_run_before
        else:
            job.may_have_run_before = True
        if result.is_other_upstream:
            self._parts.in_force.registry.mark_replaced(entry.incarnation)
            self._parts.pool.drop(entry.incarnation)
        if verdict.is_complete and result.intervals and job.sent == 1:
            # The intervals of a resumed stream cover only its last part.
            self._parts.forecasts.note_answer(
                job.route.name, job.call.answer_tokens, result.intervals
            )
        self._observe_try(job, result)
        self._log_try(job, choice, result)

    def _log_try(self, job: Job, choice: Choice, result: Result) -> None:
        verdict = result.verdict
        self._parts.log.line(
            "try" if verdict.is_complete else "failed_try",
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
        )

    def _observe_try(self, job: Job, result: Result) -> None:
        parts = self._parts
        verdict = result.verdict
        parts.metrics.count(
            metrics.TRIES,
            service=job.service.name,
            outcome=verdict.outcome.value,
            reason=verdict.reason.value,
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


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
