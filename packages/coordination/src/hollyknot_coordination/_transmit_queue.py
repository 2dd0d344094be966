"""Counts how often each piece of news is still to be told."""

import math
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

TRANSMIT_FACTOR = 3
"""News is told this many times the binary logarithm of the hosts.

Each telling reaches a random peer; with three times the logarithm the chance
that some host hears of it from nobody is far below one in the hosts' number.
"""


def transmit_limit(hosts: int) -> int:
    """Returns how often a host tells one piece of news."""
    return TRANSMIT_FACTOR * max(1, math.ceil(math.log2(max(2, hosts))))


class TransmitQueue(Generic[K]):
    """Keys of news with the number of times that each was told."""

    def __init__(self) -> None:
        self._send_counts: dict[K, int] = {}

    def __bool__(self) -> bool:
        """Whether there is news to tell."""
        return bool(self._send_counts)

    def add(self, key: K) -> None:
        """Counts a key as news from now on."""
        self._send_counts[key] = 0

    def discard(self, key: K) -> None:
        """Forgets a key."""
        self._send_counts.pop(key, None)

    def next_keys(
        self, limit: int, hosts: int, recency: Callable[[K], float]
    ) -> list[K]:
        """Returns what to tell in one message and counts it as told.

        Args:
            limit: The most keys.
            hosts: How many hosts are to hear of it.
            recency: Among keys told equally often, the larger goes first.
        """
        order = sorted(
            self._send_counts, key=lambda k: (self._send_counts[k], -recency(k))
        )
        chosen = order[:limit]
        max_sends = transmit_limit(hosts)
        for key in chosen:
            self._send_counts[key] += 1
            if self._send_counts[key] >= max_sends:
                del self._send_counts[key]
        return chosen
