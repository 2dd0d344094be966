"""Decides whether an answer met the latency target of its class."""

import attrs

from hollyknot_state import Target


@attrs.frozen
class Timing:
    """When a request and its answer came, in seconds on one clock.

    Attributes:
        arrived_s: Time at which the request arrived.
        first_byte_s: Time at which the first byte of the answer was relayed
            or read.
        ended_s: Time at which the last byte of the answer was relayed or
            read.
        tokens: Number of generated tokens; 0 if not known.
        is_streamed: Whether the answer was streamed to the caller token by
            token.
    """

    arrived_s: float
    first_byte_s: float
    ended_s: float
    tokens: int
    is_streamed: bool


def met_target(target: Target, timing: Timing) -> bool:
    """Returns whether a complete answer met every part of its target.

    A caller whose answer is not streamed sees no first token. Such an answer
    is in time if it came no later than a streamed answer within target would
    have ended.

    Args:
        target: Target of the request's class.
        timing: When the request and its answer came.
    """
    answer_ms = (timing.ended_s - timing.arrived_s) * 1000
    if target.whole_answer_ms and answer_ms > target.whole_answer_ms:
        return False
    if not timing.is_streamed:
        return answer_ms <= _max_answer_ms(target, timing.tokens)
    first_ms = (timing.first_byte_s - timing.arrived_s) * 1000
    if target.first_token_ms and first_ms > target.first_token_ms:
        return False
    gaps = max(1, timing.tokens - 1)
    mean_gap_ms = (timing.ended_s - timing.first_byte_s) * 1000 / gaps
    return (
        not target.between_tokens_ms or mean_gap_ms <= target.between_tokens_ms
    )


def _max_answer_ms(target: Target, tokens: int) -> float:
    if not target.first_token_ms or not target.between_tokens_ms:
        return float("inf")
    return target.first_token_ms + tokens * target.between_tokens_ms
