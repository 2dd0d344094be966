"""A virtual clock: events in the order of their time, played at once."""

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """Calls what was scheduled, in order; equal times in order of calls."""

    def __init__(self) -> None:
        """Starts at 0 s."""
        self._now_s = 0.0
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now_s(self) -> float:
        """The virtual time in seconds."""
        return self._now_s

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedules a call, at the earliest now."""
        at_s = max(at_s, self._now_s)
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def run(self, until_s: float) -> None:
        """Plays all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        self._now_s = until_s
