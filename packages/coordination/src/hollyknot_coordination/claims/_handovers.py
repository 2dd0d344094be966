"""Keeps the records of slots that moved away until new holders have them.

The host asks the new holders whether they are active. Once a majority of them
is, no learner needs this host's records any more: it gets an answer from one of
the active holders, and looks at no older epoch.
"""

import attrs

from hollyknot_coordination.claims._commands import Instant
from hollyknot_coordination.claims._options import ClaimOptions
from hollyknot_coordination.claims._placement import majority
from hollyknot_coordination.claims._slot import Slot
from hollyknot_state import (
    KEY_BYTES,
    HolderEpoch,
    SlotAnswer,
    SlotAnswerKind,
    SlotQuestion,
)

_NO_RECORDS = b"\xff" * KEY_BYTES
"""Sent as the last key received: no key sorts after it, so that the answer has
no records."""


@attrs.define
class _Handover:
    """A slot that other hosts hold now.

    Attributes:
        epoch: The epoch of the new holders.
        due_s: Monotonic time, in seconds, of the next question.
        wait_s: Seconds between that question and its repeat.
        active: New holders that have answered that they are active.
    """

    epoch: HolderEpoch
    due_s: float
    wait_s: float
    active: set[str] = attrs.Factory(set)


@attrs.define
class Handovers:
    """Tracks slots that this host was active for and no longer holds.

    Attributes:
        host: This host's name.
        options: Times and limits.
    """

    host: str
    options: ClaimOptions
    _pending: dict[int, _Handover] = attrs.Factory(dict)

    def track(self, number: int, slot: Slot, now: Instant) -> None:
        """Starts to track a slot with new holders, if it moved away."""
        self._pending.pop(number, None)
        holders = slot.epoch.holders
        if slot.active and holders and self.host not in holders:
            wait_s = self.options.initial_retry_interval_s
            # The new holders have only begun to learn; ask a little later.
            due_s = now.now_s + wait_s
            self._pending[number] = _Handover(slot.epoch, due_s, wait_s)

    def due(self, now: Instant) -> list[tuple[str, SlotQuestion]]:
        """Returns the questions that are due, each with the host to ask."""
        found = []
        for number, handover in self._pending.items():
            if handover.due_s > now.now_s:
                continue
            handover.due_s = now.now_s + handover.wait_s
            handover.wait_s = min(
                handover.wait_s * 2, self.options.max_retry_interval_s
            )
            asked = SlotQuestion(number, handover.epoch, after=_NO_RECORDS)
            found += [
                (host, asked)
                for host in handover.epoch.holders
                if host not in handover.active
            ]
        return found

    def next_due_s(self) -> float:
        """Returns when the next question is due; infinity if none is."""
        times = (handover.due_s for handover in self._pending.values())
        return min(times, default=float("inf"))

    def handle_answer(
        self, sender: str, answer: SlotAnswer, slot: Slot
    ) -> None:
        """Processes a new holder's answer; clears the slot once handed over."""
        handover = self._pending.get(answer.slot)
        if handover is None or answer.question != handover.epoch:
            return
        is_holder = answer.kind in (SlotAnswerKind.SEALED, SlotAnswerKind.SAME)
        if is_holder and answer.active > slot.active:
            handover.active.add(sender)
        if len(handover.active) >= majority(handover.epoch.holders):
            del self._pending[answer.slot]
            slot.clear()
