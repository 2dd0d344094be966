"""Remembers which peers were told of streams before all peers were known."""

import attrs

from hollyknot_coordination.forwarding.streams._keepers import Keepers
from hollyknot_state import Address, StreamVersion


@attrs.frozen
class _Told:
    """A stream and the peers that were told of it.

    Attributes:
        stream: The stream.
        addresses: Addresses of these peers.
    """

    stream: StreamVersion
    addresses: set[Address]


class ToldStreams:
    """The streams that a host has told of since it started."""

    def __init__(self, keepers: Keepers) -> None:
        """Creates an instance without streams.

        Args:
            keepers: Chooses the peers to be told.
        """
        self._keepers = keepers
        self._told: list[_Told] = []

    def add(self, stream: StreamVersion) -> None:
        """Adds a stream that is told to the peers that keep it by now."""
        keepers = self._keepers.to_tell(stream.stream_id)
        self._told.append(_Told(stream, {k.address for k in keepers}))

    def pop_untold(self) -> dict[Address, list[StreamVersion]]:
        """Returns streams for further peers, which then count as told."""
        untold: dict[Address, list[StreamVersion]] = {}
        for told in self._told:
            keepers = self._keepers.to_tell(told.stream.stream_id)
            for address in {k.address for k in keepers} - told.addresses:
                untold.setdefault(address, []).append(told.stream)
                told.addresses.add(address)
        return untold

    def clear(self) -> None:
        """Forgets all streams, as all peers are known."""
        self._told.clear()
