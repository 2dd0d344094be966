"""The holder grants the keys of the slots that this host holds."""

from collections.abc import Iterable

import attrs

from hollyknot_coordination.claims import _grants, _seal
from hollyknot_coordination.claims._commands import Instant, SendClaim
from hollyknot_coordination.claims._handovers import Handovers
from hollyknot_coordination.claims._keys import SLOTS, slot_of
from hollyknot_coordination.claims._options import ClaimOptions
from hollyknot_coordination.claims._placement import Placement
from hollyknot_coordination.claims._records import CoordinatorTable, SlotRecords
from hollyknot_coordination.claims._revision_range import RevisionRange
from hollyknot_coordination.claims._slot import Slot
from hollyknot_coordination.claims._slot_learner import SlotLearner
from hollyknot_state import (
    CancelClaim,
    ClaimAnswer,
    ClaimAnswerKind,
    ClaimMessage,
    GrantClaim,
    HolderEpoch,
    LearnSlots,
    RecordClaim,
    ReleaseClaim,
    SlotAnswerKind,
    SlotAnswers,
    SlotQuestion,
)

_MS = 1000
_MIN_PAGE = 8
"""Records that each question may get even if the message is full.

Without it, the later questions of a message would get no records until those of
the first question have been sent.
"""


@attrs.define
class Holder:
    """Answers coordinators and learners about the slots that this host holds.

    Attributes:
        host: This host's name in the host list.
        data_centre: This host's data centre.
        incarnation: A number below 2**63 that no earlier process of this name
            had.
        options: Times and limits.
    """

    host: str
    data_centre: str
    incarnation: int
    options: ClaimOptions = attrs.Factory(ClaimOptions)
    _coordinators: CoordinatorTable = attrs.Factory(CoordinatorTable)
    _slots: dict[int, Slot] = attrs.Factory(dict)
    _incarnations: dict[str, int] = attrs.Factory(dict)
    _slot_learner: SlotLearner = attrs.field(init=False)
    _handovers: Handovers = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._slot_learner = SlotLearner(
            self.host, self.data_centre, self.options
        )
        self._handovers = Handovers(self.host, self.options)

    @property
    def is_name_reused(self) -> bool:
        """Whether another process had this host's name before.

        Such a host may have lost grants. It never becomes active, and has to be
        listed under a new name.
        """
        return self._slot_learner.is_name_reused

    @property
    def pending_handovers(self) -> int:
        """Number of slots whose records would be lost with this host.

        Once the host list says that this host is leaving, new holders learn its
        slots. A planned stop waits until this is 0, or as long as it can.
        """
        return sum(slot.active > 0 for slot in self._slots.values())

    @property
    def horizon_ms(self) -> int:
        """The highest horizon of the active slots, in ms since 1970.

        A slot refuses every key up to its horizon. The horizon is in the past,
        except for slots that their first holders have just opened.
        """
        horizons = (s.horizon_ms for s in self._slots.values() if s.is_active)
        return max(horizons, default=0)

    def active_slots(self) -> tuple[int, ...]:
        """Returns the slots for which this host may grant."""
        return tuple(n for n, s in self._slots.items() if s.is_active)

    def learning_slots(self) -> tuple[int, ...]:
        """Returns the slots that this host holds and still has to learn."""
        return self._slot_learner.slots()

    def records(self) -> int:
        """Returns the number of keys that have a record."""
        return sum(len(slot.records) for slot in self._slots.values())

    def update(self, placement: Placement, now: Instant) -> list[SendClaim]:
        """Adopts a newer host list, or newly declared data centres."""
        known = self._slot_learner.placement
        if known is not None and placement.revision < known.revision:
            return []
        # A change of the slots' home data centres counts as a gap in the
        # revisions: holders may have changed between two revisions.
        has_same_homes = (
            known is not None and placement.data_centres == known.data_centres
        )
        revision = placement.revision
        self._slot_learner.seen = (
            self._slot_learner.seen.extend(revision)
            if has_same_homes
            else RevisionRange(revision, revision)
        )
        self._slot_learner.placement = placement
        for number in range(SLOTS):
            if placement.home(number) == self.data_centre:
                self._update_holders(number, placement, now)
            else:
                self._close_slot(number, revision)
        self._slot_learner.advance(now)
        return self._due_questions(now)

    def receive(
        self, sender: str, message: ClaimMessage, now: Instant
    ) -> list[SendClaim]:
        """Processes a message from another host, or from this one.

        Messages to a coordinator are ignored.
        """
        match message:
            case GrantClaim() | CancelClaim():
                return self._answer_claim(sender, message, now)
            case ReleaseClaim():
                return self._handle_release(sender, message)
            case RecordClaim():
                _grants.handle_outcome(
                    self._slot(slot_of(message.key)), message
                )
            case LearnSlots():
                return self._answer_questions(sender, message, now)
            case SlotAnswers():
                return self._handle_answers(sender, message, now)
        return []

    def poll(self, now: Instant) -> list[SendClaim]:
        """Evicts expired keys and repeats unanswered questions."""
        for slot in self._slots.values():
            self._raise_horizon(slot, now)
            slot.records.evict(slot.horizon_ms)
        self._slot_learner.advance(now)
        return self._due_questions(now)

    def next_poll_s(self) -> float:
        """Returns when `poll` is due; infinity if there is nothing to do.

        Evictions don't count: they may be up to a minute late without harm.
        """
        return min(
            self._slot_learner.next_due_s(), self._handovers.next_due_s()
        )

    def _slot(self, number: int) -> Slot:
        slot = self._slots.get(number)
        if slot is None:
            slot = Slot(SlotRecords(self._coordinators))
            self._slots[number] = slot
        return slot

    def _raise_horizon(self, slot: Slot, now: Instant) -> None:
        remember_ms = int(self.options.remember_s * _MS)
        slot.raise_horizon(now.wall_ms - remember_ms)

    def _update_holders(
        self, number: int, placement: Placement, now: Instant
    ) -> None:
        """Adopts the holders that a new placement gives to a slot."""
        epoch = HolderEpoch(placement.revision, placement.group(number))
        slot = self._slot(number)
        if epoch.revision < slot.seen:
            # Another host has already reported newer holders.
            slot.add_epoch(epoch)
        elif epoch.holders == slot.epoch.holders:
            slot.seen = epoch.revision
        else:
            slot.move_to(epoch)
            self._on_new_holders(number, slot, now)

    def _on_new_holders(self, number: int, slot: Slot, now: Instant) -> None:
        """Starts to learn a slot with new holders, or to hand it over."""
        self._slot_learner.begin(number, slot, now)
        self._handovers.track(number, slot, now)

    def _close_slot(self, number: int, revision: int) -> None:
        """Stops granting for a slot whose home is another data centre."""
        slot = self._slots.get(number)
        if slot is not None and slot.epoch.holders:
            revision = max(revision, slot.epoch.revision)
            slot.move_to(HolderEpoch(revision, ()))
            self._slot_learner.end(number)

    def _answer_claim(
        self, sender: str, message: GrantClaim | CancelClaim, now: Instant
    ) -> list[SendClaim]:
        slot = self._slot(slot_of(message.key))
        self._raise_horizon(slot, now)
        if isinstance(message, GrantClaim):
            answer = _grants.answer_grant(
                self.host, slot, message, now, self.options
            )
        else:
            answer = _grants.answer_cancel(self.host, slot, message)
        return [SendClaim(sender, answer)]

    def _handle_release(
        self, sender: str, message: ReleaseClaim
    ) -> list[SendClaim]:
        _grants.handle_release(self._slot(slot_of(message.key)), message)
        acknowledgement = ClaimAnswer(
            message.key,
            message.attempt,
            message.attempt,
            ClaimAnswerKind.RELEASED,
            0,
        )
        return [SendClaim(sender, acknowledgement)]

    def _answer_questions(
        self, sender: str, message: LearnSlots, now: Instant
    ) -> list[SendClaim]:
        is_reused = self._is_reused(sender, message.incarnation)
        remaining = self.options.max_records_per_message
        answers = []
        for question in message.questions:
            slot = self._slot(question.slot)
            self._raise_horizon(slot, now)
            kind = SlotAnswerKind.NAME_REUSED
            if not is_reused:
                kind = self._handle_question(question, slot, now)
            limit = max(remaining, _MIN_PAGE)
            answer = _seal.slot_answer(
                slot, question, kind, self._slot_learner.seen, limit
            )
            remaining -= len(answer.records)
            answers.append(answer)
        # Sealing a slot may have made this host a learner of the new epoch.
        return [
            SendClaim(sender, SlotAnswers(tuple(answers))),
            *self._due_questions(now),
        ]

    def _is_reused(self, name: str, incarnation: int) -> bool:
        """Returns whether this host knows another incarnation of a name.

        A restarted process has lost its grants. If it took its old place among
        the holders, it could complete a second majority.
        """
        return self._incarnations.setdefault(name, incarnation) != incarnation

    def _handle_answers(
        self, sender: str, message: SlotAnswers, now: Instant
    ) -> list[SendClaim]:
        for answer in message.answers:
            self._slot_learner.handle_answer(sender, answer, now)
            self._handovers.handle_answer(
                sender, answer, self._slot(answer.slot)
            )
        return self._due_questions(now)

    def _handle_question(
        self, question: SlotQuestion, slot: Slot, now: Instant
    ) -> SlotAnswerKind:
        before = slot.epoch
        kind = _seal.handle_question(slot, question)
        if slot.epoch != before:
            self._on_new_holders(question.slot, slot, now)
        return kind

    def _due_questions(self, now: Instant) -> list[SendClaim]:
        """Returns the questions that are due, batched into messages by host."""
        questions: dict[str, list[SlotQuestion]] = {}
        due = [*self._slot_learner.due(now), *self._handovers.due(now)]
        for host, question in due:
            questions.setdefault(host, []).append(question)
        size = self.options.max_questions_per_message
        return [
            SendClaim(host, LearnSlots(self.incarnation, batch))
            for host, found in questions.items()
            for batch in _batches(found, size)
        ]


def _batches(
    questions: list[SlotQuestion], size: int
) -> Iterable[tuple[SlotQuestion, ...]]:
    for start in range(0, len(questions), size):
        yield tuple(questions[start : start + size])
