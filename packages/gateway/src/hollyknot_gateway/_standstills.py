"""Notices that a host's process stood still, from the times of its rounds."""

STOOD_STILL_S = 1.0
"""Seconds between two rounds from which messages count as having waited."""

DRAIN_S = 0.25
"""Seconds after such a round in which the last of them are read."""


class Standstills:
    """Tells messages that may have waited from those that have just come."""

    def __init__(self, now_s: float) -> None:
        """Creates an instance for a host that has just started.

        Args:
            now_s: Current time in seconds of the host's monotonic clock, as in
                all methods.
        """
        self._last_round_s = now_s
        self._waited_until_s = float("-inf")
        self._went_on_s = now_s

    def on_round(self, now_s: float) -> None:
        """Records a round; call it several times a second."""
        if self._stands_still(now_s):
            self._waited_until_s = now_s + DRAIN_S
            self._went_on_s = now_s
        self._last_round_s = now_s

    def running_s(self, now_s: float) -> float:
        """Returns the seconds for which the host has run without a stop."""
        if self._stands_still(now_s):
            return 0.0
        return now_s - self._went_on_s

    def may_have_waited(self, now_s: float) -> bool:
        """Whether messages that are read now may have waited for this host.

        It stood still, and the ages in them are too low by an unknown time.
        """
        return self._stands_still(now_s) or now_s < self._waited_until_s

    def _stands_still(self, now_s: float) -> bool:
        return now_s - self._last_round_s > STOOD_STILL_S
