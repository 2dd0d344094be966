"""Limits the rate at which all hosts together send to a cold upstream.

A cold upstream is one that has started recently. It crashes at a request rate
that a warm one can handle, and it looks idle to all hosts at the same time.
Hosts share no state, and a message between them would arrive after their
requests. Each host therefore issues itself permits for one request each, at the
upstream's rate divided by the number of hosts, with a random phase. An unused
permit lapses soon: if hosts accumulated permits, all of them could use theirs
at the same moment.
"""

import math
import random
from collections.abc import Callable, Sequence

import attrs

from hollyknot_coordination.forwarding.peers._host_count import HostCount
from hollyknot_state.routes import ColdStart, UpstreamEntry

RATE_FRACTION = 0.5
"""Fraction of a cold upstream's rate that all hosts together use. The rest is
a margin, since permits fall at random and hosts learn late of each other."""

PERMIT_LIFETIME_S = 0.5
"""Lifetime of a permit, in seconds. Most hosts have a request to send within
it, and in any second hardly more than the permits of 1.5 s can be used."""


@attrs.define
class _Cold:
    """An upstream that is cold, or may be.

    Attributes:
        service: Service of the upstream. The host may not know the service
            yet, since it may read upstreams before routes at its start.
        until_s: Time at which the upstream counts as warm.
        permit_s: Time from which this host's current or next permit is valid;
            None until it is first needed.
    """

    service: str
    until_s: float
    permit_s: float | None = None


class ColdStarts:
    """Cold upstreams known to one host, and its permits for them."""

    def __init__(
        self,
        rng: random.Random,
        size: HostCount,
        cold_start: Callable[[str], ColdStart | None],
    ) -> None:
        """Creates an instance that assumes all upstreams to be warm.

        Args:
            rng: Source of the random phase of this host's permits.
            size: Number of hosts that share the upstreams. While it is
                unknown, the host sends nothing to cold upstreams.
            cold_start: Returns the rate that a service's upstreams can handle
                while cold, and for how long; None for a service whose
                upstreams are never cold.
        """
        self._rng = rng
        self._size = size
        self._cold_start = cold_start
        self._cold: dict[str, _Cold] = {}

    @property
    def size(self) -> HostCount:
        """Number of hosts that share the upstreams."""
        return self._size

    def note(self, entry: UpstreamEntry, now_s: float) -> None:
        """Records the cold time that an upstream states in a new entry."""
        if entry.cold_s > 0:
            self._begin(entry, now_s, entry.cold_s)

    def suspect(self, entry: UpstreamEntry, now_s: float) -> None:
        """Treats an upstream as cold whose entry may not say so yet."""
        cold_start = self._cold_start(entry.service)
        if cold_start is not None:
            self._begin(entry, now_s, cold_start.lasts_s)

    def forget(self, incarnation: str) -> None:
        """Drops the state of an upstream that has left for good."""
        self._cold.pop(incarnation, None)

    def blocked(
        self, entries: Sequence[UpstreamEntry], now_s: float
    ) -> frozenset[str]:
        """Returns the incarnations that must not get a request now."""
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
        """Returns the cold upstreams for which this host has a permit now.

        The caller adds them to the candidates of a request. If they had to be
        among candidates chosen at random, most permits would lapse unused and
        the upstream would get no requests while it warms up.
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

    def acquire(self, incarnation: str, now_s: float) -> bool:
        """Returns whether a request may be sent now, using up a permit."""
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
        """Returns the interval between two permits of this host, in seconds."""
        cold_start = self._cold_start(cold.service)
        if cold_start is None:
            return 0.0
        return self._size.hosts / (cold_start.rate * RATE_FRACTION)

    def _permit_s(self, cold: _Cold, now_s: float) -> float:
        """Returns from when the first permit that has not lapsed is valid."""
        interval_s = self._interval_s(cold)
        if cold.permit_s is None:
            cold.permit_s = now_s + self._rng.uniform(0, interval_s)
        lapsed_s = now_s - cold.permit_s - PERMIT_LIFETIME_S
        # With an interval shorter than the lifetime, one permit always remains.
        if lapsed_s > 0 and interval_s > PERMIT_LIFETIME_S:
            cold.permit_s += math.ceil(lapsed_s / interval_s) * interval_s
        return cold.permit_s
