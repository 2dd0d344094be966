"""Chooses the peers that are told and asked which version began a stream.

The host that began a stream may be gone when its caller comes back through
another one. So a few peers keep the version as well, which every host finds by
rendezvous hashing.
"""

from collections.abc import Callable, Sequence

from hollyknot_coordination.forwarding.peers._rendezvous import Rendezvous
from hollyknot_coordination.forwarding.peers._trackers import Tracker

TOLD = 2
"""Peers that are told the version of a stream: one may be gone as well."""

ASKED = 3
"""Peers that are asked for the version of a stream: one more than are told, as
the host that told them has left itself out."""

PARTS_TOLD = 3
PARTS_ASKED = 6
"""Peers that are told and asked of a cached part. Hosts that have just started
have met some of their peers only, and not the same ones."""

MAX_ASKED = 8
"""Most peers that are asked. Fewer peers than that are all asked, and know the
streams that began before there was a second version."""


class Keepers:
    """The peers of one host that keep versions."""

    def __init__(
        self,
        peers: Callable[[], Sequence[Tracker]],
        told: int = TOLD,
        asked: int = ASKED,
    ) -> None:
        """Creates an instance.

        Args:
            peers: Returns the peers that this host knows. It must return the
                same object until they change: their numbers are cached.
            told: Number of peers to be told a version.
            asked: Number of peers to be asked for one, if there are many.
        """
        self._told = told
        self._asked = asked
        self._peers = peers
        self._ranking = Rendezvous(peers)

    def to_tell(self, stream: int) -> list[Tracker]:
        """Returns the peers to be told the version of a stream."""
        return self._ranking.first(stream, self._told)

    def to_ask(self, stream: int) -> list[Tracker]:
        """Returns the peers to be asked for the version of a stream."""
        peers = self._peers()
        if len(peers) <= MAX_ASKED:
            return list(peers)
        return self._ranking.first(stream, self._asked)
