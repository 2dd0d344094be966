"""Builds the verdict that a caller gets when its key isn't granted."""

from hollyknot_coordination.claims._attempt import ClaimAttempt
from hollyknot_state import (
    ClaimAnswerKind,
    ClaimOutcome,
    Outcome,
    Reason,
    Verdict,
)

_MS = 1000
_EARLIER = {
    ClaimOutcome.UNKNOWN: "an earlier request with this key may have run",
    ClaimOutcome.COMPLETE: "an earlier request with this key ran",
    ClaimOutcome.FAILED: "an earlier request with this key ran and failed",
    ClaimOutcome.MAY_HAVE_RUN: "an earlier request with this key was sent to"
    " an upstream, which may have run it",
}


def refusal(attempt: ClaimAttempt, retry_after_s: float) -> Verdict:
    """Returns the verdict on an attempt that failed to claim its key.

    The outcome is `MAY_HAVE_RUN` if another attempt with the same key may have
    run, or if the holders no longer know. Otherwise it is `NOT_RUN`, since this
    attempt didn't dispatch the request.

    Args:
        attempt: The attempt.
        retry_after_s: Seconds after which the caller should retry.
    """
    earlier = attempt.rival_outcome
    if earlier is not None:
        is_open = earlier is ClaimOutcome.UNKNOWN
        return Verdict(
            Outcome.MAY_HAVE_RUN,
            Reason.CLAIMED_BEFORE,
            _EARLIER[earlier],
            retry_after_s if is_open else 0.0,
        )
    kinds = {answer.kind for answer in attempt.answers}
    if ClaimAnswerKind.EXPIRED in kinds:
        return Verdict(
            Outcome.MAY_HAVE_RUN,
            Reason.KEY_EXPIRED,
            "the Idempotency-Key is older than is remembered; an earlier"
            " request with it may have run",
        )
    if ClaimAnswerKind.AHEAD in kinds:
        return _ahead(attempt)
    return Verdict(
        Outcome.NOT_RUN,
        Reason.CLAIM_UNDECIDED,
        "no majority of the holders of this key could grant it, or say what"
        " became of an earlier request with it; come back with the same"
        " Idempotency-Key",
        retry_after_s,
    )


def _ahead(attempt: ClaimAttempt) -> Verdict:
    waits = [
        answer.wait_ms
        for answer in attempt.answers
        if answer.kind is ClaimAnswerKind.AHEAD
    ]
    return Verdict(
        Outcome.NOT_RUN,
        Reason.IDEMPOTENCY_KEY,
        "the Idempotency-Key's time lies in the future; set the clock",
        max(waits) / _MS if min(waits) else 0.0,
    )
