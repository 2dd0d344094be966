"""How many peers there are, also where a host hears only some of them.

In a large fleet each host hears a random part of the others in a time. How
often it hears the same ones again tells how many there are.
"""

import math
from collections import deque

_REPORTS_FOR_FULL_COVERAGE = 3
"""Reports a peer in the time counted from which all peers are taken to have
been heard."""

_PRECISION = 0.5
"""Where the estimate ends, in peers; it is rounded."""


def estimate_peers(distinct: int, reports: int) -> int:
    """Returns how many peers there are, if each report is from any of them.

    The expected number of distinct senders of m reports out of n peers is
    n * (1 - exp(-m / n)); n is found by bisection.

    Args:
        distinct: How many peers were heard in a time.
        reports: How many reports they sent in it.
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
    """When reports came in, of any peer."""

    def __init__(self) -> None:
        """None came yet."""
        self._times: deque[float] = deque()

    def __len__(self) -> int:
        return len(self._times)

    def note(self, now_s: float) -> None:
        """Notes a report."""
        self._times.append(now_s)

    def expire(self, since_s: float) -> None:
        """Forgets those before a time."""
        while self._times and self._times[0] < since_s:
            self._times.popleft()
