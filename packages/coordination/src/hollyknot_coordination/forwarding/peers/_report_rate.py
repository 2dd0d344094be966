"""Limits the bytes that a host sends its peers.

Without a limit, the bytes of reports grow with the number of peers and of
upstreams: among eight hosts, ten reports a second to each peer take 28 KB/s.

News of crashes are sent at once, whatever they cost, and paid from what queries
leave unused. Reports keep their own part meanwhile: hosts that hear nothing of
each other for seconds would part.

Part of the budget is for messages that requests wait for: queries to load
trackers, their answers, and notes about in-flight requests. Reports have the
rest of the budget to themselves, and what queries leave unused. If queries
could take the whole budget, a tracker with many queries would send no reports.
Its peers would forget it, each at a different time, and would meanwhile use
different trackers for one upstream.
"""

import attrs

BYTES_PER_S = 3000.0
"""Bytes per second of control traffic that a host of the largest deployment may
send."""

QUERY_SHARE = 0.75
"""Fraction of the budget for queries, answers and notes, which take about 300
bytes a request. The other quarter still sends each of 82 peers a report every
few seconds."""

_REPORT_BURST_S = 0.5
"""Burst size for reports, in seconds of the budget. It allows a report to each
of several peers at once, but no large burst after the process was suspended."""


MAX_NEWS_DEBT_S = 2.0
"""Largest debt for news, in seconds of the whole budget."""

_QUERY_BURST_S = 10.0
"""Burst size for queries, answers and notes, in seconds of their budget. Bursts
of requests last some seconds, and choices by outdated loads do the most harm
during it. The average rate still stays within the budget."""


@attrs.define
class _TokenBucket:
    """A token bucket of bytes that may be sent.

    Attributes:
        rate: Bytes per second at which the bucket fills.
        burst_s: Capacity, in seconds of the rate.
        level: Bytes that may be sent now; negative after overspending.
    """

    rate: float
    burst_s: float
    level: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.level = self.capacity

    @property
    def capacity(self) -> float:
        return self.rate * self.burst_s

    def fill(self, size: float) -> float:
        """Adds bytes, and returns how many of them exceed the capacity."""
        overflow = max(0.0, self.level + size - self.capacity)
        self.level += size - overflow
        return overflow


class ReportRate:
    """The budget of bytes that one host may send its peers."""

    def __init__(self, bytes_per_s: float = BYTES_PER_S) -> None:
        """Creates a full budget.

        Args:
            bytes_per_s: Average number of bytes that may be sent per second.
        """
        self._queries = _TokenBucket(bytes_per_s * QUERY_SHARE, _QUERY_BURST_S)
        self._reports = _TokenBucket(
            bytes_per_s * (1 - QUERY_SHARE), _REPORT_BURST_S
        )
        # Reports may use what queries leave, so their capacity is that of the
        # whole budget.
        self._report_capacity = bytes_per_s * _REPORT_BURST_S
        self._reports.level = self._report_capacity
        self._news_debt = 0.0
        self._filled_s = 0.0

    def affordable(self, size: int, now_s: float) -> int:
        """Returns how many reports may be sent now.

        Args:
            size: Size of one report, in bytes.
            now_s: Current time, in seconds.
        """
        self._fill(now_s, max(self._report_capacity, size))
        return max(0, int(self._reports.level // max(size, 1)))

    def may_query(self, now_s: float, reserve: float = 0.0) -> bool:
        """Returns whether a query may be sent now.

        Args:
            now_s: Current time, in seconds.
            reserve: Fraction of the capacity for queries that is left to
                others, up to 1. If it is negative, more than the bytes saved
                up may be spent.
        """
        self._fill(now_s, self._report_capacity)
        return self._queries.level > reserve * self._queries.capacity

    def spend(self, size: int) -> None:
        """Deducts bytes of reports that were sent."""
        self._reports.level -= size

    def spend_on_news(self, size: int) -> None:
        """Deducts bytes of news that were sent.

        The debt is bounded, so that a crowd of news does not slow down reports
        for long after its end.
        """
        debt = self._news_debt + size
        self._news_debt = min(debt, MAX_NEWS_DEBT_S * BYTES_PER_S)

    def spend_on_queries(self, size: int) -> None:
        """Deducts bytes of queries, answers and notes that were sent.

        Answers and notes are sent even without budget, since other hosts wait
        for them or decide by them. The host then sends fewer queries itself.
        """
        bucket = self._queries
        bucket.level = max(bucket.level - size, -self._report_capacity)

    def _fill(self, now_s: float, report_capacity: float) -> None:
        passed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        overflow = self._queries.fill(passed_s * self._queries.rate)
        paid = min(overflow, self._news_debt)
        self._news_debt -= paid
        wanted = passed_s * self._reports.rate + overflow - paid
        self._reports.level = min(self._reports.level + wanted, report_capacity)
