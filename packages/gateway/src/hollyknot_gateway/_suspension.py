"""Notices that a host stood still: its steady clock does not count that."""

import time
from collections.abc import Callable

MIN_SUSPENSION_S = 0.5
"""Difference of the clocks from which a host counts as suspended: between two
readings of both a busy host may be held up for some milliseconds."""


def _suspended_since_boot_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class Suspension:
    """Compares a clock that counts suspensions with one that does not."""

    def __init__(
        self, difference: Callable[[], float] = _suspended_since_boot_s
    ) -> None:
        """Starts from now.

        Args:
            difference: Returns by how much one clock is ahead, in seconds.
        """
        self._difference = difference
        self._previous_s = difference()

    def suspended_s(self) -> float:
        """Returns for how long the host was suspended since the last call."""
        now_s = self._difference()
        suspended_s = now_s - self._previous_s
        self._previous_s = now_s
        return suspended_s if suspended_s > MIN_SUSPENSION_S else 0.0
