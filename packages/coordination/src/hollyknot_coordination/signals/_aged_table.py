"""Values that age by this host's monotonic clock and expire.

A table is merged by the greater rank alone, so that the order of arrival and
duplicates do not matter: hosts that have heard the same hold the same.
"""

import random
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

import attrs

from hollyknot_coordination._transmit_queue import TransmitQueue

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")

REFRESH_S = 1.0
"""A value younger by less than this is not told again.

Pressure is noted many times a second while it lasts; telling each would fill
the messages with what all peers know.
"""


@attrs.frozen
class AgedValue(Generic[V]):
    """A value with the time of its observation.

    Attributes:
        value: As it was observed; its own age is not looked at.
        observed_s: On this host's monotonic clock.
        rank_s: Which value wins: the time, shifted by the value's kind.
    """

    value: V
    observed_s: float
    rank_s: float


class AgedTable(Generic[K, V]):
    """Values by key, at most one each, with what is still to be told."""

    def __init__(
        self,
        ttl_s: float,
        capacity: int,
        is_repeat: Callable[[V, V], bool],
    ) -> None:
        """Makes an empty table.

        Args:
            ttl_s: Seconds after which a value is forgotten.
            capacity: The most values; above it the oldest go.
            is_same_news: Whether a value tells no more than an earlier one
                but that it was observed again.
        """
        self._ttl_s = ttl_s
        self._capacity = capacity
        self._is_repeat = is_repeat
        self._entries: dict[K, AgedValue[V]] = {}
        self._unsent: TransmitQueue[K] = TransmitQueue()
        self._queued_rank_s: dict[K, float] = {}

    @property
    def has_news(self) -> bool:
        """Whether values wait to be told."""
        return bool(self._unsent)

    def merge(self, key: K, entry: AgedValue[V], now_s: float) -> bool:
        """Takes a value; tells whether it is news."""
        if now_s - entry.observed_s >= self._ttl_s:
            return False
        known = self._entries.get(key)
        if known is not None and known.rank_s >= entry.rank_s:
            return False
        self._entries[key] = entry
        is_same = known is not None and self._is_repeat(
            known.value, entry.value
        )
        if is_same and entry.rank_s - self._queued_rank_s[key] < REFRESH_S:
            return False
        self._unsent.add(key)
        self._queued_rank_s[key] = entry.rank_s
        if len(self._entries) > self._capacity:
            self._drop_oldest()
        return True

    def expire(self, now_s: float) -> None:
        """Forgets what is too old."""
        limit_s = now_s - self._ttl_s
        old = [k for k, e in self._entries.items() if e.observed_s <= limit_s]
        for key in old:
            self._drop(key)

    def entries(self, now_s: float) -> list[AgedValue[V]]:
        """Returns what is not too old."""
        limit_s = now_s - self._ttl_s
        return [e for e in self._entries.values() if e.observed_s > limit_s]

    def get(self, key: K, default: V, now_s: float) -> AgedValue[V]:
        """Returns a key's value, or a default of infinite age."""
        entry = self._entries.get(key)
        if entry is None or now_s - entry.observed_s >= self._ttl_s:
            return AgedValue(default, float("-inf"), float("-inf"))
        return entry

    def next_updates(
        self, limit: int, hosts: int, now_s: float
    ) -> list[AgedValue[V]]:
        """Returns news for one message, most recent first, and counts it."""
        self.expire(now_s)
        entries = self._entries
        keys = self._unsent.take(limit, hosts, lambda k: entries[k].observed_s)
        return [entries[k] for k in keys]

    def sample(
        self, limit: int, rng: random.Random, now_s: float
    ) -> list[AgedValue[V]]:
        """Returns a few values at random, for hosts that missed the news."""
        entries = self.entries(now_s)
        return rng.sample(entries, min(limit, len(entries)))

    def _drop(self, key: K) -> None:
        del self._entries[key]
        del self._queued_rank_s[key]
        self._unsent.discard(key)

    def _drop_oldest(self) -> None:
        entries = self._entries
        self._drop(min(entries, key=lambda k: entries[k].observed_s))
