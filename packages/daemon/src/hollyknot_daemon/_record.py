"""Records the end of each request: metrics, tallies and a line in the log."""

import attrs
import orjson

from hollyknot_coordination.classification import Classification
from hollyknot_coordination.outcomes import Tallies, Timing, met_target
from hollyknot_state import Outcome, Verdict
from hollyknot_transport import (
    Metrics,
    Result,
    Waste,
    get_logger,
)

_LOG = get_logger("daemon")
_RAN = (Outcome.COMPLETE, Outcome.MAY_HAVE_RUN, Outcome.FAILED)


@attrs.frozen
class Ended:
    """The end of one request.

    Attributes:
        request_id: As given to the caller.
        classification: What the request was.
        verdict: How it ended.
        timing: When the parts of its answer came.
        size: Bytes of its answer.
        tries: Tries at upstreams.
        wasted_tries: Tries that ran at least in part and were thrown away.
        met_target: Whether the answer met the class's target.
    """

    request_id: str
    classification: Classification
    verdict: Verdict
    timing: Timing
    size: int
    tries: int
    wasted_tries: int
    met_target: bool


class Recorder:
    """Where ends of requests are counted."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._log = _LOG.bind()
        self._tallies = Tallies()

    @property
    def tallies(self) -> Tallies:
        """Counts by class, for status pages."""
        return self._tallies

    def record(self, ended: Ended) -> None:
        """Counts one request and logs it."""
        name = ended.classification.request_class
        self._count(ended, name)
        self._tallies.record(
            name,
            ended.verdict,
            ended.met_target,
            ended.size,
            ended.wasted_tries,
        )
        timing = ended.timing
        self._log.info(
            "request-ended",
            request_id=ended.request_id,
            customer=ended.classification.customer,
            request_class=name,
            pool=ended.classification.pool,
            verdict=ended.verdict.outcome.value,
            reason=ended.verdict.reason.value,
            tries=ended.tries,
            met_target=ended.met_target,
            tokens=timing.tokens,
            took_ms=round((timing.ended_s - timing.arrived_s) * 1000, 1),
        )

    def record_try(self, pool: str, parts: int) -> None:
        """Counts a try at an upstream and the parts of a stream it relayed."""
        self._metrics.tries.add(pool)
        if parts:
            self._metrics.relayed_chunks.add(pool, amount=parts)

    def _count(self, ended: Ended, name: str) -> None:
        metrics = self._metrics
        verdict = ended.verdict
        metrics.requests.add(name, verdict.outcome.value, verdict.reason.value)
        timing = ended.timing
        if timing.first_byte_s:
            metrics.first_byte(name, timing.first_byte_s - timing.arrived_s)
        if ended.met_target:
            metrics.within_target.add(name)
            metrics.goodput_bytes.add(name, amount=ended.size)
        kinds = [Waste.DUPLICATED] * ended.wasted_tries
        kinds += _last_try_waste(ended)
        for kind in kinds:
            metrics.wasted.add(name, kind.value)


def _last_try_waste(ended: Ended) -> list[Waste]:
    if ended.verdict.outcome not in _RAN:
        return []
    if not ended.verdict.is_complete:
        return [Waste.DISCARDED]
    return [] if ended.met_target else [Waste.LATE]


def timing_of(
    result: Result, arrived_s: float, now_s: float, is_streamed: bool
) -> Timing:
    """Returns when the parts of a try's answer came."""
    tokens = result.parts if is_streamed else _tokens_in(result)
    return Timing(
        arrived_s=arrived_s,
        first_byte_s=result.first_byte_at,
        ended_s=now_s,
        tokens=tokens,
        is_streamed=is_streamed,
    )


def is_target_met(
    classification: Classification, verdict: Verdict, timing: Timing
) -> bool:
    """Tells whether an end counts as a met target."""
    return verdict.is_complete and met_target(classification.target, timing)


def _tokens_in(result: Result) -> int:
    # Most calls of services tell no usage, and needn't be parsed to find out.
    if result.answer is None or b'"usage"' not in result.answer.body:
        return 0
    try:
        document = orjson.loads(result.answer.body)
    except orjson.JSONDecodeError:
        return 0
    usage = document.get("usage") if isinstance(document, dict) else None
    if not isinstance(usage, dict):
        return 0
    tokens = usage.get("completion_tokens", 0)
    return tokens if isinstance(tokens, int) else 0
