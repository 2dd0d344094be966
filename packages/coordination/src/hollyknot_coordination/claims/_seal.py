"""Seals a slot for a learner and answers the learner's question."""

import attrs

from hollyknot_coordination.claims._revision_range import RevisionRange
from hollyknot_coordination.claims._slot import Slot
from hollyknot_state import (
    ClaimRecord,
    HolderEpoch,
    SlotAnswer,
    SlotAnswerKind,
    SlotQuestion,
)


def handle_question(slot: Slot, question: SlotQuestion) -> SlotAnswerKind:
    """Seals a slot for a learner's epoch, or returns why that isn't possible.

    A slot that was sealed has `question.epoch` as its epoch afterwards.
    """
    asked, own = question.epoch, slot.epoch
    if asked.revision < own.revision:
        return SlotAnswerKind.NEWER
    if asked.revision > own.revision:
        is_same = asked.holders == own.holders
        if is_same and own.revision >= question.oldest:
            # Both have the same holders and one of them skipped a revision.
            # Sealing would stop active holders although nothing has changed.
            return SlotAnswerKind.SAME
        if not is_same and asked.revision < slot.seen:
            return SlotAnswerKind.NEWER
        slot.move_to(asked)
    slot.promised = max(slot.promised, asked.revision)
    return SlotAnswerKind.SEALED


def slot_answer(
    slot: Slot,
    question: SlotQuestion,
    kind: SlotAnswerKind,
    seen: RevisionRange,
    limit: int,
) -> SlotAnswer:
    """Returns the answer to a question, with a page of records if sealed.

    Args:
        slot: The slot, after `handle_question`.
        question: The learner's question.
        kind: The result of `handle_question`.
        seen: The revisions of the host list that this host has seen.
        limit: Most records in the answer.
    """
    answer = SlotAnswer(
        question.slot,
        kind,
        question.epoch,
        active=slot.active,
        epochs=_epochs(slot, question, kind),
    )
    if kind is not SlotAnswerKind.SEALED:
        return answer
    records = slot.records.page(question.after, limit + 1)
    return attrs.evolve(
        answer,
        seen_from=seen.first,
        seen_to=seen.last,
        horizon_ms=slot.horizon_ms,
        records=records[:limit],
        after=_last_key(records[:limit]),
        more=len(records) > limit,
    )


def _epochs(
    slot: Slot, question: SlotQuestion, kind: SlotAnswerKind
) -> tuple[HolderEpoch, ...]:
    if kind is SlotAnswerKind.NEWER:
        if slot.epoch.revision > question.epoch.revision:
            return (slot.epoch,)
        # The epoch's revision is older than the learner's. But the epoch's
        # holders are still valid at the newer revision `slot.seen`, so that the
        # learner's are outdated.
        return (HolderEpoch(slot.seen, slot.epoch.holders),)
    if kind is SlotAnswerKind.SAME:
        return (slot.epoch,)
    return tuple(HolderEpoch(r, h) for r, h in slot.epochs.items())


def _last_key(records: tuple[ClaimRecord, ...]) -> bytes:
    return records[-1].key if records else b""
