"""Chooses the host that tracks the load of each upstream (its tracker).

Every host computes the same tracker from the peers that it knows, by rendezvous
hashing. No election is needed, and the loss of a host moves only the upstreams
that it tracked, each to the next host in the upstream's ranking. Hosts of the
upstream's data centre are preferred, so that during a network partition a host
that can't reach the tracker can't reach the upstream either.
"""

import hashlib
from collections.abc import Callable, Sequence

import attrs

from hollyknot_state import Address, short_name
from hollyknot_state.routes import UpstreamEntry

MAX_MISSES = 2
"""Consecutive unanswered queries after which the next host in the ranking is
asked. More than one, as a few per cent of datagrams are lost."""

SKIP_SILENT_S = 4.0
"""How long a tracker that reached `MAX_MISSES` is skipped, in seconds. Within a
few seconds more its peers have removed a lost host from their lists."""

_CANDIDATES = 3
"""Number of hosts at the head of a ranking that may be chosen as tracker."""


@attrs.frozen
class Tracker:
    """A host that may track upstreams.

    Attributes:
        incarnation: Incarnation of the host's process. A restarted host has
            lost all loads, and gets a new one.
        address: Address at which the host receives messages.
        data_centre: Data centre in which the host runs.
    """

    incarnation: int
    address: Address
    data_centre: str


@attrs.define
class _Silence:
    """Unanswered queries to one tracker.

    Attributes:
        missed: Consecutive queries without an answer.
        until_s: Time until which the tracker is skipped.
    """

    missed: int = 0
    until_s: float = float("-inf")


class Trackers:
    """Finds the tracker of each upstream, and skips those that don't answer."""

    def __init__(
        self, own: Tracker, peers: Callable[[], Sequence[Tracker]]
    ) -> None:
        """Creates trackers of which none has been queried yet.

        Args:
            own: This host.
            peers: Returns the peers that this host knows. It must return the
                same object until they change: rankings are cached by identity.
        """
        self._own = own
        self._peers = peers
        self._last_peers: Sequence[Tracker] = ()
        self._orders: dict[str, tuple[Tracker, ...]] = {}
        self._silences: dict[int, _Silence] = {}

    @property
    def own(self) -> Tracker:
        """This host, as a tracker."""
        return self._own

    def of(self, entry: UpstreamEntry, now_s: float) -> Tracker | None:
        """Returns the tracker of an upstream; None if it is this host."""
        order = self._order(entry)
        for tracker in order:
            if not self.is_silent(tracker.incarnation, now_s):
                break
        else:
            tracker = order[0]
        return None if tracker is self._own else tracker

    def answered(self, tracker: Tracker) -> None:
        """Records an answer of a tracker, which resets its misses."""
        self._silences.pop(tracker.incarnation, None)

    def missed(self, tracker: Tracker, now_s: float, misses: int = 1) -> bool:
        """Records a query without an answer.

        Args:
            tracker: The tracker that did not answer.
            now_s: The time.
            misses: Number of misses that this one counts for.

        Returns:
            Whether the tracker is skipped from now on, for `SKIP_SILENT_S`.
        """
        silence = self._silences.setdefault(tracker.incarnation, _Silence())
        silence.missed += misses
        if silence.missed < MAX_MISSES:
            return False
        silence.until_s = now_s + SKIP_SILENT_S
        # When it is asked again, a single miss is enough to skip it again.
        silence.missed = MAX_MISSES - 1
        return True

    def is_silent(self, host: int, now_s: float) -> bool:
        """Returns whether the host with this incarnation is skipped."""
        silence = self._silences.get(host)
        return silence is not None and now_s < silence.until_s

    def _order(self, entry: UpstreamEntry) -> tuple[Tracker, ...]:
        peers = self._peers()
        if peers is not self._last_peers:
            self._last_peers = peers
            self._orders.clear()
            alive = {peer.incarnation for peer in peers}
            for incarnation in self._silences.keys() - alive:
                del self._silences[incarnation]
        order = self._orders.get(entry.incarnation)
        if order is None:
            order = self._make_order(entry)
            self._orders[entry.incarnation] = order
        return order

    def _make_order(self, entry: UpstreamEntry) -> tuple[Tracker, ...]:
        hosts = (self._own, *self._last_peers)
        near = [h for h in hosts if h.data_centre == entry.data_centre]
        name = short_name(entry.incarnation)
        ranked = sorted(
            near or hosts,
            key=lambda host: rank(name, host.incarnation),
            reverse=True,
        )
        return tuple(ranked[:_CANDIDATES])


def rank(upstream: int, host: int) -> bytes:
    """Returns the rendezvous hash of an upstream and a host.

    The host with the greatest hash is first in the upstream's ranking.

    Args:
        upstream: The upstream's short name.
        host: The host's incarnation.
    """
    text = f"{upstream}|{host}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
