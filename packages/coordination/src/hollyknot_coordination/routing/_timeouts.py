"""Computes the timeouts for an upstream by request class and nature.

A connection can go silent for good while both ends consider it open, so each
wait is bounded. The bounds are generous compared with the target: a timeout
wastes the work of the upstream, and a request that may not run twice then ends
as "may have run", which cannot be repaired.
"""

import attrs

from hollyknot_state import Nature, Target

CONNECT_TIMEOUT_S = 1.0
"""Timeout for connecting within a region; packets that were lost once are sent
again by then."""

PROBE_TIMEOUT_S = 1.0
"""Timeout for a probe over a new connection, from connecting to the end of the
answer."""

FIRST_BYTE_FACTOR = 4.0
FIRST_BYTE_MIN_S = 2.0
FIRST_BYTE_MAX_S = 60.0

WHOLE_ANSWER_FACTOR = 2.0
WHOLE_ANSWER_MIN_S = 10.0
WHOLE_ANSWER_MAX_S = 900.0

NO_TARGET_FIRST_BYTE_S = 120.0

BETWEEN_BYTES_FACTOR = 40.0
BETWEEN_BYTES_MIN_S = 2.0
BETWEEN_BYTES_MAX_S = 30.0

NON_IDEMPOTENT_FACTOR = 2.0


@attrs.frozen
class Timeouts:
    """Timeouts of one try at an upstream, in seconds.

    Attributes:
        connect_s: Longest wait until the connection is established.
        first_byte_s: Longest wait from the last byte of the request to the
            first byte of the answer.
        between_bytes_s: Longest wait from one part of the answer to the next.
    """

    connect_s: float
    first_byte_s: float
    between_bytes_s: float


def timeouts(target: Target, nature: Nature) -> Timeouts:
    """Returns the timeouts for a class's target and a request's nature."""
    factor = NON_IDEMPOTENT_FACTOR if nature is Nature.NON_IDEMPOTENT else 1.0
    return Timeouts(
        connect_s=CONNECT_TIMEOUT_S,
        first_byte_s=factor * _first_byte_s(target),
        between_bytes_s=factor * _between_bytes_s(target),
    )


def _first_byte_s(target: Target) -> float:
    if target.first_token_ms:
        wanted = FIRST_BYTE_FACTOR * target.first_token_ms / 1000
        return _clamp(FIRST_BYTE_MIN_S, wanted, FIRST_BYTE_MAX_S)
    if target.whole_answer_ms:
        wanted = WHOLE_ANSWER_FACTOR * target.whole_answer_ms / 1000
        return _clamp(WHOLE_ANSWER_MIN_S, wanted, WHOLE_ANSWER_MAX_S)
    return NO_TARGET_FIRST_BYTE_S


def _between_bytes_s(target: Target) -> float:
    if not target.between_tokens_ms:
        return BETWEEN_BYTES_MAX_S
    wanted = BETWEEN_BYTES_FACTOR * target.between_tokens_ms / 1000
    return _clamp(BETWEEN_BYTES_MIN_S, wanted, BETWEEN_BYTES_MAX_S)


def _clamp(lower: float, value: float, upper: float) -> float:
    return min(max(lower, value), upper)
