"""Hands out permits for requests to upstreams that have named a rate limit.

One host issues the permits of an upstream for all. Two may do so for a while,
where hosts disagree about which one it is: each issues so few that both
together stay within what is allowed.
"""

from collections import deque

import attrs

from hollyknot_coordination.forwarding._fleet_size import FleetSize

OVERRUN_FACTOR = 1.5
OVERRUN_REQUESTS = 5
"""An upstream bears its limit times the first over some seconds, and as many
requests more as the second."""

MAX_ISSUERS = 2
"""Hosts that may issue the permits of one upstream at the same time."""

RATE_FRACTION = OVERRUN_FACTOR / MAX_ISSUERS
"""Of a limit, what one host issues."""

MAX_SAVED_PERMITS = OVERRUN_REQUESTS / MAX_ISSUERS
"""The most permits that one host saves up while nobody asks."""

MIN_RATE = 0.1
"""Requests a second that any upstream gets: its answers tell when a lower limit
is withdrawn."""

RESERVED_PERMITS = 1
"""Permits that are kept for requests which are not among the least urgent."""

HOSTS_PER_PERMIT = 12
"""About how many hosts ask in the time of one permit: with fewer, permits stay
unused; with more, hosts ask in vain."""

REFUSAL_WINDOW_S = 10.0
"""How long a refused permit counts in the wait of the next host."""

MAX_WAIT_S = 10.0
"""The longest time after which a host asks again."""

DISCOVERY_S = 1.0
"""After its start a host issues none for so long. It hears of enough others in
this time to know whether one of them issues them."""

DISCOVERY_WAIT_S = 0.5
"""When a host that was refused for this reason asks again."""

_MAX_REFUSALS = 10_000


@attrs.define
class _Bucket:
    """The permits of one upstream.

    Attributes:
        filled_s: Up to when its permits were counted.
        level: Permits that can be issued.
        refused: When hosts asked in vain.
    """

    filled_s: float
    level: float
    refused: deque[float] = attrs.Factory(lambda: deque(maxlen=_MAX_REFUSALS))

    def count_refused(self, now_s: float) -> int:
        """Returns how many hosts asked in vain lately."""
        while self.refused and self.refused[0] < now_s - REFUSAL_WINDOW_S:
            self.refused.popleft()
        return len(self.refused)


class PermitIssuer:
    """The permits that one host issues, by upstream."""

    def __init__(self, size: FleetSize) -> None:
        """Has issued none.

        Args:
            size: Tells which part of all hosts this one hears. Where it hears
                some only, others may issue permits to the rest.
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
            incarnation: The upstream.
            rate: Its limit in requests a second.
            now_s: The time.
            is_least_urgent: Whether the request is among the least urgent of
                its service.
            is_sole: Whether no other host issues permits, also to hosts that
                are not heard here.

        Returns:
            0 if the permit is issued, else the seconds after which to ask
            again.
        """
        if not self._size.is_known(now_s, DISCOVERY_S):
            return DISCOVERY_WAIT_S
        fraction = 1.0 if is_sole else self._size.heard_part
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
        """Notes that an upstream has left for good."""
        self._buckets.pop(incarnation, None)
