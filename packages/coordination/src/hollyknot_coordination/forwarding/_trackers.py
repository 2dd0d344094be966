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

from hollyknot_state import Address
from hollyknot_state.routes import UpstreamEntry

MISSES = 2
"""Queries in a row without an answer after which the next host in the order is
asked: some in a hundred datagrams are lost."""

SILENT_S = 4.0
"""For how long then. Its peers forget a lost host some seconds later."""

_TRIED = 3
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
        self._known: Sequence[Tracker] = ()
        self._orders: dict[str, tuple[Tracker, ...]] = {}
        self._silences: dict[int, _Silence] = {}

    def of(self, entry: UpstreamEntry, now_s: float) -> Tracker | None:
        """Returns who tracks an upstream; None where that is this host."""
        order = self._order(entry)
        for tracker in order:
            silence = self._silences.get(tracker.incarnation)
            if silence is None or now_s >= silence.until_s:
                break
        else:
            tracker = order[0]
        return None if tracker is self._own else tracker

    def answered(self, tracker: Tracker) -> None:
        """Notes an answer."""
        self._silences.pop(tracker.incarnation, None)

    def missed(self, tracker: Tracker, now_s: float) -> bool:
        """Notes a query without an answer.

        Returns:
            Whether the tracker is passed over from now on, for a while.
        """
        silence = self._silences.setdefault(tracker.incarnation, _Silence())
        silence.missed += 1
        if silence.missed < MISSES:
            return False
        silence.until_s = now_s + SILENT_S
        # One more miss suffices then: it may have come back, or not.
        silence.missed = MISSES - 1
        return True

    def _order(self, entry: UpstreamEntry) -> tuple[Tracker, ...]:
        peers = self._peers()
        if peers is not self._known:
            self._known = peers
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
        hosts = (self._own, *self._known)
        near = [h for h in hosts if h.data_centre == entry.data_centre]
        ranked = sorted(
            near or hosts,
            key=lambda host: _weight(entry.incarnation, host.incarnation),
            reverse=True,
        )
        return tuple(ranked[:_TRIED])


def _weight(upstream: str, host: int) -> bytes:
    text = f"{upstream}|{host}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
