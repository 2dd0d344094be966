"""Records the end of each request in metrics, tallies and the log."""

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
    """Result of one request.

    Attributes:
        request_id: Request ID, as given to the caller.
        classification: Customer, class, pool and target of the request.
        verdict: Outcome of the request and its reason.
        timing: Times at which the request and its answer arrived.
        size: Size of the answer, in bytes.
        tries: Number of tries at upstreams.
        wasted_tries: Number of tries that may have run, at least in part,
            and whose answers were discarded for a retry.
        met_target: Whether the answer met the target of its class.
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
    """Counts ended requests and tries, and logs each ended request."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._log = _LOG.bind()
        self._tallies = Tallies()

    @property
    def tallies(self) -> Tallies:
        """Counts by request class, for the status page."""
        return self._tallies

    def record(self, ended: Ended) -> None:
        """Counts and logs one ended request."""
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
    """Returns the timing of a try's answer.

    Args:
        result: Result of the try.
        arrived_s: Time at which the request arrived, in loop time.
        now_s: Time at which the try ended, in loop time.
        is_streamed: Whether the caller asked for a stream.
    """
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
    """Tells whether the answer is complete and met the target."""
    return verdict.is_complete and met_target(classification.target, timing)


def _tokens_in(result: Result) -> int:
    # Most answers of services report no usage. The check for the key avoids
    # parsing them.
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
