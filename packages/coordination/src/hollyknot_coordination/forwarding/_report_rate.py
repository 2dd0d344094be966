"""How many reports a host may send its peers, by a budget of bytes.

Without one, a host's bytes for reports grow with the number of peers and of
upstreams: at eight hosts ten reports a second to each peer came to 28 KB/s.
"""

BYTES_A_SECOND = 3000.0
"""What the largest deployment allows a host to send for control."""

_SAVED_S = 0.5
"""What a host may send at once after a pause, in seconds of the budget: a
report to each of some peers, and not a burst after a suspension."""


class ReportRate:
    """A bucket of bytes that fills at a steady rate."""

    def __init__(self, bytes_a_second: float = BYTES_A_SECOND) -> None:
        """Starts full.

        Args:
            bytes_a_second: What may be sent in the long run.
        """
        self._rate = bytes_a_second
        self._bytes = bytes_a_second * _SAVED_S
        self._filled_s = 0.0

    def affordable(self, size: int, now_s: float) -> int:
        """Returns how many reports may be sent now.

        Args:
            size: Bytes of one of them.
            now_s: The time.
        """
        passed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        most = max(self._rate * _SAVED_S, size)
        self._bytes = min(self._bytes + passed_s * self._rate, most)
        return max(0, int(self._bytes // max(size, 1)))

    def spend(self, size: int) -> None:
        """Notes bytes that were sent."""
        self._bytes -= size
