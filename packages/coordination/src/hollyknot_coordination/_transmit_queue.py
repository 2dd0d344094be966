"""Queues gossip updates until each was sent often enough to reach all hosts."""

import math
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

TRANSMIT_FACTOR = 3
"""Number of sends of an update, per binary logarithm of the number of hosts.

Each send reaches a random peer. With three times the logarithm, the chance
that some host never receives the update is far below one divided by the number
of hosts.
"""


def transmit_limit(hosts: int) -> int:
    """Returns how often a host sends one update."""
    return TRANSMIT_FACTOR * max(1, math.ceil(math.log2(max(2, hosts))))


class TransmitQueue(Generic[K]):
    """Holds the keys of unsent updates and how often each was sent."""

    def __init__(self) -> None:
        self._send_counts: dict[K, int] = {}

    def __bool__(self) -> bool:
        """Whether any update is still to be sent."""
        return bool(self._send_counts)

    def add(self, key: K) -> None:
        """Queues a key, or queues it again with no sends counted."""
        self._send_counts[key] = 0

    def discard(self, key: K) -> None:
        """Removes a key if it is queued."""
        self._send_counts.pop(key, None)

    def next_keys(
        self, limit: int, hosts: int, recency: Callable[[K], float]
    ) -> list[K]:
        """Returns the keys for one message and counts one send of each.

        Args:
            limit: Maximum number of keys.
            hosts: Number of hosts that the updates are to reach.
            recency: Sort key among keys that were sent equally often; the
                larger value goes first.
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
