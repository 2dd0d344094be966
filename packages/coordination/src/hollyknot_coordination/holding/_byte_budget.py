"""A budget in bytes for all that the clients of a process make it hold.

A limit for each connection bounds no sum of them, and a process that exceeds
the memory of its machine is ended. When the budget is full, the holder that has
taken most of it, in bytes and seconds, gives way: slow and large requests go
before small and fresh ones, and a crowd of unfinished ones can't keep it full.
"""

from collections.abc import Callable

import attrs

SMALL_BYTES = 65_536
"""Bytes of each holder that may use the whole budget. What it holds beyond may
use two thirds, so that small requests are still read beside large ones."""

_LARGE_SHARE = 2 / 3
_PROCESS_BYTES = 96 * 2**20
"""Memory that a process takes for itself, with its code."""

_MEMORY_SHARE = 0.5
"""Share of the remaining memory for the budget. A byte that is held may need
another while it is copied, and what is freed leaves gaps."""

_MIN_CAPACITY_BYTES = 8 * 2**20


def default_capacity_bytes(memory_bytes: int) -> int:
    """Returns the capacity of the budget on a machine with this memory."""
    free_bytes = memory_bytes - _PROCESS_BYTES
    return max(_MIN_CAPACITY_BYTES, int(free_bytes * _MEMORY_SHARE))


@attrs.define(eq=False)
class Holder:
    """What one request or connection makes the process hold.

    Attributes:
        give_way: Frees all that is held; called when the budget is full. The
            budget no longer counts it then.
        size_bytes: Bytes that are held; set by the budget.
        is_whole: Whether the holder must not give way, as its request may run;
            set by the budget.
    """

    give_way: Callable[[], None]
    size_bytes: int = 0
    is_whole: bool = False
    _spent: float = 0.0
    _since_s: float = 0.0

    @property
    def large_bytes(self) -> int:
        """Bytes beyond those that count as small."""
        return max(0, self.size_bytes - SMALL_BYTES)

    def spent(self, now_s: float) -> float:
        """Returns the bytes held so far, each times the seconds it was held."""
        return self._spent + self.size_bytes * (now_s - self._since_s)

    def resize(self, size_bytes: int, now_s: float) -> None:
        """Holds another number of bytes from now on; 0 begins anew."""
        self._spent = self.spent(now_s) if size_bytes else 0.0
        self._since_s = now_s
        self.size_bytes = size_bytes


class ByteBudget:
    """Counts the bytes of all holders and chooses who gives way."""

    def __init__(self, capacity_bytes: int) -> None:
        """Creates a budget of which nothing is held."""
        self._capacity_bytes = capacity_bytes
        self._large_capacity_bytes = int(capacity_bytes * _LARGE_SHARE)
        self._held_bytes = 0
        self._large_bytes = 0
        self._unfinished: set[Holder] = set()

    @property
    def capacity_bytes(self) -> int:
        """Most bytes that are held at a time."""
        return self._capacity_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes that all holders hold now."""
        return self._held_bytes

    def hold(self, holder: Holder, size_bytes: int, now_s: float) -> bool:
        """Counts the bytes that a holder holds from now on.

        Others may give way, which calls them.

        Args:
            holder: The holder.
            size_bytes: All that it holds; 0 releases it, whole or not.
            now_s: The time, in seconds on any clock that doesn't go back.

        Returns:
            Whether the holder may keep them; otherwise it has to free all, and
            the budget counts none of it.
        """
        is_more = size_bytes > holder.size_bytes
        self._resize(holder, size_bytes, now_s)
        if not is_more or self._has_room(holder):
            return True
        victims = self._make_room(holder, now_s)
        has_room = self._has_room(holder)
        if not has_room:
            self._resize(holder, 0, now_s)
        for victim in victims:
            victim.give_way()
        return has_room

    def finish(self, holder: Holder) -> None:
        """Notes that a holder's request is whole, so that it may run."""
        holder.is_whole = True
        self._unfinished.discard(holder)

    def _resize(self, holder: Holder, size_bytes: int, now_s: float) -> None:
        self._held_bytes += size_bytes - holder.size_bytes
        self._large_bytes -= holder.large_bytes
        holder.resize(size_bytes, now_s)
        self._large_bytes += holder.large_bytes
        if not size_bytes:
            holder.is_whole = False
            self._unfinished.discard(holder)
        elif not holder.is_whole:
            self._unfinished.add(holder)

    def _has_room(self, holder: Holder) -> bool:
        return self._has_small_room and self._has_large_room(holder)

    @property
    def _has_small_room(self) -> bool:
        large_bytes = min(self._large_bytes, self._large_capacity_bytes)
        small_bytes = self._held_bytes - self._large_bytes
        return small_bytes + large_bytes <= self._capacity_bytes

    def _has_large_room(self, holder: Holder) -> bool:
        """Whether a holder may hold what it has beyond the small bytes.

        A single large request is read even if it exceeds the budget.
        """
        large_bytes = holder.large_bytes
        return (
            not large_bytes
            or self._large_bytes <= self._large_capacity_bytes
            or self._large_bytes == large_bytes
        )

    def _make_room(self, holder: Holder, now_s: float) -> list[Holder]:
        """Releases holders that have spent more, until there is room or none.

        Returns:
            Those that have to give way.
        """
        own_spent = holder.spent(now_s)
        victims: list[Holder] = []
        while not self._has_room(holder):
            least_bytes = 0 if self._has_small_room else -1
            others = (
                h
                for h in self._unfinished
                if h is not holder and h.large_bytes > least_bytes
            )
            victim = max(others, key=lambda h: h.spent(now_s), default=None)
            if victim is None or victim.spent(now_s) <= own_spent:
                break
            self._resize(victim, 0, now_s)
            victims.append(victim)
        return victims
