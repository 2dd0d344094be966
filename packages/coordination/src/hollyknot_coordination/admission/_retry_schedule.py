"""The times at which refused callers are told to come back."""

import random

from hollyknot_coordination.admission._options import AdmissionOptions

_JITTER = 0.5
"""By how much, as a share, a time to come back is moved at random, at most."""


class RetrySchedule:
    """Hands out times to come back, one after the other.

    Callers that never give up come back when they are told to. Told the same
    time they would come back together, and the burst would repeat itself; one
    would notice refusals in waves. So each refusal takes the next place in a
    calendar that moves on at the rate at which the slots take work.
    """

    def __init__(self, options: AdmissionOptions, rng: random.Random) -> None:
        """Makes an empty calendar."""
        self._options = options
        self._rng = rng
        self._next_s = 0.0

    def retry_after_s(
        self, wait_s: float, step_s: float, now_s: float
    ) -> float:
        """Takes the next place.

        Args:
            wait_s: The wait that was predicted for the refused request.
            step_s: The time that the slots need for one such request.
            now_s: The time.

        Returns:
            Seconds after which to come back.
        """
        options = self._options
        earliest_s = now_s + max(options.retry_min_s, wait_s)
        latest_s = now_s + options.retry_max_s
        self._next_s = min(max(self._next_s, earliest_s) + step_s, latest_s)
        jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        after_s = (self._next_s - now_s) * jitter
        return max(options.retry_min_s, after_s)
