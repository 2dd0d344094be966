"""A virtual clock: a day of minutes is played in seconds."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Events in the order of their times."""

    def __init__(self) -> None:
        """Starts at zero, with nothing to do."""
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when_s: float, call: Callable[[], None]) -> None:
        """Has something done at a time."""
        heapq.heappush(self._events, (when_s, next(self._numbers), call))

    def run(self, until_s: float) -> None:
        """Does all that is due until a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._events)
            call()
