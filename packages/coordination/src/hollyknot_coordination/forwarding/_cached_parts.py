"""Which upstream has which parts of prompts cached, as far as a host knows.

Two sources, neither of which costs a word: all hosts send prompts that share
their parts to the same upstream where they can, so that it is the one most
likely to have them; and a host remembers where it sent what itself.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Sequence

from hollyknot_state.routes import PromptPart, UpstreamEntry

REMEMBERED_S = 30.0
"""How long a host takes an upstream to keep what was sent there: engines drop
the least recently used parts, and those that nobody sends are old by then."""

_REMEMBERED = 20_000


class CachedParts:
    """What one host believes of upstreams' caches."""

    def __init__(self) -> None:
        """Has sent nothing yet."""
        self._sent: OrderedDict[tuple[str, str], float] = OrderedDict()

    def note(
        self, incarnation: str, prompt: Sequence[PromptPart], now_s: float
    ) -> None:
        """Notes that a prompt was sent to an upstream."""
        for name in _runs(prompt):
            key = (incarnation, name)
            self._sent[key] = now_s
            self._sent.move_to_end(key)
        while len(self._sent) > _REMEMBERED:
            self._sent.popitem(last=False)

    def missing(
        self,
        entries: Sequence[UpstreamEntry],
        prompt: Sequence[PromptPart],
        now_s: float,
    ) -> dict[str, int]:
        """Returns how many tokens of shared parts each upstream lacks.

        Args:
            entries: The upstreams among which prompts are spread.
            prompt: All parts; the last one is nobody else's.
            now_s: The time.
        """
        shared = prompt[:-1]
        if not shared:
            return {entry.incarnation: 0 for entry in entries}
        names = _runs(prompt)
        home = max(entries, key=lambda e: _weight(names[-1], e.incarnation))
        since_s = now_s - REMEMBERED_S
        lacks = {}
        for entry in entries:
            incarnation = entry.incarnation
            lacks[incarnation] = 0
            if entry is home:
                continue
            for index, name in enumerate(names):
                sent_s = self._sent.get((incarnation, name), float("-inf"))
                if sent_s < since_s:
                    lacks[incarnation] = sum(p.tokens for p in shared[index:])
                    break
        return lacks


def _runs(prompt: Sequence[PromptPart]) -> list[str]:
    """Returns a name for each run of shared parts from the prompt's start."""
    names: list[str] = []
    for part in prompt[:-1]:
        names.append(f"{names[-1]}/{part.name}" if names else part.name)
    return names


def _weight(name: str, incarnation: str) -> bytes:
    """Returns a hash whose order for two upstreams depends on all of the name.

    A checksum would not do: it is linear, so that the order of two upstreams
    hangs on one bit of the name, and of three upstreams one may never be first.
    """
    text = f"{name}|{incarnation}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
