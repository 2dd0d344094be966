"""Issues permits for requests to rate-limited upstreams, from token buckets.

One host issues the permits of an upstream for all hosts. While hosts disagree
on which one it is, two may do so at a time. Therefore each issues so few that
both together stay within what the upstream tolerates.
"""

from collections import deque

import attrs

from hollyknot_coordination.forwarding.peers._host_count import HostCount

OVERRUN_FACTOR = 1.5
OVERRUN_REQUESTS = 5
"""Over a few seconds an upstream tolerates its limit times `OVERRUN_FACTOR`
plus `OVERRUN_REQUESTS` requests."""

MAX_ISSUERS = 2
"""Number of hosts that may issue permits of one upstream at the same time."""

RATE_FRACTION = OVERRUN_FACTOR / MAX_ISSUERS
"""Fraction of an upstream's limit that one host issues."""

MAX_SAVED_PERMITS = OVERRUN_REQUESTS / MAX_ISSUERS
"""Capacity of a bucket: permits that one host saves up while nobody asks."""

MIN_RATE = 0.1
"""Lowest rate in requests per second at which permits are issued, whatever the
limit. Only answers of the upstream show that a lower limit is withdrawn."""

RESERVED_PERMITS = 1
"""Permits kept for requests that are not among the least urgent."""

HOSTS_PER_PERMIT = 12
"""Hosts that should ask in the time in which one permit accrues. With fewer,
permits stay unused; with more, hosts ask in vain."""

REFUSAL_WINDOW_S = 10.0
"""Seconds for which a refusal lengthens the waits of later refusals."""

MAX_WAIT_S = 10.0
"""Longest wait in seconds that a refused host is given."""

DISCOVERY_S = 1.0
"""Seconds after its start in which a host issues no permits. In this time it
discovers enough others to know whether one of them is the issuer."""

DISCOVERY_WAIT_S = 0.5
"""Wait in seconds given to hosts that are refused during `DISCOVERY_S`."""

_MAX_REFUSALS = 10_000
"""Newest refusals of an upstream that are remembered, to bound the memory."""


@attrs.define
class _Bucket:
    """Token bucket with the permits of one upstream.

    Attributes:
        filled_s: Time up to which permits have accrued.
        level: Permits that can be issued now; may be fractional.
        refused: Times of refusals, the oldest first.
    """

    filled_s: float
    level: float
    refused: deque[float] = attrs.Factory(lambda: deque(maxlen=_MAX_REFUSALS))

    def count_refused(self, now_s: float) -> int:
        """Returns the number of refusals within `REFUSAL_WINDOW_S`."""
        while self.refused and self.refused[0] < now_s - REFUSAL_WINDOW_S:
            self.refused.popleft()
        return len(self.refused)


class PermitIssuer:
    """Permits that one host issues, by upstream."""

    def __init__(self, size: HostCount) -> None:
        """Creates an issuer that has not issued any permit.

        Args:
            size: Number of hosts and the fraction whose reports arrive here.
                If it is less than 1, others may issue permits to the rest.
        """
        self._size = size
        self._buckets: dict[str, _Bucket] = {}

    def issue(
        self,
        incarnation: str,
        rate: float,
        now_s: float,
        *,
        is_least_urgent: bool,
        is_sole: bool = False,
    ) -> float:
        """Issues a permit for one request, if there is one.

        Args:
            incarnation: Incarnation of the upstream.
            rate: Limit of the upstream in requests per second.
            now_s: The time.
            is_least_urgent: Whether the request is among the least urgent of
                its service.
            is_sole: Whether this host is the only issuer on its side of a
                partition, also for hosts whose reports don't arrive here.

        Returns:
            0 if the permit is issued, else the seconds after which to ask
            again.
        """
        if not self._size.is_known(now_s, DISCOVERY_S):
            return DISCOVERY_WAIT_S
        size = self._size
        fraction = size.present_fraction if is_sole else size.heard_fraction
        own_rate = max(rate, MIN_RATE) * RATE_FRACTION * fraction
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            bucket = _Bucket(now_s, fraction)
            self._buckets[incarnation] = bucket
        capacity = max(1.0, MAX_SAVED_PERMITS * fraction)
        passed_s = max(0.0, now_s - bucket.filled_s)
        bucket.level = min(capacity, bucket.level + passed_s * own_rate)
        bucket.filled_s = now_s
        needed = 1 + RESERVED_PERMITS if is_least_urgent else 1
        needed_level = min(float(needed), capacity)
        if bucket.level >= needed_level:
            bucket.level -= 1
            return 0.0
        bucket.refused.append(now_s)
        contention_s = bucket.count_refused(now_s) / (
            HOSTS_PER_PERMIT * own_rate
        )
        next_s = (needed_level - bucket.level) / own_rate
        return min(max(contention_s, next_s), MAX_WAIT_S)

    def forget(self, incarnation: str) -> None:
        """Drops the permits of an upstream that has left for good."""
        self._buckets.pop(incarnation, None)
