"""Chooses an upstream among those that may get work."""

import enum
import random
import zlib
from collections.abc import Sequence

import attrs

from hollyknot_state.routes import CallTraits, Service, UpstreamEntry

LONG_PROMPT_TOKENS = 3000
"""From here on a prompt is long: reading it in stalls the tokens of all that
run beside it, so that long and short prompts are kept on upstreams apart."""

_SPREAD = 1.25
"""How much busier than the mean an upstream may be that has a prompt's parts
cached, before another one reads them again."""


class NoPlace(enum.Enum):
    """No upstream can take a request."""

    NONE_KNOWN = "no-upstream"


@attrs.frozen
class Work:
    """What one request asks of an upstream.

    Attributes:
        incarnation: Where it is.
        prompt_tokens: To be read in.
    """

    incarnation: str
    prompt_tokens: int


@attrs.define
class _Load:
    requests: int = 0


class Placement:
    """Own work in flight by upstream, and the choice that follows from it."""

    def __init__(self, rng: random.Random) -> None:
        """Starts with nothing in flight.

        Args:
            rng: Breaks ties, so that hosts do not all choose the same.
        """
        self._rng = rng
        self._loads: dict[str, _Load] = {}

    def choose(
        self,
        service: Service,
        candidates: Sequence[UpstreamEntry],
        call: CallTraits,
        excluded: frozenset[str],
    ) -> UpstreamEntry | NoPlace:
        """Returns where a request is to go.

        Args:
            service: The service.
            candidates: Its upstreams that may get work, in an order that is
                the same at all hosts.
            call: The request.
            excluded: Incarnations that it was sent to before.
        """
        open_ones = [c for c in candidates if c.incarnation not in excluded]
        if not open_ones:
            return NoPlace.NONE_KNOWN
        if service.engine is None or not call.prompt:
            return self._least_busy(open_ones)
        lane = _lane(open_ones, call.prompt_tokens)
        return self._with_prefix(lane, call)

    def begin(self, work: Work) -> None:
        """Notes that a request was sent."""
        self._load(work.incarnation).requests += 1

    def end(self, work: Work) -> None:
        """Notes that it ended."""
        load = self._load(work.incarnation)
        load.requests -= 1
        if load.requests <= 0:
            del self._loads[work.incarnation]

    def _load(self, incarnation: str) -> _Load:
        return self._loads.setdefault(incarnation, _Load())

    def _busy(self, entry: UpstreamEntry) -> float:
        load = self._loads.get(entry.incarnation)
        return load.requests / max(1, entry.slots) if load else 0.0

    def _least_busy(self, entries: Sequence[UpstreamEntry]) -> UpstreamEntry:
        return min(entries, key=lambda e: (self._busy(e), self._rng.random()))

    def _with_prefix(
        self, entries: Sequence[UpstreamEntry], call: CallTraits
    ) -> UpstreamEntry:
        shared = call.prompt[:-1] or call.prompt
        name = "/".join(part.name for part in shared)
        ranked = sorted(entries, key=lambda e: _weight(name, e.incarnation))
        total = sum(self._busy(e) for e in entries)
        slot = 1.0 / max(1, entries[0].slots)
        bound = (total + slot) / len(entries) * _SPREAD + slot
        for entry in ranked:
            if self._busy(entry) + slot <= bound:
                return entry
        return self._least_busy(entries)


def _lane(entries: list[UpstreamEntry], tokens: int) -> list[UpstreamEntry]:
    if len(entries) == 1:
        return entries
    half = len(entries) // 2
    return entries[:half] if tokens >= LONG_PROMPT_TOKENS else entries[half:]


def _weight(name: str, incarnation: str) -> int:
    return zlib.crc32(f"{name}|{incarnation}".encode())
