"""Detects that a host was suspended, from the difference of two clocks."""

import time
from collections.abc import Callable

MIN_SUSPENSION_S = 0.5
"""Growth of the clocks' difference from which a host counts as suspended: a
busy host may be delayed some milliseconds between the readings of the two."""


def _suspended_since_boot_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class Suspension:
    """Compares a clock that runs during suspension with one that stops."""

    def __init__(
        self, difference: Callable[[], float] = _suspended_since_boot_s
    ) -> None:
        """Builds a detector that reports suspensions from now on.

        Args:
            difference: Returns how far the clock that runs during suspension
                is ahead of the other, in seconds.
        """
        self._difference = difference
        self._previous_s = difference()

    def suspended_s(self) -> float:
        """Returns the seconds that the host was suspended since the last call.

        Differences of up to `MIN_SUSPENSION_S` count as 0.
        """
        now_s = self._difference()
        suspended_s = now_s - self._previous_s
        self._previous_s = now_s
        return suspended_s if suspended_s > MIN_SUSPENSION_S else 0.0
