"""Chooses the hosts that read which parts of prompts an upstream holds.

Reading them delays the upstream's work, so that few hosts read each one, and
tell the others. All hosts choose the same ones by rendezvous hashing.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence

from hollyknot_coordination.forwarding.peers._rendezvous import Rendezvous
from hollyknot_coordination.forwarding.peers._trackers import Tracker
from hollyknot_state import short_name
from hollyknot_state.routes import UpstreamEntry


class CacheReaders:
    """The upstreams that one host reads.

    An upstream is read by hosts of its data centre, if there are any: only
    these reach it during a network partition.
    """

    def __init__(
        self,
        own: Tracker,
        peers: Callable[[], Sequence[Tracker]],
        is_reader: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates an instance.

        Args:
            own: This host.
            peers: Returns the peers that may read. It must return the same
                object until they change.
            is_reader: Returns whether this host may read.
        """
        self._own = own
        self._is_reader = is_reader
        self._peers = peers
        self._last_peers: Sequence[Tracker] = ()
        self._near: dict[str, Rendezvous] = {}
        self._all = Rendezvous(peers)

    def to_read(
        self, entries: Iterable[UpstreamEntry], copies: int
    ) -> Iterator[UpstreamEntry]:
        """Yields the upstreams that this host is to read.

        Args:
            entries: The upstreams.
            copies: Number of hosts that are to read each upstream.
        """
        if not self._is_reader():
            return
        for entry in entries:
            key = short_name(entry.incarnation)
            ranking = self._ranking(entry.data_centre)
            if ranking is None:
                continue
            if self._own in ranking.first(key, copies, self._own):
                yield entry

    def _ranking(self, data_centre: str) -> Rendezvous | None:
        """Returns the hosts that may read; None if this one may not."""
        peers = self._peers()
        if peers is not self._last_peers:
            self._last_peers = peers
            self._near = _by_data_centre(peers)
        if data_centre == self._own.data_centre:
            return self._near.get(data_centre, _NOBODY)
        return None if data_centre in self._near else self._all


def _by_data_centre(peers: Sequence[Tracker]) -> dict[str, Rendezvous]:
    near: dict[str, list[Tracker]] = {}
    for peer in peers:
        near.setdefault(peer.data_centre, []).append(peer)
    return {
        data_centre: Rendezvous(lambda hosts=tuple(hosts): hosts)  # type: ignore[misc]
        for data_centre, hosts in near.items()
    }


_NOBODY = Rendezvous(lambda: ())
