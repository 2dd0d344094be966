"""How many requests an upstream gets that has just started, over all hosts.

A cold upstream crashes at a rate of requests that a warm one bears, and just
then it looks idle to all hosts at once. They share no state, and a word between
them takes longer than the crowd. So each host has a share by itself: permits
for one request each, at a pace that divides the upstream's rate by the number
of hosts, at moments of its own. A permit that is not used soon lapses. Were
permits saved up, those of all hosts would be used at one moment.
"""

import math
import random
from collections.abc import Callable, Sequence

import attrs

from hollyknot_coordination.forwarding._host_count import HostCount
from hollyknot_state.routes import ColdStart, UpstreamEntry

RATE_FRACTION = 0.5
"""Of the rate that a cold upstream bears, what the hosts send together: permits
fall at random, and hosts count each other late."""

PERMIT_LIFETIME_S = 0.5
"""How long a permit holds: most hosts have a request to send within it, and in
any second hardly more than one and a half seconds' permits can be used."""


@attrs.define
class _Cold:
    """An upstream that is cold, or may be.

    Attributes:
        service: Its service, which may not be known yet: a host that has just
            started may read upstreams before routes.
        until_s: When it is warm.
        permit_s: When this host's present permit began, or its next one
            begins; None before the first look at it.
    """

    service: str
    until_s: float
    permit_s: float | None = None


class ColdStarts:
    """The cold upstreams that one host knows of, and its share in each."""

    def __init__(
        self,
        rng: random.Random,
        size: HostCount,
        cold_start: Callable[[str], ColdStart | None],
    ) -> None:
        """Takes all upstreams for warm.

        Args:
            rng: Spreads the permits of hosts.
            size: Among how many hosts the upstreams are shared. A host that
                doesn't know it sends nothing to cold ones.
            cold_start: What the upstreams of a service bear while cold; None
                for one whose upstreams are never cold.
        """
        self._rng = rng
        self._size = size
        self._cold_start = cold_start
        self._cold: dict[str, _Cold] = {}

    @property
    def size(self) -> HostCount:
        """Among how many hosts the upstreams are shared."""
        return self._size

    def note(self, entry: UpstreamEntry, now_s: float) -> None:
        """Takes what an upstream says of itself in an entry that is new."""
        if entry.cold_s > 0:
            self._begin(entry, now_s, entry.cold_s)

    def suspect(self, entry: UpstreamEntry, now_s: float) -> None:
        """Takes an upstream for cold that may be so without saying it yet."""
        cold_start = self._cold_start(entry.service)
        if cold_start is not None:
            self._begin(entry, now_s, cold_start.lasts_s)

    def forget(self, incarnation: str) -> None:
        """Notes that an upstream has left for good."""
        self._cold.pop(incarnation, None)

    def closed(
        self, entries: Sequence[UpstreamEntry], now_s: float
    ) -> frozenset[str]:
        """Returns the incarnations that may get nothing at this moment."""
        if not self._cold:
            return frozenset()
        return frozenset(
            entry.incarnation
            for entry in entries
            if not self._may_send(entry.incarnation, now_s)
        )

    def permitted(
        self, entries: Sequence[UpstreamEntry], now_s: float
    ) -> list[UpstreamEntry]:
        """Returns the cold ones that may get one request now.

        They are to be offered beside others: left to chance, most permits
        would lapse, and an upstream that warms would be shunned.
        """
        if not self._cold:
            return []
        return [
            entry
            for entry in entries
            if self.is_cold(entry.incarnation, now_s)
            and self._may_send(entry.incarnation, now_s)
        ]

    def is_cold(self, incarnation: str, now_s: float) -> bool:
        """Whether an upstream is cold, or may be."""
        return self._find_cold(incarnation, now_s) is not None

    def take(self, incarnation: str, now_s: float) -> bool:
        """Returns whether a request may be sent, and uses a permit for it."""
        if not self._may_send(incarnation, now_s):
            return False
        cold = self._find_cold(incarnation, now_s)
        if cold is not None:
            cold.permit_s = now_s + self._interval_s(cold)
        return True

    def _begin(self, entry: UpstreamEntry, now_s: float, for_s: float) -> None:
        until_s = now_s + for_s
        cold = self._cold.get(entry.incarnation)
        if cold is not None and now_s < cold.until_s:
            cold.until_s = max(cold.until_s, until_s)
        else:
            self._cold[entry.incarnation] = _Cold(entry.service, until_s)

    def _find_cold(self, incarnation: str, now_s: float) -> _Cold | None:
        cold = self._cold.get(incarnation)
        if cold is None:
            return None
        if now_s >= cold.until_s:
            del self._cold[incarnation]
            return None
        return cold if self._cold_start(cold.service) is not None else None

    def _may_send(self, incarnation: str, now_s: float) -> bool:
        cold = self._find_cold(incarnation, now_s)
        if cold is None:
            return True
        if not self._size.is_known(now_s):
            return False
        return now_s >= self._permit_s(cold, now_s)

    def _interval_s(self, cold: _Cold) -> float:
        """Returns the time between two permits of this host."""
        cold_start = self._cold_start(cold.service)
        if cold_start is None:
            return 0.0
        return self._size.hosts / (cold_start.rate * RATE_FRACTION)

    def _permit_s(self, cold: _Cold, now_s: float) -> float:
        """Returns when the permit begins that has not lapsed."""
        interval_s = self._interval_s(cold)
        if cold.permit_s is None:
            cold.permit_s = now_s + self._rng.uniform(0, interval_s)
        lapsed_s = now_s - cold.permit_s - PERMIT_LIFETIME_S
        # Where permits follow each other sooner than they lapse, one is left.
        if lapsed_s > 0 and interval_s > PERMIT_LIFETIME_S:
            cold.permit_s += math.ceil(lapsed_s / interval_s) * interval_s
        return cold.permit_s
