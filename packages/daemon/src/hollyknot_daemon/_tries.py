"""Runs one request at upstreams: places, claims, tries, retries, the record."""

import asyncio
import random
from collections.abc import Callable

import attrs

from hollyknot_coordination.classification import Classification
from hollyknot_coordination.outcomes import Timing
from hollyknot_coordination.retries import (
    Answer,
    Attempt,
    RetryBudgetOptions,
    RetryBudgets,
    combined_verdict,
    next_step,
    retry_after_s,
)
from hollyknot_coordination.routing import Choice, timeouts
from hollyknot_daemon._claiming import Claim, Granted
from hollyknot_daemon._dispatch import Dispatcher
from hollyknot_daemon._record import Ended, Recorder, met, timing_of
from hollyknot_state import Nature, Outcome, Reason, RequestInfo, Verdict
from hollyknot_transport import (
    CallerCall,
    Result,
    Sink,
    Tracing,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)

_CALLER_GONE = Verdict(
    Outcome.MAY_HAVE_RUN, Reason.CALLER_GONE, "The caller went away"
)
_WHOLE_ANSWER_S = 120.0
"""The least wait for an answer of a model that is not streamed: its output's
length is not known."""

_NO_TRY = Result(Verdict(Outcome.NOT_RUN))
_NO_TIMING = Timing(0.0, 0.0, 0.0, 0, False)

_BEGAN = (Outcome.MAY_HAVE_RUN, Outcome.FAILED)


@attrs.frozen
class Job:
    """An authenticated, classified request.

    Attributes:
        call: As the caller sent it.
        classification: Its class, tier, target and nature.
        info: What the decisions see of it.
        traceparent: Of the request's span.
    """

    call: CallerCall
    classification: Classification
    info: RequestInfo
    traceparent: str


@attrs.define
class _History:
    """What a request's tries so far left behind."""

    tries: int = 0
    wasted: int = 0
    may_have_run: bool = False
    excluded: frozenset[str] = frozenset()
    last: Result = _NO_TRY
    timing: Timing = _NO_TIMING


class Tries:
    """Takes a job to its end."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        exchanges: UpstreamClient,
        recorder: Recorder,
        tracing: Tracing,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Wires the parts.

        Args:
            dispatcher: Gives places at upstreams.
            exchanges: Talks to upstreams.
            recorder: Counts the ends.
            tracing: Records a span for each hop.
            rng: Spreads pauses and times to come back.
            clock: The loop's monotonic clock, in seconds.
        """
        self._dispatcher = dispatcher
        self._exchanges = exchanges
        self._recorder = recorder
        self._tracing = tracing
        self._rng = rng
        self._clock = clock
        self._budgets = RetryBudgets(RetryBudgetOptions())

    async def run(self, job: Job, sink: Sink, claim: Claim) -> Result:
        """Runs a job until it is answered.

        Args:
            job: The request.
            sink: Takes an answer that is relayed as it comes.
            claim: Asks for the claim of a non-idempotent request.

        Returns:
            The last try's result with the verdict of the whole request.
        """
        history = _History()
        try:
            result = await self._run(job, sink, claim, history)
        except asyncio.CancelledError:
            self._record(job, history, Result(_CALLER_GONE))
            raise
        verdict = result.verdict
        after_s = retry_after_s(verdict, job.info.nature, self._rng)
        if after_s != verdict.retry_after_s:
            verdict = attrs.evolve(verdict, retry_after_s=after_s)
        result = _with_verdict(result, verdict)
        self._record(job, history, result)
        return result

    async def _run(
        self, job: Job, sink: Sink, claim: Claim, history: _History
    ) -> Result:
        if job.info.nature is Nature.IDEMPOTENT:
            return await self._until_answered(job, sink, history)
        # The request waits for a slot first: a claim that is granted and then
        # shed would have to be given back, and may not be if this host dies.
        place = await self._place(job, history)
        if isinstance(place, Verdict):
            return Result(place)
        granted = await self._claim(job, claim, place)
        if isinstance(granted, Verdict):
            return Result(granted)
        # A caller that goes away does not undo what may run by now: the
        # outcome must be settled all the same, so that the caller's next
        # attempt is told the truth.
        work = asyncio.ensure_future(
            self._claimed(job, sink, history, place, granted)
        )
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            await work
            raise

    async def _claimed(
        self,
        job: Job,
        sink: Sink,
        history: _History,
        place: Choice,
        granted: Granted,
    ) -> Result:
        verdict = Verdict(Outcome.MAY_HAVE_RUN, Reason.INTERNAL)
        try:
            result = await self._until_answered(job, sink, history, place)
            verdict = result.verdict
            return result
        finally:
            granted.settle(verdict)

    async def _claim(
        self, job: Job, claim: Claim, place: Choice
    ) -> Granted | Verdict:
        found = job.classification
        not_run = Verdict(Outcome.NOT_RUN, Reason.CLAIM_UNDECIDED)
        is_granted = False
        try:
            with self._tracing.span("claim", job.traceparent):
                answer = await claim(
                    found.customer, found.pool, job.call.idempotency_key
                )
            is_granted = isinstance(answer, Granted)
            return answer
        finally:
            if not is_granted:
                self._free(job, place, Result(not_run), 0.0)

    async def _until_answered(
        self,
        job: Job,
        sink: Sink,
        history: _History,
        place: Choice | None = None,
    ) -> Result:
        self._budgets.on_first_try(job.info.pool)
        while True:
            if place is None:
                found = await self._place(job, history)
                if isinstance(found, Verdict):
                    return self._whole(job, history, Result(found))
                place = found
            result = await self._try(job, sink, place, history)
            self._note(history, place, result)
            if result.verdict.is_complete:
                return result
            attempt = _attempt(job, history)
            step = next_step(
                result.verdict,
                attempt,
                self._budgets.tokens(job.info.pool),
                self._clock(),
                self._rng,
            )
            if isinstance(step, Answer):
                return _with_verdict(result, step.verdict)
            self._budgets.spend(job.info.pool)
            history.may_have_run |= not result.verdict.is_proved_not_run
            history.wasted += result.verdict.outcome in _BEGAN
            await asyncio.sleep(step.delay_s)
            place = None

    async def _place(self, job: Job, history: _History) -> Choice | Verdict:
        with self._tracing.span("admission", job.traceparent):
            return await self._dispatcher.place(job.info, history.excluded)

    async def _try(
        self, job: Job, sink: Sink, place: Choice, history: _History
    ) -> Result:
        started_s = self._clock()
        result = Result(_CALLER_GONE)
        try:
            with self._tracing.span(
                "upstream", job.traceparent, upstream=place.upstream
            ) as traceparent:
                request = _upstream_request(job, place, traceparent)
                noted = self._noting(job, place, sink)
                result = await self._exchanges.run(request, noted)
                return result
        finally:
            parts = result.parts if job.call.is_streamed else 0
            self._recorder.tried(job.info.pool, parts)
            took_s = self._clock() - started_s
            history.timing = self._free(job, place, result, took_s)

    def _noting(self, job: Job, place: Choice, sink: Sink) -> Sink:
        """Returns a sink that tells the decisions of the first byte."""

        async def start(answer: UpstreamAnswer) -> None:
            self._dispatcher.on_first_byte(place, job.info)
            await sink.start(answer)

        return Sink(start, sink.write, sink.write_now)

    def _free(
        self, job: Job, place: Choice, result: Result, took_s: float
    ) -> Timing:
        """Gives a place back and returns the timing of what it was used for."""
        timing = timing_of(
            result, job.info.arrived_s, self._clock(), job.call.is_streamed
        )
        self._dispatcher.finished(
            place,
            job.info,
            result.verdict,
            met(job.classification, result.verdict, timing),
            timing.tokens,
            took_s,
        )
        return timing

    def _note(self, history: _History, place: Choice, result: Result) -> None:
        history.tries += 1
        history.excluded |= {place.upstream}
        history.last = result

    def _whole(self, job: Job, history: _History, result: Result) -> Result:
        if not history.tries:
            return result
        verdict = combined_verdict(result.verdict, _attempt(job, history))
        return _with_verdict(result, verdict)

    def _record(self, job: Job, history: _History, result: Result) -> None:
        timing = history.timing
        if result.answer is None or not history.tries:
            timing = timing_of(
                result, job.info.arrived_s, self._clock(), job.call.is_streamed
            )
        ended = Ended(
            request_id=job.info.request_id,
            classification=job.classification,
            verdict=result.verdict,
            timing=timing,
            size=result.size,
            tries=history.tries,
            wasted_tries=history.wasted,
            met_target=met(job.classification, result.verdict, timing),
        )
        # Once the answer is on its way: the caller doesn't wait for metrics
        # and a line in the log.
        asyncio.get_running_loop().call_soon(self._recorder.record, ended)


def _with_verdict(result: Result, verdict: Verdict) -> Result:
    if result.verdict is verdict:
        return result
    return attrs.evolve(result, verdict=verdict)


def _attempt(job: Job, history: _History) -> Attempt:
    return Attempt(
        nature=job.info.nature,
        tries=history.tries,
        may_have_run_before=history.may_have_run,
        bytes_relayed=history.last.has_started,
        connection_reused=False,
        deadline_s=_deadline_s(job),
    )


def _deadline_s(job: Job) -> float:
    """Returns when a retry is of no more use: well past the target."""
    bounds = timeouts(job.classification.target, job.info.nature)
    return job.info.arrived_s + bounds.first_byte_s


def _upstream_request(
    job: Job, place: Choice, traceparent: str
) -> UpstreamRequest:
    call = job.call
    bounds = timeouts(job.classification.target, job.info.nature)
    headers = dict(call.headers)
    headers["X-Request-Id"] = call.request_id
    headers["X-Priority"] = str(job.info.tier)
    if traceparent:
        headers["traceparent"] = traceparent
    first_byte_s = bounds.first_byte_s
    if not call.is_streamed:
        # The first byte of a whole answer comes with its last token.
        first_byte_s = max(first_byte_s, _WHOLE_ANSWER_S)
    return UpstreamRequest(
        url=f"http://{place.ip}:{place.port}{call.upstream_path}",
        method=call.method,
        headers=headers,
        body=call.body,
        request_id=call.request_id,
        nature=job.info.nature,
        is_streamed=call.is_streamed,
        first_byte_s=first_byte_s,
        next_bytes_s=bounds.between_bytes_s,
    )
