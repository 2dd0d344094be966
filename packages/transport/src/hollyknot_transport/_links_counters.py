"""Counts the messages and bytes of links by kind of message."""

import attrs


@attrs.frozen
class KindTraffic:
    """The traffic of one kind of message.

    Bytes are those of whole frames, without the overhead of TLS and TCP.

    Attributes:
        kind: Name of the kind of message.
        sent_messages: Number of messages handed to the kernel.
        sent_bytes: Number of bytes of the sent messages.
        received_messages: Number of messages read.
        received_bytes: Number of bytes of the received messages.
    """

    kind: str
    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


@attrs.define
class _Count:
    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


class LinkCounters:
    """Monotonic counters of all links of a server or a pool.

    Attributes:
        dropped: Number of one-way messages and replies that were not sent
            because a queue was full or the peer could not be reached.
        accepted: Number of accepted links whose handshake succeeded.
        dialled: Number of dialled links whose handshake succeeded.
        rejected: Number of accepted connections that were closed before the
            handshake succeeded.
        stalled: Number of links closed because nothing was received, not even
            after a ping.
    """

    def __init__(self) -> None:
        self.dropped = 0
        self.accepted = 0
        self.dialled = 0
        self.rejected = 0
        self.stalled = 0
        self._kinds: dict[str, _Count] = {}

    def count_sent(self, kind: str, size: int) -> None:
        """Counts one sent message and the bytes of its frame."""
        count = self._count_of(kind)
        count.sent_messages += 1
        count.sent_bytes += size

    def count_received(self, kind: str, size: int) -> None:
        """Counts one received message and the bytes of its frame."""
        count = self._count_of(kind)
        count.received_messages += 1
        count.received_bytes += size

    def traffic(self) -> tuple[KindTraffic, ...]:
        """Returns the traffic of each kind, ordered by name."""
        return tuple(
            KindTraffic(kind, *attrs.astuple(count))
            for kind, count in sorted(self._kinds.items())
        )

    def _count_of(self, kind: str) -> _Count:
        count = self._kinds.get(kind)
        if count is None:
            count = self._kinds[kind] = _Count()
        return count
