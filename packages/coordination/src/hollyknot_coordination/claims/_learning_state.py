"""The state of learning one slot: whom to ask, when, and who has answered."""

import attrs

from hollyknot_coordination.claims._slot import Slot
from hollyknot_state import HolderEpoch, SlotAnswer, SlotQuestion


@attrs.define
class _AskedHost:
    """A host that was asked and hasn't told all.

    Attributes:
        due_s: When to ask (again).
        wait_s: The time after which to repeat an unanswered question.
        after: The last key that it has told.
    """

    due_s: float
    wait_s: float
    after: bytes = b""


@attrs.define
class LearningState:
    """Learning one slot for one epoch.

    Attributes:
        epoch: The epoch to become active for.
        answers: For each host that has told all, the newest revision for
            which it was active.
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
        """Sees to it that these hosts are asked, and no others."""
        self._asked = {
            name: self._asked.get(name, _AskedHost(now_s, initial_wait_s))
            for name in hosts
        }

    def due(self, now_s: float, max_wait_s: float) -> list[tuple[str, bytes]]:
        """Returns hosts to ask now, each with the last key that it told."""
        found = []
        for name, asked in self._asked.items():
            if asked.due_s > now_s:
                continue
            found.append((name, asked.after))
            asked.due_s = now_s + asked.wait_s
            asked.wait_s = min(asked.wait_s * 2, max_wait_s)
        return found

    def next_due_s(self) -> float:
        """Returns when to ask next; infinity if nobody is to be asked."""
        times = (asked.due_s for asked in self._asked.values())
        return min(times, default=float("inf"))

    def add_page(self, host: str, answer: SlotAnswer, now_s: float) -> None:
        """Takes one page of a host's records."""
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
    """Returns the question that a learner puts for one slot."""
    own = learning.epoch
    others = [
        r
        for r, h in slot.epochs.items()
        if r < own.revision and h != own.holders
    ]
    # An older revision is no substitute if there were other holders between,
    # nor if this host has sealed itself for a newer one.
    oldest = max((r + 1 for r in others), default=0)
    return SlotQuestion(number, own, max(oldest, slot.promised), after)
