"""The holder: one host's part in granting claims."""

from collections.abc import Iterable

import attrs

from hollyknot_coordination.claims import _grants, _seal
from hollyknot_coordination.claims._commands import Instant, SendClaim
from hollyknot_coordination.claims._keys import SLOTS, slot_of
from hollyknot_coordination.claims._learner import Progress, next_step
from hollyknot_coordination.claims._learning import Learning, question
from hollyknot_coordination.claims._options import ClaimOptions
from hollyknot_coordination.claims._placement import Placement
from hollyknot_coordination.claims._records import CoordinatorTable, SlotRecords
from hollyknot_coordination.claims._slot import Slot
from hollyknot_state import (
    CancelClaim,
    ClaimMessage,
    GrantClaim,
    HolderEpoch,
    LearnSlots,
    RecordClaim,
    ReleaseClaim,
    SlotAnswer,
    SlotAnswerKind,
    SlotAnswers,
    SlotQuestion,
)

_MS = 1000
_LEAST_PAGE = 8
"""Records that each question may get even in a full message, so that none has
to wait for its turn."""


@attrs.define
class Holder:
    """Grants keys of the slots that this host holds.

    Attributes:
        host: This host's name in the host list.
        data_centre: This host's data centre.
        incarnation: A number that no earlier process of this name had.
        options: Times and limits.
        is_name_reused: Whether another host has met another process under
            this host's name. Such a host may have forgotten grants, so that it
            never becomes active; it has to be listed under a new name.
    """

    host: str
    data_centre: str
    incarnation: int
    options: ClaimOptions = attrs.Factory(ClaimOptions)
    is_name_reused: bool = False
    _placement: Placement | None = None
    _coordinators: CoordinatorTable = attrs.Factory(CoordinatorTable)
    _slots: dict[int, Slot] = attrs.Factory(dict)
    _learning: dict[int, Learning] = attrs.Factory(dict)
    _met: dict[str, int] = attrs.Factory(dict)

    def active_slots(self) -> tuple[int, ...]:
        """Returns the slots for which this host may grant."""
        return tuple(n for n, s in self._slots.items() if s.is_active)

    def learning_slots(self) -> tuple[int, ...]:
        """Returns the slots that this host holds but doesn't yet know."""
        return tuple(self._learning)

    def records(self) -> int:
        """Returns how many keys are remembered."""
        return sum(len(slot.records) for slot in self._slots.values())

    def update(self, placement: Placement, now: Instant) -> list[SendClaim]:
        """Takes a newer host list, or newly declared data centres."""
        known = self._placement
        if known is not None and placement.revision < known.revision:
            return []
        self._placement = placement
        for number in range(SLOTS):
            self._place(number, placement, now)
        for number in tuple(self._learning):
            self._go_on(number, now)
        return self._ask(now)

    def receive(
        self, sender: str, message: ClaimMessage, now: Instant
    ) -> list[SendClaim]:
        """Takes a message of another host, or of this one.

        Messages that are for a coordinator are passed over.
        """
        match message:
            case GrantClaim() | CancelClaim():
                return self._answer_claim(sender, message, now)
            case ReleaseClaim() | RecordClaim():
                self._take_fact(message)
            case LearnSlots():
                return self._answer_questions(sender, message, now)
            case SlotAnswers():
                for answer in message.answers:
                    self._take_answer(sender, answer, now)
                return self._ask(now)
        return []

    def poll(self, now: Instant) -> list[SendClaim]:
        """Forgets old keys and repeats unanswered questions."""
        for slot in self._slots.values():
            self._raise_horizon(slot, now)
            slot.records.forget(slot.horizon_ms)
        for number in tuple(self._learning):
            self._go_on(number, now)
        return self._ask(now)

    def next_poll_s(self) -> float:
        """Returns when to call `poll` at the latest, infinity if not at all.

        Forgetting may be up to a minute late without harm.
        """
        if self.is_name_reused:
            return float("inf")
        times = (learning.next_due_s() for learning in self._learning.values())
        return min(times, default=float("inf"))

    def _slot(self, number: int) -> Slot:
        slot = self._slots.get(number)
        if slot is None:
            slot = Slot(SlotRecords(self._coordinators))
            self._slots[number] = slot
        return slot

    def _raise_horizon(self, slot: Slot, now: Instant) -> None:
        remember_ms = int(self.options.remember_s * _MS)
        slot.raise_horizon(now.wall_ms - remember_ms)

    def _place(self, number: int, placement: Placement, now: Instant) -> None:
        """Takes the holders of one slot in a new placement."""
        if placement.home(number) != self.data_centre:
            self._close(number, placement.revision)
            return
        epoch = HolderEpoch(placement.revision, placement.group(number))
        slot = self._slot(number)
        if epoch.holders == slot.epoch.holders:
            slot.seen = max(slot.seen, epoch.revision)
        elif epoch.revision >= max(slot.seen, slot.epoch.revision):
            slot.move_to(epoch)
            self._begin(number, now)
        else:
            slot.note(epoch)

    def _close(self, number: int, revision: int) -> None:
        """Stops granting for a slot whose home is another data centre."""
        slot = self._slots.get(number)
        if slot is not None and slot.epoch.holders:
            revision = max(revision, slot.epoch.revision)
            slot.move_to(HolderEpoch(revision, ()))
            # Nobody can answer for no holders: to keep it among the epochs
            # would leave the slot closed for good if it came home again.
            slot.epochs.pop(revision, None)
            self._learning.pop(number, None)

    def _begin(self, number: int, now: Instant) -> None:
        """Begins to learn a slot for its new epoch, if it is held here."""
        slot = self._slots[number]
        self._learning.pop(number, None)
        if self.host in slot.epoch.holders and not slot.is_active:
            answers = {**slot.stopped, self.host: slot.active}
            self._learning[number] = Learning(slot.epoch, answers)
            self._go_on(number, now)

    def _go_on(self, number: int, now: Instant) -> None:
        """Activates a slot, or finds whom to ask next."""
        slot, learning = self._slots[number], self._learning[number]
        step = next_step(
            slot.epoch, slot.epochs, learning.answers, self._hosts(slot)
        )
        if step.progress is Progress.FIRST:
            if not self._may_be_first(slot):
                return
            margin_ms = int(self.options.opening_margin_s * _MS)
            slot.raise_horizon(now.wall_ms + margin_ms)
        if step.progress is Progress.ASKING:
            first_s = self.options.first_retry_s
            learning.want(step.ask, now.now_s, first_s)
            return
        self._raise_horizon(slot, now)
        slot.activate()
        del self._learning[number]

    def _hosts(self, slot: Slot) -> tuple[str, ...]:
        if self._placement is None:
            return slot.epoch.holders
        return self._placement.hosts(self.data_centre)

    def _may_be_first(self, slot: Slot) -> bool:
        """Tells whether this host's list is good enough to open a slot by.

        An older list than the epoch's may lack the very host that knows of
        earlier holders.
        """
        placement = self._placement
        return (
            placement is not None and placement.revision >= slot.epoch.revision
        )

    def _ask(self, now: Instant) -> list[SendClaim]:
        """Returns the questions that are due, in few messages a host."""
        if self.is_name_reused:
            return []
        questions: dict[str, list[SlotQuestion]] = {}
        for number, learning in self._learning.items():
            slot = self._slots[number]
            due = learning.due(now.now_s, self.options.last_retry_s)
            for host, after in due:
                one = question(number, slot, learning, after)
                questions.setdefault(host, []).append(one)
        size = self.options.questions_a_message
        return [
            SendClaim(host, LearnSlots(self.incarnation, part))
            for host, found in questions.items()
            for part in _parts(found, size)
        ]

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

    def _take_fact(self, message: ReleaseClaim | RecordClaim) -> None:
        slot = self._slot(slot_of(message.key))
        if isinstance(message, ReleaseClaim):
            _grants.take_release(slot, message)
        else:
            _grants.take_outcome(slot, message)

    def _answer_questions(
        self, sender: str, message: LearnSlots, now: Instant
    ) -> list[SendClaim]:
        met = self._met.setdefault(sender, message.incarnation)
        is_reused = met != message.incarnation
        room = self.options.records_a_message
        answers = []
        for one in message.questions:
            slot = self._slot(one.slot)
            self._raise_horizon(slot, now)
            kind = SlotAnswerKind.NAME_REUSED
            if not is_reused:
                kind = self._take_question(one, slot, now)
            limit = max(room, _LEAST_PAGE)
            answer = _seal.slot_answer(slot, one, kind, limit)
            room -= len(answer.records)
            answers.append(answer)
        # A seal may have made this host a learner of the new epoch.
        return [SendClaim(sender, SlotAnswers(tuple(answers))), *self._ask(now)]

    def _take_question(
        self, one: SlotQuestion, slot: Slot, now: Instant
    ) -> SlotAnswerKind:
        before = slot.epoch
        kind = _seal.take_question(slot, one)
        if slot.epoch != before:
            self._begin(one.slot, now)
        return kind

    def _take_answer(
        self, sender: str, answer: SlotAnswer, now: Instant
    ) -> None:
        learning = self._learning.get(answer.slot)
        if learning is None or answer.question != learning.epoch:
            return
        if answer.kind is SlotAnswerKind.NAME_REUSED:
            self.is_name_reused = True
        elif answer.kind is SlotAnswerKind.NEWER:
            self._take_newer(answer, now)
        elif answer.kind is SlotAnswerKind.SAME:
            self._take_same(answer, now)
        else:
            self._take_sealed(sender, answer, now)

    def _take_newer(self, answer: SlotAnswer, now: Instant) -> None:
        """Goes by the newer holders that another host knows."""
        slot = self._slots[answer.slot]
        newest = max(answer.epochs, key=lambda e: e.revision)
        if newest.revision > slot.epoch.revision:
            slot.move_to(newest)
            self._begin(answer.slot, now)

    def _take_same(self, answer: SlotAnswer, now: Instant) -> None:
        """Takes an older revision at which the holders were the same already.

        Not if this host has sealed for a newer one: whoever asked for that
        seal counts on it.
        """
        slot = self._slots[answer.slot]
        older = answer.epochs[0]
        if slot.promised <= older.revision:
            seen = slot.seen
            slot.move_to(older)
            slot.seen = seen
            self._begin(answer.slot, now)

    def _take_sealed(
        self, sender: str, answer: SlotAnswer, now: Instant
    ) -> None:
        slot, learning = self._slots[answer.slot], self._learning[answer.slot]
        slot.raise_horizon(answer.horizon_ms)
        for record in answer.records:
            slot.records.merge(record)
        for epoch in answer.epochs:
            slot.note(epoch)
        learning.take_page(sender, answer, now.now_s)
        if not answer.more:
            for one in answer.stopped:
                slot.stopped[one.name] = one.active
                learning.answers[one.name] = one.active
        self._go_on(answer.slot, now)


def _parts(
    questions: list[SlotQuestion], size: int
) -> Iterable[tuple[SlotQuestion, ...]]:
    for start in range(0, len(questions), size):
        yield tuple(questions[start : start + size])
