"""Bounds on how long an upstream or a caller may stay silent.

A connection can be silent for good while new ones work. A timer for each read
would cost as much as relaying a token, so that one sweep a second looks at all
exchanges instead and expires those that made no progress; a bound is kept to
within one sweep.
"""

import asyncio
import enum


class Phase(enum.Enum):
    """What an exchange waits for."""

    FIRST_BYTE = "first-byte"
    NEXT_BYTES = "next-bytes"
    CALLER = "caller"


class WatchedExchange:
    """One exchange with an upstream, as the guard sees it."""

    __slots__ = ("_bounds", "_timeout", "phase", "progress_at")

    def __init__(
        self,
        timeout: asyncio.Timeout,
        bounds: dict[Phase, float],
        now_s: float,
    ) -> None:
        self._timeout = timeout
        self._bounds = bounds
        self.phase = Phase.FIRST_BYTE
        self.progress_at = now_s

    def expire_if_stalled(self, now_s: float) -> bool:
        """Ends the exchange if it made no progress within its bound."""
        if now_s - self.progress_at <= self._bounds[self.phase]:
            return False
        if self._timeout.expired():
            return False
        self._timeout.reschedule(now_s)
        return True


class StallGuard:
    """All exchanges of a host; swept by the host's timer."""

    def __init__(self) -> None:
        self._watched: set[WatchedExchange] = set()

    def add(self, watched: WatchedExchange) -> None:
        """Watches an exchange until it is discarded."""
        self._watched.add(watched)

    def discard(self, watched: WatchedExchange) -> None:
        """Stops watching an exchange."""
        self._watched.discard(watched)

    def sweep(self, now_s: float) -> int:
        """Expires the stalled exchanges and returns how many there were."""
        return sum(w.expire_if_stalled(now_s) for w in list(self._watched))
