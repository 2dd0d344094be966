"""Estimates the number of peers when only some of them send a host reports.

Where there are many hosts, each gets reports from a random subset of the others
within a period. How often the same ones report again shows how many there are.
"""

import math
from collections import deque

_REPORTS_FOR_FULL_COVERAGE = 3
"""Average number of reports from each known peer, within the period, from which
all peers are assumed to be known."""

_PRECISION = 0.5
"""Width of the interval, in peers, at which the bisection stops; the result is
rounded."""


def estimate_peers(distinct: int, reports: int) -> int:
    """Returns the number of peers if each report is from a random one of them.

    The expected number of distinct senders of m reports out of n peers is
    n * (1 - exp(-m / n)); n is found by bisection.

    Args:
        distinct: Number of peers that sent reports within a period.
        reports: Number of reports received within it.
    """
    if reports >= distinct * _REPORTS_FOR_FULL_COVERAGE:
        return distinct
    low, high = float(distinct), float(max(distinct, reports) ** 2 + 1)
    while high - low > _PRECISION:
        middle = (low + high) / 2
        if middle * -math.expm1(-reports / middle) < distinct:
            low = middle
        else:
            high = middle
    return round(high)


class ReportTimes:
    """Times at which reports of any peer were received."""

    def __init__(self) -> None:
        """Creates an empty list of times."""
        self._times: deque[float] = deque()

    def __len__(self) -> int:
        return len(self._times)

    def note(self, now_s: float) -> None:
        """Records that a report was received."""
        self._times.append(now_s)

    def expire(self, since_s: float) -> None:
        """Drops the times before a given one."""
        while self._times and self._times[0] < since_s:
            self._times.popleft()
