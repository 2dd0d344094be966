"""Learns the slots that a host holds until it may grant their keys."""

import attrs

from hollyknot_coordination.claims._commands import Instant
from hollyknot_coordination.claims._learning_state import (
    LearningState,
    question,
)
from hollyknot_coordination.claims._learning_step import (
    Progress,
    next_learning_step,
)
from hollyknot_coordination.claims._options import ClaimOptions
from hollyknot_coordination.claims._placement import Placement
from hollyknot_coordination.claims._revision_range import RevisionRange
from hollyknot_coordination.claims._slot import Slot
from hollyknot_state import (
    HolderEpoch,
    SlotAnswer,
    SlotAnswerKind,
    SlotQuestion,
)

_MS = 1000


@attrs.define
class SlotLearner:
    """Learns slots until this host is active for them.

    Attributes:
        host: This host's name.
        data_centre: This host's data centre.
        options: Times and limits.
        placement: The placement by the newest host list, if there is one.
        seen: The revisions of the host list that were seen without a gap.
        is_name_reused: Whether another host knows another incarnation of this
            host's name.
    """

    host: str
    data_centre: str
    options: ClaimOptions
    placement: Placement | None = None
    seen: RevisionRange = attrs.Factory(RevisionRange)
    is_name_reused: bool = False
    _learning_state: dict[int, LearningState] = attrs.Factory(dict)
    _slots: dict[int, Slot] = attrs.Factory(dict)

    def slots(self) -> tuple[int, ...]:
        """Returns the slots that are being learnt."""
        return tuple(self._learning_state)

    def begin(self, number: int, slot: Slot, now: Instant) -> None:
        """Starts to learn a slot for its epoch, if this host holds it."""
        self.end(number)
        if self.is_name_reused or self.host not in slot.epoch.holders:
            return
        if slot.is_active:
            return
        answers = {self.host: slot.active}
        revision = slot.epoch.revision
        self._learning_state[number] = LearningState(
            slot.epoch, answers, revision
        )
        self._slots[number] = slot
        self._advance(number, now)

    def end(self, number: int) -> None:
        """Stops learning a slot."""
        self._learning_state.pop(number, None)
        self._slots.pop(number, None)

    def advance(self, now: Instant) -> None:
        """Activates the slots that are learnt; updates the hosts to ask."""
        for number in tuple(self._learning_state):
            self._advance(number, now)

    def handle_answer(
        self, sender: str, answer: SlotAnswer, now: Instant
    ) -> None:
        """Processes a host's answer about one slot."""
        learning = self._learning_state.get(answer.slot)
        if learning is None or answer.question != learning.epoch:
            return
        slot = self._slots[answer.slot]
        match answer.kind:
            case SlotAnswerKind.NAME_REUSED:
                self.is_name_reused = True
                self._learning_state.clear()
            case SlotAnswerKind.NEWER:
                self._adopt_newer(answer, slot, now)
            case SlotAnswerKind.SAME:
                self._adopt_older(answer, slot, now)
            case SlotAnswerKind.SEALED:
                slot.merge(answer)
                learning.add_page(sender, answer, now.now_s)
                self._advance(answer.slot, now)

    def due(self, now: Instant) -> list[tuple[str, SlotQuestion]]:
        """Returns the questions that are due, each with the host to ask."""
        found = []
        for number, learning in self._learning_state.items():
            slot = self._slots[number]
            due = learning.due(now.now_s, self.options.max_retry_interval_s)
            for host, after in due:
                found.append((host, question(number, slot, learning, after)))
        return found

    def next_due_s(self) -> float:
        """Returns when the next question is due; infinity if none is."""
        times = (
            learning.next_due_s() for learning in self._learning_state.values()
        )
        return min(times, default=float("inf"))

    def _advance(self, number: int, now: Instant) -> None:
        slot, learning = self._slots[number], self._learning_state[number]
        step = next_learning_step(
            slot.epoch,
            slot.epochs,
            learning.answers,
            self._listed(),
            self._known_from(learning),
        )
        if step.progress is Progress.ASKING:
            first_s = self.options.initial_retry_interval_s
            learning.set_hosts_to_ask(step.to_ask, now.now_s, first_s)
            return
        if step.progress is Progress.FIRST:
            if not self._may_be_first(slot):
                return
            margin_ms = int(self.options.opening_margin_s * _MS)
            slot.raise_horizon(now.wall_ms + margin_ms)
        slot.activate()
        self.end(number)

    def _listed(self) -> tuple[str, ...]:
        if self.placement is None:
            return ()
        return self.placement.listed(self.data_centre)

    def _known_from(self, learning: LearningState) -> int:
        if self.seen.last >= learning.epoch.revision:
            return min(learning.known_from, self.seen.first)
        return learning.known_from

    def _may_be_first(self, slot: Slot) -> bool:
        """Returns whether this host's list is new enough to open a slot.

        A list that is older than the epoch may lack the host that knows of
        earlier holders.
        """
        placement = self.placement
        return (
            placement is not None and placement.revision >= slot.epoch.revision
        )

    def _adopt_newer(
        self, answer: SlotAnswer, slot: Slot, now: Instant
    ) -> None:
        """Adopts the newer holders that another host knows."""
        newest = answer.epochs[0]
        if newest.revision > slot.epoch.revision:
            slot.move_to(newest)
            # Without this the host could adopt an older revision of the same
            # holders again. Two others could then send it back and forth
            # between the revisions for ever, as fast as they answer.
            slot.promised = max(slot.promised, newest.revision)
            self.begin(answer.slot, slot, now)

    def _adopt_older(
        self, answer: SlotAnswer, slot: Slot, now: Instant
    ) -> None:
        """Adopts an older revision of the same holders.

        It is ignored if this host has sealed the slot for a newer revision
        since it asked: the learner that asked for that seal relies on it.
        """
        older: HolderEpoch = answer.epochs[0]
        if slot.promised <= older.revision:
            slot.move_to(older)
            self.begin(answer.slot, slot, now)
