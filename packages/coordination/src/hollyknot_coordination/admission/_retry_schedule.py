"""Chooses the times after which refused callers should retry."""

import random

from hollyknot_coordination.admission._options import AdmissionOptions

_JITTER = 0.5
"""Largest fraction by which a retry time is randomly changed."""


class RetrySchedule:
    """Assigns successive retry times to refused requests.

    Callers that never give up retry when the refusal says. With the same time
    for all they would retry together, so that the burst repeats itself and
    refusals come in waves. Each refusal therefore gets the next time of a
    schedule that advances at the rate at which the slots take requests.
    """

    def __init__(self, options: AdmissionOptions, rng: random.Random) -> None:
        """Builds an empty schedule.

        Args:
            options: Sizes and times, of which the retry times are used.
            rng: Source of the jitter.
        """
        self._options = options
        self._rng = rng
        self._next_s = 0.0

    def retry_after_s(
        self, wait_s: float, step_s: float, now_s: float
    ) -> float:
        """Assigns the next retry time.

        Args:
            wait_s: Predicted wait of the refused request, in seconds.
            step_s: Mean seconds between two starts of such requests.
            now_s: Current time in seconds.

        Returns:
            Seconds after which the caller should retry.
        """
        options = self._options
        earliest_s = now_s + max(options.retry_min_s, wait_s)
        latest_s = now_s + options.retry_max_s
        self._next_s = min(max(self._next_s, earliest_s) + step_s, latest_s)
        jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        after_s = (self._next_s - now_s) * jitter
        return max(options.retry_min_s, after_s)
