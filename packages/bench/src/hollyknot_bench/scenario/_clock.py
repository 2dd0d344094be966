"""Provides a virtual clock that runs events in time order, without waiting."""

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """Runs scheduled calls in time order; equal times in scheduling order."""

    def __init__(self) -> None:
        """Creates a clock at 0 s with nothing scheduled."""
        self._now_s = 0.0
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now_s(self) -> float:
        """Virtual time in seconds."""
        return self._now_s

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedules a call; a time in the past means now."""
        at_s = max(at_s, self._now_s)
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def run(self, until_s: float) -> None:
        """Runs all calls up to a time, and sets the clock to it."""
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        self._now_s = until_s
