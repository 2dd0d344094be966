"""A holder's decisions on single keys: grant, promise, release, record."""

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
    """Grants a key to an attempt, or tells why not."""
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
    """Promises never to grant an attempt, unless it may hold the key."""
    answer = _base_answer(slot, message.key, message.asker, message.attempt)
    view_refusal = _check_view(host, slot, message, answer)
    if view_refusal is not None:
        return view_refusal
    # The record of a key below the horizon may be forgotten: not to hold the
    # attempt would then prove nothing.
    if key_time_ms(message.key) <= slot.horizon_ms:
        return attrs.evolve(answer, kind=ClaimAnswerKind.EXPIRED)
    held = slot.records.held(message.key)
    if any(one.attempt == message.attempt for one in held):
        return attrs.evolve(answer, kind=ClaimAnswerKind.HELD, held=held)
    slot.records.refuse(message.key, message.attempt)
    return attrs.evolve(answer, kind=ClaimAnswerKind.PROMISED, held=held)


def handle_release(slot: Slot, message: ReleaseClaim) -> None:
    """Forgets a grant to an attempt that is proved never to run.

    The attempt is refused from now on: its own request for a grant may still
    be under way, and a grant after the release would block the key.
    """
    if key_time_ms(message.key) <= slot.horizon_ms:
        return
    slot.records.drop(message.key, message.attempt)
    slot.records.refuse(message.key, message.attempt)


def handle_outcome(slot: Slot, message: RecordClaim) -> None:
    """Remembers how an attempt ended, if the key is held for it."""
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
    """Returns the refusal if asker and holder differ over the holders."""
    if message.group == slot.digest and host in slot.epoch.holders:
        if slot.is_active:
            return None
        return attrs.evolve(answer, kind=ClaimAnswerKind.LEARNING)
    if message.revision < slot.seen and slot.epoch.holders:
        # As a server of GIGA+ corrects a client's stale index: the asker gets
        # just what it needs to ask the right hosts.
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
    """Returns the refusal if a key is too old or too far ahead."""
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
