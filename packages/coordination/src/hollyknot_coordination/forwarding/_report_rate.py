"""How much a host may send its peers, by a budget of bytes.

Without one, a host's bytes for reports grow with the number of peers and of
upstreams: at eight hosts ten reports a second to each peer came to 28 KB/s.

A part of the budget is for what requests wait for: queries to trackers, their
answers, notes of work. What that leaves goes to reports, which always have the
rest to themselves. A tracker that is asked so much that it sends no reports
would be forgotten by its peers, each at another moment, and they would then ask
and tell different hosts about one upstream.
"""

import attrs

BYTES_A_SECOND = 3000.0
"""What the largest deployment allows a host to send for control."""

QUERY_SHARE = 0.75
"""The part of it for queries, answers and notes, some 300 bytes a request; a
quarter still tells each of 82 peers something every few seconds."""

_REPORT_BURST_S = 0.5
"""What a host may send at once after a pause, in seconds of the budget: a
report to each of some peers, and not a burst after a suspension."""


_QUERY_BURST_S = 10.0
"""The same for queries and what belongs to them: a burst of requests, which
lasts some seconds, is when a choice by old loads does the most harm, and the
budget is kept in the long run."""


@attrs.define
class _TokenBucket:
    """Bytes that may be sent; filled at a steady rate up to a bound."""

    rate: float
    burst_s: float
    level: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.level = self.capacity

    @property
    def capacity(self) -> float:
        return self.rate * self.burst_s

    def fill(self, size: float) -> float:
        """Takes bytes in, and returns those for which there is no room."""
        overflow = max(0.0, self.level + size - self.capacity)
        self.level += size - overflow
        return overflow


class ReportRate:
    """What one host may send."""

    def __init__(self, bytes_a_second: float = BYTES_A_SECOND) -> None:
        """Starts full.

        Args:
            bytes_a_second: What may be sent in the long run.
        """
        self._queries = _TokenBucket(
            bytes_a_second * QUERY_SHARE, _QUERY_BURST_S
        )
        self._reports = _TokenBucket(
            bytes_a_second * (1 - QUERY_SHARE), _REPORT_BURST_S
        )
        # Reports may use all that is not asked.
        self._report_capacity = bytes_a_second * _REPORT_BURST_S
        self._reports.level = self._report_capacity
        self._filled_s = 0.0

    def affordable(self, size: int, now_s: float) -> int:
        """Returns how many reports may be sent now.

        Args:
            size: Bytes of one of them.
            now_s: The time.
        """
        self._fill(now_s, max(self._report_capacity, size))
        return max(0, int(self._reports.level // max(size, 1)))

    def may_ask(self, now_s: float) -> bool:
        """Whether a query may be sent now."""
        self._fill(now_s, self._report_capacity)
        return self._queries.level > 0

    def spend(self, size: int) -> None:
        """Notes bytes of reports that were sent."""
        self._reports.level -= size

    def spend_on_queries(self, size: int) -> None:
        """Notes bytes of queries, answers and notes that were sent.

        Answers and notes are sent in any case, since others wait for them or
        decide by them; the host then asks less itself.
        """
        bucket = self._queries
        bucket.level = max(bucket.level - size, -self._report_capacity)

    def _fill(self, now_s: float, report_capacity: float) -> None:
        passed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        overflow = self._queries.fill(passed_s * self._queries.rate)
        wanted = passed_s * self._reports.rate + overflow
        self._reports.level = min(self._reports.level + wanted, report_capacity)
