"""Keeps hosts from overrunning upstreams that fall over when they reject much.

Upstreams of a brittle service name in each answer how many requests one of them
can reject per second, from all hosts together. Each host sends an upstream as
many requests at a time as it owns slots there, so that nothing is rejected,
however late hosts learn of each other's work. A host that is rejected all the
same, as hosts may disagree on the owners for a moment, stays away from the
upstream for so long that all hosts together stay within what it can reject.
While upstreams are full of what hosts sent before they knew, a rejection puts
no owner in question, and the host soon returns.
"""

import random
from collections.abc import Collection, Iterable

from hollyknot_coordination.forwarding.peers._host_count import HostCount
from hollyknot_coordination.forwarding.permits._named_limits import NamedLimits
from hollyknot_coordination.forwarding.permits._slot_offers import SlotOffers
from hollyknot_coordination.forwarding.permits._slot_owners import SlotOwners
from hollyknot_coordination.forwarding.placement._loads import Loads
from hollyknot_state.routes import UpstreamEntry

USED_FRACTION = 0.5
"""Fraction of the rejections that an upstream can bear that hosts allow. The
rest is a margin for hosts that have just started."""

MIN_AWAY_S = 0.25
MAX_AWAY_S = 10.0
"""Shortest and longest time, in seconds, for which a host stays away from an
upstream after a rejection."""

SETTLING_S = 1.0
"""Seconds after a host has learnt that a service is brittle in which upstreams
may be full of earlier requests, and for which it stays away at most if rejected
then. Both are over before upstreams that have become brittle may fall over."""

_JITTER = 0.5
"""Fraction by which these times vary either way."""


class BrittleServices:
    """The services whose upstreams are brittle, as far as one host knows."""

    def __init__(
        self,
        named: NamedLimits,
        loads: Loads,
        size: HostCount,
        owners: SlotOwners,
        rng: random.Random,
    ) -> None:
        """Creates an instance that has seen no rejection.

        Args:
            named: Rejections per second that an upstream can bear, by service.
            loads: Work in flight at each upstream.
            size: Number of hosts that may send to an upstream.
            owners: The hosts that own the slots of each upstream.
            rng: Draws the jitter.
        """
        self._named = named
        self._loads = loads
        self._size = size
        self._owners = owners
        self._rng = rng
        self._offers = SlotOffers()
        # Times until which this host sends nothing to an incarnation.
        self._away_until_s: dict[str, float] = {}

    def blocked(
        self, entries: Collection[UpstreamEntry], now_s: float
    ) -> frozenset[str]:
        """Returns the incarnations that must not be sent a request now."""
        if not self._named.count:
            return frozenset()
        is_brittle = {
            service: self._named.rate(service) is not None
            for service in {entry.service for entry in entries}
        }
        return frozenset(
            entry.incarnation
            for entry in entries
            if is_brittle[entry.service] and not self._is_free(entry, now_s)
        )

    def has_slot(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Whether this host may send an upstream one more request."""
        return self.max_rejections(entry) is None or self._is_free(entry, now_s)

    def _is_free(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Whether a slot of this host at a brittle upstream is free."""
        if now_s < self._away_until_s.get(entry.incarnation, now_s):
            return False
        in_use = self._loads.own_requests(entry.incarnation)
        return in_use < self._owners.own_slots(entry, now_s)

    def other_owners(self, entries: Iterable[UpstreamEntry]) -> frozenset[int]:
        """Returns the peers that own slots of brittle upstreams.

        Args:
            entries: The upstreams that a request may be sent to.

        Returns:
            The incarnations of the peers.
        """
        if not self._named.count:
            return frozenset()
        return self._owners.peers_with_slots(
            entry for entry in entries if self.max_rejections(entry) is not None
        )

    def spend_offer(self, service: str, now_s: float) -> bool:
        """Counts an offer to an owner; returns False if none may be made."""
        return self._offers.spend(service, now_s)

    def on_offer_accepted(self, service: str, now_s: float) -> None:
        """Records that a peer had a free slot for an offered request."""
        self._offers.on_accepted(service, now_s)

    def on_rejected(
        self, entry: UpstreamEntry, sent_s: float, now_s: float
    ) -> None:
        """Records that an upstream has rejected a request for want of room.

        Args:
            entry: The upstream.
            sent_s: Time at which the request was sent.
            now_s: The time.
        """
        max_rejections = self.max_rejections(entry)
        known_since_s = self._named.known_since_s(entry.service)
        if max_rejections is None or known_since_s is None:
            return
        rate = max_rejections * USED_FRACTION
        hosts = max(1, self._size.hosts)
        away_s = hosts / rate if rate > 0 else MAX_AWAY_S
        is_settling = sent_s < known_since_s + SETTLING_S
        max_away_s = SETTLING_S if is_settling else MAX_AWAY_S
        self._stay_away(entry, min(max(away_s, MIN_AWAY_S), max_away_s), now_s)

    def max_rejections(self, entry: UpstreamEntry) -> float | None:
        """Returns how many rejections per second an upstream can bear.

        Returns:
            None if this host doesn't know it to be brittle.
        """
        return self._named.rate(entry.service)

    def forget(self, incarnation: str) -> None:
        """Drops what is known of an upstream that has left for good."""
        self._away_until_s.pop(incarnation, None)
        self._owners.forget(incarnation)

    def _stay_away(
        self, entry: UpstreamEntry, away_s: float, now_s: float
    ) -> None:
        until_s = now_s + away_s * self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        before_s = self._away_until_s.get(entry.incarnation, until_s)
        self._away_until_s[entry.incarnation] = max(before_s, until_s)
