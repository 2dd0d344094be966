"""Tracks which hosts to ask about one slot, when, and who has answered."""

import attrs

from hollyknot_coordination.claims._slot import Slot
from hollyknot_state import HolderEpoch, SlotAnswer, SlotQuestion


@attrs.define
class _AskedHost:
    """A host that hasn't sent all its records yet.

    Attributes:
        due_s: Monotonic time, in seconds, of the next question.
        wait_s: Seconds between that question and its repeat.
        after: The last key that the host has sent; empty for none.
    """

    due_s: float
    wait_s: float
    after: bytes = b""


@attrs.define
class LearningState:
    """The state of learning one slot for one epoch.

    Attributes:
        epoch: The epoch that this host is to become active for.
        answers: The newest revision for which a host was active, 0 for none,
            by each host that has sent all its records.
        known_from: The revision from which on every change of the holders, up
            to `epoch`, is known.
    """

    epoch: HolderEpoch
    answers: dict[str, int]
    known_from: int
    _asked: dict[str, _AskedHost] = attrs.Factory(dict)

    def set_hosts_to_ask(
        self, hosts: tuple[str, ...], now_s: float, initial_wait_s: float
    ) -> None:
        """Sets the hosts that are asked from now on."""
        self._asked = {
            name: self._asked.get(name, _AskedHost(now_s, initial_wait_s))
            for name in hosts
        }

    def due(self, now_s: float, max_wait_s: float) -> list[tuple[str, bytes]]:
        """Returns the hosts to ask now, each with the last key it has sent."""
        found = []
        for name, asked in self._asked.items():
            if asked.due_s > now_s:
                continue
            found.append((name, asked.after))
            asked.due_s = now_s + asked.wait_s
            asked.wait_s = min(asked.wait_s * 2, max_wait_s)
        return found

    def next_due_s(self) -> float:
        """Returns when the next question is due; infinity if none is."""
        times = (asked.due_s for asked in self._asked.values())
        return min(times, default=float("inf"))

    def add_page(self, host: str, answer: SlotAnswer, now_s: float) -> None:
        """Processes one page of a host's records."""
        if answer.seen_to >= self.epoch.revision:
            self.known_from = min(self.known_from, answer.seen_from)
        asked = self._asked.get(host)
        if not answer.more:
            self.answers[host] = answer.active
        elif asked is not None and answer.after > asked.after:
            asked.after = answer.after
            asked.due_s = now_s


def question(
    number: int, slot: Slot, learning: LearningState, after: bytes
) -> SlotQuestion:
    """Returns the question that a learner asks about one slot."""
    own = learning.epoch
    others = [
        r
        for r, h in slot.epochs.items()
        if r < own.revision and h != own.holders
    ]
    # An older revision of the same holders can't replace the epoch's if there
    # were other holders in between, nor if this host has sealed the slot for a
    # newer revision.
    oldest = max((r + 1 for r in others), default=0)
    return SlotQuestion(number, own, max(oldest, slot.promised), after)
