"""Chooses the peers through which a host relays requests.

A host that reaches no upstream of a service may have peers that do. One hop is
enough for most outages of a network path (Andersen et al., Resilient Overlay
Networks, SOSP 2001), so a relayed request is never relayed again.

Which peers can help is known from their reports, which may be seconds old, and
from the peers' own answers, which are newer.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence

import attrs

from hollyknot_coordination.forwarding.peers._trackers import Tracker

FIRST_AVOID_S = 0.5
MAX_AVOID_S = 4.0
"""Shortest and longest time, in seconds, for which a peer that could not be
reached is avoided; it doubles after each failure."""

_MEMORY_S = 10.0
"""Seconds after which a failed connection no longer lengthens the next time for
which the peer is avoided."""

UNSERVED_S = 3.0
"""Seconds for which a peer gets no requests for a service of which it said that
it reaches no upstream either."""

MAX_IN_FLIGHT = 128
"""Most requests that one host has in flight at one peer. It bounds the memory
that a cut-off host can take there."""


@attrs.define
class _Failures:
    """Failed connections to one peer.

    Attributes:
        until_s: Time until which it is avoided, in seconds.
        avoid_s: Seconds for which it is avoided after the next failure.
    """

    until_s: float
    avoid_s: float


class Relays:
    """The peers that may take one host's requests."""

    def __init__(
        self, peers: Callable[[str], Sequence[Tracker]], rng: random.Random
    ) -> None:
        """Creates an instance that has relayed nothing yet.

        Args:
            peers: Returns the peers that reach upstreams of a service, as far
                as their reports tell.
            rng: Draws the peers that are compared.
        """
        self._peers = peers
        self._rng = rng
        self._in_flight: Counter[int] = Counter()
        self._failures: dict[int, _Failures] = {}
        self._unserved_until_s: dict[tuple[int, str], float] = {}

    def choose(
        self,
        service: str,
        now_s: float,
        among: frozenset[int] | None = None,
    ) -> Tracker | None:
        """Returns a peer for a request, or None if none is known to help.

        Of two random peers the one with fewer requests of this host is chosen,
        so that neither all hosts nor all requests use the same peer.

        Args:
            service: Name of the request's service.
            now_s: Current time, in seconds.
            among: Incarnations of the peers that may be chosen; None for all.
        """
        usable = [
            peer
            for peer in self._peers(service)
            if self._is_usable(peer.incarnation, service, now_s)
            and (among is None or peer.incarnation in among)
        ]
        drawn = self._rng.sample(usable, min(2, len(usable)))
        return min(
            drawn,
            key=lambda peer: self._in_flight[peer.incarnation],
            default=None,
        )

    def has_any(self, service: str, now_s: float) -> bool:
        """Whether a peer is known that can help with a service.

        Args:
            service: Name of the service.
            now_s: Current time, in seconds.
        """
        return any(
            self._is_usable(peer.incarnation, service, now_s)
            for peer in self._peers(service)
        )

    def begin(self, peer: Tracker) -> None:
        """Counts a request that is sent to a peer."""
        self._in_flight[peer.incarnation] += 1

    def end(self, peer: Tracker) -> None:
        """Counts the end of a request at a peer."""
        self._in_flight[peer.incarnation] -= 1
        if not self._in_flight[peer.incarnation]:
            del self._in_flight[peer.incarnation]

    def failed(self, peer: Tracker, now_s: float) -> None:
        """Records that a peer could not be reached."""
        known = self._failures.get(peer.incarnation)
        avoid_s = FIRST_AVOID_S if known is None else known.avoid_s
        self._failures = {
            incarnation: failures
            for incarnation, failures in self._failures.items()
            if now_s < failures.until_s + _MEMORY_S
        }
        self._failures[peer.incarnation] = _Failures(
            now_s + avoid_s, min(2 * avoid_s, MAX_AVOID_S)
        )

    def answered(self, peer: Tracker) -> None:
        """Records that a peer was reached."""
        self._failures.pop(peer.incarnation, None)

    def unserved(self, peer: Tracker, service: str, now_s: float) -> None:
        """Records that a peer reaches no upstream of a service either."""
        self._unserved_until_s = {
            key: until_s
            for key, until_s in self._unserved_until_s.items()
            if now_s < until_s
        }
        key = (peer.incarnation, service)
        self._unserved_until_s[key] = now_s + UNSERVED_S

    def _is_usable(self, peer: int, service: str, now_s: float) -> bool:
        failures = self._failures.get(peer)
        if failures is not None and now_s < failures.until_s:
            return False
        if now_s < self._unserved_until_s.get((peer, service), now_s):
            return False
        return self._in_flight[peer] < MAX_IN_FLIGHT
