"""Runs a request at upstreams: places, claims, tries, retries, records it."""

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
from hollyknot_daemon._claiming import Claim, Grant
from hollyknot_daemon._dispatch import Dispatcher
from hollyknot_daemon._record import Ended, Recorder, is_target_met, timing_of
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
_MIN_WHOLE_ANSWER_TIMEOUT_S = 120.0
"""Minimum timeout for the first byte of an answer that is not streamed. The
length of its output is not known beforehand."""

_NO_TRY = Result(Verdict(Outcome.NOT_RUN))
_NO_TIMING = Timing(0.0, 0.0, 0.0, 0, False)

_BEGAN = (Outcome.MAY_HAVE_RUN, Outcome.FAILED)


@attrs.frozen
class Job:
    """An authenticated, classified request.

    Attributes:
        call: Request as the caller sent it.
        classification: Class, tier, target and nature of the request.
        info: Properties of the request that admission and routing use.
        traceparent: Trace context of the request's span.
    """

    call: CallerCall
    classification: Classification
    info: RequestInfo
    traceparent: str


@attrs.define
class _History:
    """Accumulates the results of a request's tries.

    Attributes:
        tries: Number of tries so far.
        wasted: Number of retried tries that may have run, at least in part.
        may_have_run: Whether a retried try is not proved not to have run.
        excluded: Upstreams at which the request was tried.
        last: Result of the last try.
        timing: Timing of the last try.
    """

    tries: int = 0
    wasted: int = 0
    may_have_run: bool = False
    excluded: frozenset[str] = frozenset()
    last: Result = _NO_TRY
    timing: Timing = _NO_TIMING


class Tries:
    """Runs each job until it has an answer or a final verdict."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        exchanges: UpstreamClient,
        recorder: Recorder,
        tracing: Tracing,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Creates a runner with the default retry budgets.

        Args:
            dispatcher: Admits requests and gives them places at upstreams.
            exchanges: Sends requests to upstreams and relays their answers.
            recorder: Counts tries and ended requests.
            tracing: Records a span for each hop.
            rng: Source of the jitter in the delays of retries and in the times
                after which callers retry.
            clock: Returns the event loop's monotonic time, in seconds.
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
            sink: Receives an answer that is relayed while it arrives.
            claim: Requests the claim for a non-idempotent request.

        Returns:
            The result of the last try, with the verdict of the whole request.
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
            return await self._try_until_answered(job, sink, history)
        # The request waits for a slot before it is claimed. If it were shed
        # after the claim was granted, the claim would have to be released,
        # which fails if this host dies first.
        place = await self._place(job, history)
        if isinstance(place, Verdict):
            return Result(place)
        granted = await self._claim(job, claim, place)
        if isinstance(granted, Verdict):
            return Result(granted)
        # The request may run on after its caller has disconnected. The work
        # is shielded, so that its outcome is recorded in the claim and the
        # caller's next attempt is answered by it.
        work = asyncio.ensure_future(
            self._run_claimed(job, sink, history, place, granted)
        )
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            await work
            raise

    async def _run_claimed(
        self,
        job: Job,
        sink: Sink,
        history: _History,
        place: Choice,
        granted: Grant,
    ) -> Result:
        verdict = Verdict(Outcome.MAY_HAVE_RUN, Reason.INTERNAL)
        try:
            result = await self._try_until_answered(job, sink, history, place)
            verdict = result.verdict
            return result
        finally:
            granted.settle(verdict)

    async def _claim(
        self, job: Job, claim: Claim, place: Choice
    ) -> Grant | Verdict:
        found = job.classification
        not_run = Verdict(Outcome.NOT_RUN, Reason.CLAIM_UNDECIDED)
        is_granted = False
        try:
            with self._tracing.span("claim", job.traceparent):
                answer = await claim(
                    found.customer, found.pool, job.call.idempotency_key
                )
            is_granted = isinstance(answer, Grant)
            return answer
        finally:
            if not is_granted:
                self._release_place(job, place, Result(not_run), 0.0)

    async def _try_until_answered(
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
                    return self._with_combined_verdict(
                        job, history, Result(found)
                    )
                place = found
            result = await self._try(job, sink, place, history)
            self._add_try(history, place, result)
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
                noting_sink = self._first_byte_sink(job, place, sink)
                result = await self._exchanges.run(request, noting_sink)
                return result
        finally:
            parts = result.parts if job.call.is_streamed else 0
            self._recorder.record_try(job.info.pool, parts)
            took_s = self._clock() - started_s
            history.timing = self._release_place(job, place, result, took_s)

    def _first_byte_sink(self, job: Job, place: Choice, sink: Sink) -> Sink:
        """Returns a sink that reports the first byte to the dispatcher."""

        async def start(answer: UpstreamAnswer) -> None:
            self._dispatcher.on_first_byte(place, job.info)
            await sink.start(answer)

        return Sink(start, sink.write, sink.write_now)

    def _release_place(
        self, job: Job, place: Choice, result: Result, took_s: float
    ) -> Timing:
        """Releases a place and returns the timing of the try that used it."""
        timing = timing_of(
            result, job.info.arrived_s, self._clock(), job.call.is_streamed
        )
        self._dispatcher.finished(
            place,
            job.info,
            result.verdict,
            is_target_met(job.classification, result.verdict, timing),
            timing.tokens,
            took_s,
        )
        return timing

    def _add_try(
        self, history: _History, place: Choice, result: Result
    ) -> None:
        history.tries += 1
        history.excluded |= {place.upstream}
        history.last = result

    def _with_combined_verdict(
        self, job: Job, history: _History, result: Result
    ) -> Result:
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
            met_target=is_target_met(
                job.classification, result.verdict, timing
            ),
        )
        # Deferred until the answer is being sent, so that the caller doesn't
        # wait for metrics and the log.
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
    """Returns the time after which a retry is useless.

    It is the timeout for the first byte, which is well past the target.
    """
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
        # The first byte of an answer that is not streamed arrives when its last
        # token has been generated.
        first_byte_s = max(first_byte_s, _MIN_WHOLE_ANSWER_TIMEOUT_S)
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
