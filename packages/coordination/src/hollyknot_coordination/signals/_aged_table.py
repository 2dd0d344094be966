"""A table of gossiped values that age by the monotonic clock and expire.

Of two values with one key the one with the greater rank wins, so that the
order of arrival and duplicates do not matter: hosts that received the same
values hold the same table.
"""

import random
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

import attrs

from hollyknot_coordination._transmit_queue import TransmitQueue

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")

REFRESH_S = 1.0
"""How much younger a repeated value must be to be sent again.

Pressure is observed many times a second while it lasts. Sending each
observation would fill the messages with what all peers know already.
"""


@attrs.frozen
class AgedValue(Generic[V]):
    """A value with the time of its observation.

    Attributes:
        value: The value as it was observed. Its own age field is ignored.
        observed_s: Time of the observation on this host's monotonic clock.
        rank_s: Rank by which a value replaces another: the time of the
            observation, shifted by an amount that depends on the value's
            kind.
    """

    value: V
    observed_s: float
    rank_s: float


class AgedTable(Generic[K, V]):
    """Holds at most one value per key and queues changes for gossip."""

    def __init__(
        self,
        ttl_s: float,
        capacity: int,
        is_repeat: Callable[[V, V], bool],
    ) -> None:
        """Creates an empty table.

        Args:
            ttl_s: Age in seconds at which a value expires.
            capacity: Maximum number of values; above it the oldest is
                dropped.
            is_repeat: Returns whether the second value adds nothing to the
                first one but a later time of observation.
        """
        self._ttl_s = ttl_s
        self._capacity = capacity
        self._is_repeat = is_repeat
        self._entries: dict[K, AgedValue[V]] = {}
        self._unsent: TransmitQueue[K] = TransmitQueue()
        self._queued_rank_s: dict[K, float] = {}

    @property
    def has_updates(self) -> bool:
        """Whether values wait to be sent to peers."""
        return bool(self._unsent)

    def merge(self, key: K, entry: AgedValue[V], now_s: float) -> bool:
        """Merges a value; returns whether it is queued to be sent to peers."""
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
        """Drops the expired values."""
        limit_s = now_s - self._ttl_s
        old = [k for k, e in self._entries.items() if e.observed_s <= limit_s]
        for key in old:
            self._drop(key)

    def entries(self, now_s: float) -> list[AgedValue[V]]:
        """Returns the values that have not expired."""
        limit_s = now_s - self._ttl_s
        return [e for e in self._entries.values() if e.observed_s > limit_s]

    def get(self, key: K, default: V, now_s: float) -> AgedValue[V]:
        """Returns a key's value, or the default with an infinite age."""
        entry = self._entries.get(key)
        if entry is None or now_s - entry.observed_s >= self._ttl_s:
            return AgedValue(default, float("-inf"), float("-inf"))
        return entry

    def next_updates(
        self, limit: int, hosts: int, now_s: float
    ) -> list[AgedValue[V]]:
        """Returns queued values for one message and counts their sending.

        The values that were sent least often come first; of these the most
        recently observed come first.
        """
        self.expire(now_s)
        entries = self._entries
        keys = self._unsent.next_keys(
            limit, hosts, lambda k: entries[k].observed_s
        )
        return [entries[k] for k in keys]

    def sample(
        self, limit: int, rng: random.Random, now_s: float
    ) -> list[AgedValue[V]]:
        """Returns random values, for hosts that missed them when new."""
        entries = self.entries(now_s)
        return rng.sample(entries, min(limit, len(entries)))

    def _drop(self, key: K) -> None:
        del self._entries[key]
        del self._queued_rank_s[key]
        self._unsent.discard(key)

    def _drop_oldest(self) -> None:
        entries = self._entries
        self._drop(min(entries, key=lambda k: entries[k].observed_s))
