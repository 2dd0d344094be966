"""Ends exchanges whose upstream or caller has been silent for too long.

A connection can hang forever while new ones work. A timer for each read would
cost as much as relaying a token. Instead, one sweep per second checks all
exchanges and expires those that made no progress, so that an exchange ends up
to one sweep interval after its bound.
"""

import asyncio
import enum


class Phase(enum.Enum):
    """What an exchange with an upstream waits for."""

    FIRST_BYTE = "first-byte"
    NEXT_BYTES = "next-bytes"
    CALLER = "caller"


class WatchedExchange:
    """The progress and the time-outs of one exchange with an upstream.

    Attributes:
        phase: What the exchange waits for; selects the bound that applies.
        progress_at: Time of the last progress, in monotonic seconds.
    """

    __slots__ = ("_bounds", "_timeout", "phase", "progress_at")

    def __init__(
        self,
        timeout: asyncio.Timeout,
        bounds: dict[Phase, float],
        now_s: float,
    ) -> None:
        """Creates the state of an exchange that starts now.

        Args:
            timeout: The timeout context in which the exchange runs.
            bounds: Longest time without progress in each phase, in seconds.
            now_s: The current time, in monotonic seconds.
        """
        self._timeout = timeout
        self._bounds = bounds
        self.phase = Phase.FIRST_BYTE
        self.progress_at = now_s

    def expire_if_stalled(self, now_s: float) -> bool:
        """Ends the exchange if it made no progress within its bound.

        Returns:
            Whether this call ended the exchange.
        """
        if now_s - self.progress_at <= self._bounds[self.phase]:
            return False
        if self._timeout.expired():
            return False
        self._timeout.reschedule(now_s)
        return True


class StallGuard:
    """Watches all exchanges of a host, whose timer calls `sweep`."""

    def __init__(self) -> None:
        self._watched: set[WatchedExchange] = set()

    def add(self, watched: WatchedExchange) -> None:
        """Starts to watch an exchange, until it is discarded."""
        self._watched.add(watched)

    def discard(self, watched: WatchedExchange) -> None:
        """Stops watching an exchange."""
        self._watched.discard(watched)

    def sweep(self, now_s: float) -> int:
        """Expires the stalled exchanges and returns how many there were."""
        return sum(w.expire_if_stalled(now_s) for w in list(self._watched))
