"""Decides what a holder answers to a message about a single key."""

import attrs

from hollyknot_coordination.claims._commands import Instant
from hollyknot_coordination.claims._keys import key_time_ms
from hollyknot_coordination.claims._options import ClaimOptions
from hollyknot_coordination.claims._slot import Slot
from hollyknot_state import (
    Attempt,
    CancelClaim,
    ClaimAnswer,
    ClaimAnswerKind,
    GrantClaim,
    HeldAttempt,
    RecordClaim,
    ReleaseClaim,
)

_MS = 1000


def answer_grant(
    host: str,
    slot: Slot,
    message: GrantClaim,
    now: Instant,
    options: ClaimOptions,
) -> ClaimAnswer:
    """Grants a key to an attempt, or returns why it can't."""
    answer = _base_answer(slot, message.key, message.attempt, message.attempt)
    view_refusal = _check_view(host, slot, message, answer)
    if view_refusal is not None:
        return view_refusal
    time_refusal = _check_time(slot, answer, now, options)
    if time_refusal is not None:
        return time_refusal
    held = slot.records.held(message.key)
    if slot.records.refuses(message.key, message.attempt):
        return attrs.evolve(answer, kind=ClaimAnswerKind.CANCELLED, held=held)
    if _is_held_by_others(held, message.attempt):
        return attrs.evolve(answer, kind=ClaimAnswerKind.HELD, held=held)
    slot.records.grant(message.key, message.attempt)
    return attrs.evolve(answer, kind=ClaimAnswerKind.GRANTED)


def answer_cancel(host: str, slot: Slot, message: CancelClaim) -> ClaimAnswer:
    """Promises never to grant an attempt, unless it may hold the key.

    Returns:
        The promise, or why the holder can't give it.
    """
    answer = _base_answer(slot, message.key, message.asker, message.attempt)
    view_refusal = _check_view(host, slot, message, answer)
    if view_refusal is not None:
        return view_refusal
    # Records of keys below the horizon may have been evicted, so that a missing
    # record doesn't prove that the attempt wasn't granted.
    if key_time_ms(message.key) <= slot.horizon_ms:
        return attrs.evolve(answer, kind=ClaimAnswerKind.EXPIRED)
    held = slot.records.held(message.key)
    if any(one.attempt == message.attempt for one in held):
        return attrs.evolve(answer, kind=ClaimAnswerKind.HELD, held=held)
    slot.records.refuse(message.key, message.attempt)
    return attrs.evolve(answer, kind=ClaimAnswerKind.PROMISED, held=held)


def handle_release(slot: Slot, message: ReleaseClaim) -> None:
    """Removes the grant of an attempt that is proved never to run.

    The attempt is refused from now on: its own request for a grant may still
    be in flight, and a grant after the release would block the key.
    """
    if key_time_ms(message.key) <= slot.horizon_ms:
        return
    slot.records.drop(message.key, message.attempt)
    slot.records.refuse(message.key, message.attempt)


def handle_outcome(slot: Slot, message: RecordClaim) -> None:
    """Records how an attempt ended, if the key is granted to it."""
    held = slot.records.held(message.key)
    if any(one.attempt == message.attempt for one in held):
        slot.records.grant(message.key, message.attempt, message.outcome)


def _base_answer(
    slot: Slot, key: bytes, asker: Attempt, attempt: Attempt
) -> ClaimAnswer:
    kind = ClaimAnswerKind.BEHIND
    return ClaimAnswer(key, asker, attempt, kind, slot.digest)


def _check_view(
    host: str,
    slot: Slot,
    message: GrantClaim | CancelClaim,
    answer: ClaimAnswer,
) -> ClaimAnswer | None:
    """Returns the refusal if asker and holder disagree on the holders."""
    if message.group == slot.digest and host in slot.epoch.holders:
        if slot.is_active:
            return None
        return attrs.evolve(answer, kind=ClaimAnswerKind.LEARNING)
    if message.revision < slot.seen and slot.epoch.holders:
        # The answer carries the newer holders, so that the asker can send its
        # request to the right hosts at once (as servers of GIGA+ correct a
        # client's stale index).
        return attrs.evolve(
            answer,
            kind=ClaimAnswerKind.NEWER,
            revision=slot.seen,
            holders=slot.epoch.holders,
        )
    return answer


def _check_time(
    slot: Slot, answer: ClaimAnswer, now: Instant, options: ClaimOptions
) -> ClaimAnswer | None:
    """Returns the refusal if a key's time is too old or too far ahead."""
    time_ms = key_time_ms(answer.key)
    if time_ms <= slot.horizon_ms:
        return attrs.evolve(answer, kind=ClaimAnswerKind.EXPIRED)
    ahead_ms = time_ms - now.wall_ms
    wait_ms = ahead_ms - int(options.ahead_s * _MS)
    if wait_ms <= 0:
        return None
    is_too_far = ahead_ms > options.max_ahead_s * _MS
    return attrs.evolve(
        answer,
        kind=ClaimAnswerKind.AHEAD,
        wait_ms=0 if is_too_far else wait_ms,
    )


def _is_held_by_others(held: tuple[HeldAttempt, ...], attempt: Attempt) -> bool:
    return any(one.attempt != attempt for one in held)
