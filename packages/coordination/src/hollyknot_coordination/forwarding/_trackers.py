"""Which host tracks the load of which upstream.

All hosts find the same one from the peers that they know, by rendezvous
hashing: nobody is appointed, and one that is lost moves only its own upstreams,
each to the next host in its order. The order begins with hosts of the
upstream's data centre, so that whoever is cut off from the tracker is cut off
from the upstream too.
"""

import hashlib
from collections.abc import Callable, Sequence

import attrs

from hollyknot_state import Address, short_name
from hollyknot_state.routes import UpstreamEntry

MAX_MISSES = 2
"""Queries in a row without an answer after which the next host in the order is
asked: some in a hundred datagrams are lost."""

SKIP_SILENT_S = 4.0
"""For how long then. Its peers forget a lost host some seconds later."""

_CANDIDATES = 3
"""Hosts of an order among which one is looked for."""


@attrs.frozen
class Tracker:
    """A host that may track upstreams.

    Attributes:
        incarnation: Of its process; a restarted host knows nothing.
        address: Where it takes messages.
        data_centre: Where it runs.
    """

    incarnation: int
    address: Address
    data_centre: str


@attrs.define
class _Silence:
    missed: int = 0
    until_s: float = float("-inf")


class Trackers:
    """Finds the tracker of each upstream."""

    def __init__(
        self, own: Tracker, peers: Callable[[], Sequence[Tracker]]
    ) -> None:
        """Asks no one yet.

        Args:
            own: This host.
            peers: The peers that are heard, the same object until they change.
        """
        self._own = own
        self._peers = peers
        self._last_peers: Sequence[Tracker] = ()
        self._orders: dict[str, tuple[Tracker, ...]] = {}
        self._silences: dict[int, _Silence] = {}

    @property
    def own(self) -> Tracker:
        """This host."""
        return self._own

    def of(self, entry: UpstreamEntry, now_s: float) -> Tracker | None:
        """Returns who tracks an upstream; None where that is this host."""
        order = self._order(entry)
        for tracker in order:
            if not self.is_silent(tracker.incarnation, now_s):
                break
        else:
            tracker = order[0]
        return None if tracker is self._own else tracker

    def answered(self, tracker: Tracker) -> None:
        """Notes an answer."""
        self._silences.pop(tracker.incarnation, None)

    def missed(self, tracker: Tracker, now_s: float, misses: int = 1) -> bool:
        """Notes a query without an answer.

        Args:
            tracker: Who did not answer.
            now_s: The time.
            misses: How much it counts.

        Returns:
            Whether the tracker is passed over from now on, for a while.
        """
        silence = self._silences.setdefault(tracker.incarnation, _Silence())
        silence.missed += misses
        if silence.missed < MAX_MISSES:
            return False
        silence.until_s = now_s + SKIP_SILENT_S
        # One more miss suffices then: it may have come back, or not.
        silence.missed = MAX_MISSES - 1
        return True

    def is_silent(self, host: int, now_s: float) -> bool:
        """Whether a host is passed over, by its incarnation."""
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
    """Returns what orders hosts for an upstream; the greatest is first.

    Args:
        upstream: The upstream's short name.
        host: The incarnation of a host.
    """
    text = f"{upstream}|{host}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
