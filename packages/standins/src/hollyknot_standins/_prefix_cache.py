"""Simulates an engine's prefix cache and its events, with lag and loss."""

import hashlib
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

BLOCK_BYTES = 256
"""Bytes of a prompt in one block."""
MAX_KEPT_EVENTS = 1_000
"""Newest events that can still be read."""


@attrs.frozen
class CacheEvent:
    """The storing or eviction of a block.

    Attributes:
        seq: Sequence number, which rises by one with every event, including
            lost events.
        kind: Either `stored` or `evicted`.
        prefix: Hexadecimal 64-bit BLAKE2b hash of the prompt's bytes up to the
            end of the block.
    """

    seq: int
    kind: str
    prefix: str


_TimedEvent = tuple[float, CacheEvent]


class PrefixCache:
    """Caches blocks of prompts and evicts the least recently used."""

    def __init__(
        self, blocks: int, gap: int, now_s: Callable[[], float]
    ) -> None:
        """Builds an empty cache.

        Args:
            blocks: Capacity in blocks; 0 to cache nothing.
            gap: Every so many events one is lost; 0 for none.
            now_s: Returns the current time in seconds.
        """
        self._capacity = blocks
        self._gap = gap
        self._now_s = now_s
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=MAX_KEPT_EVENTS
        )
        self._seq = 0

    @property
    def used(self) -> float:
        """The fraction of the blocks in use, 0 to 1."""
        return len(self._blocks) / self._capacity if self._capacity else 0.0

    def look_up_and_store(self, prompt: bytes) -> int:
        """Returns how many bytes of a prompt were cached, and caches it."""
        digest = hashlib.blake2b(digest_size=8)
        cached = 0
        end = len(prompt) - len(prompt) % BLOCK_BYTES
        for start in range(0, end, BLOCK_BYTES):
            digest.update(prompt[start : start + BLOCK_BYTES])
            prefix = digest.hexdigest()
            if prefix in self._blocks and cached == start:
                cached = start + BLOCK_BYTES
            self._store(prefix)
        return cached

    def events(self, after: int, lag_s: float) -> list[CacheEvent]:
        """Returns events after a sequence number that are old enough to read.

        Args:
            after: Sequence number after which events are returned.
            lag_s: Age in seconds from which an event can be read.
        """
        until_s = self._now_s() - lag_s
        return [
            e for at_s, e in self._events if e.seq > after and at_s <= until_s
        ]

    def clear(self) -> None:
        """Drops all blocks without events, as a crash does."""
        self._blocks.clear()

    def _store(self, prefix: str) -> None:
        if not self._capacity:
            return
        if prefix not in self._blocks:
            self._record_event("stored", prefix)
        self._blocks[prefix] = None
        self._blocks.move_to_end(prefix)
        if len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", evicted)

    def _record_event(self, kind: str, prefix: str) -> None:
        self._seq += 1
        if self._gap and self._seq % self._gap == 0:
            return
        event = CacheEvent(self._seq, kind, prefix)
        self._events.append((self._now_s(), event))
