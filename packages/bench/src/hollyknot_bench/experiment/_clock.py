"""Provides a virtual clock, so that simulated minutes take only seconds."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """A queue of callbacks that run in the order of their times."""

    def __init__(self) -> None:
        """Builds a clock at time zero with an empty queue."""
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when_s: float, call: Callable[[], None]) -> None:
        """Schedules a callback for a time, in seconds."""
        heapq.heappush(self._events, (when_s, next(self._numbers), call))

    def run(self, until_s: float) -> None:
        """Runs all callbacks that are due up to and including a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._events)
            call()
