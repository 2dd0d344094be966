"""The slots that this host held, until their new holders know them.

The host asks the new holders whether they are active. Once a majority is, a
learner never again needs what this host knows: it would meet one of them, and
stop there.
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
"""As the last key that was received: asks for no records."""


@attrs.define
class _Handover:
    """One slot that others hold now.

    Attributes:
        epoch: The new holders.
        active: Those that have said to be active.
        due_s: When to ask (again).
        wait_s: The time after which to repeat the question.
    """

    epoch: HolderEpoch
    due_s: float
    wait_s: float
    active: set[str] = attrs.Factory(set)


@attrs.define
class Handovers:
    """Slots that this host was active for and holds no longer.

    Attributes:
        host: This host's name.
        options: Times and limits.
    """

    host: str
    options: ClaimOptions
    _pending: dict[int, _Handover] = attrs.Factory(dict)

    def track(self, number: int, slot: Slot, now: Instant) -> None:
        """Takes notice that a slot's holders have changed."""
        self._pending.pop(number, None)
        holders = slot.epoch.holders
        if slot.active and holders and self.host not in holders:
            wait_s = self.options.initial_retry_interval_s
            # The new holders are learning just now; ask a little later.
            due_s = now.now_s + wait_s
            self._pending[number] = _Handover(slot.epoch, due_s, wait_s)

    def due(self, now: Instant) -> list[tuple[str, SlotQuestion]]:
        """Returns the questions to put now, with whom to ask."""
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
        """Returns when to ask next; infinity if there is nothing to ask."""
        times = (handover.due_s for handover in self._pending.values())
        return min(times, default=float("inf"))

    def handle_answer(
        self, sender: str, answer: SlotAnswer, slot: Slot
    ) -> None:
        """Takes a new holder's answer; forgets the slot if enough know it."""
        handover = self._pending.get(answer.slot)
        if handover is None or answer.question != handover.epoch:
            return
        is_holder = answer.kind in (SlotAnswerKind.SEALED, SlotAnswerKind.SAME)
        if is_holder and answer.active > slot.active:
            handover.active.add(sender)
        if len(handover.active) >= majority(handover.epoch.holders):
            del self._pending[answer.slot]
            slot.clear()
