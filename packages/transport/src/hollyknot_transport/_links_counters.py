"""Bytes and messages of links, counted for each kind of message."""

import attrs


@attrs.frozen
class KindTraffic:
    """What was sent and received of one kind.

    Bytes are those of whole frames, without TLS and TCP.

    Attributes:
        kind: The message's name.
        sent_messages: Messages handed to the kernel.
        sent_bytes: Their bytes.
        received_messages: Messages read.
        received_bytes: Their bytes.
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
    """Counts the traffic of all links that share it; it only rises.

    Attributes:
        dropped: One-way messages and replies that were not sent, since a queue
            was full or the peer could not be reached.
        accepted: Links accepted whose handshake succeeded.
        dialled: Links dialled whose handshake succeeded.
        rejected: Accepted connections that were closed before that.
        stalled: Links closed since they were silent.
    """

    def __init__(self) -> None:
        self.dropped = 0
        self.accepted = 0
        self.dialled = 0
        self.rejected = 0
        self.stalled = 0
        self._kinds: dict[str, _Count] = {}

    def count_sent(self, kind: str, size: int) -> None:
        """Counts one message and the bytes of its frame."""
        count = self._count_of(kind)
        count.sent_messages += 1
        count.sent_bytes += size

    def count_received(self, kind: str, size: int) -> None:
        """Counts one message and the bytes of its frame."""
        count = self._count_of(kind)
        count.received_messages += 1
        count.received_bytes += size

    def traffic(self) -> tuple[KindTraffic, ...]:
        """Returns the counts so far, ordered by the kind's name."""
        return tuple(
            KindTraffic(kind, *attrs.astuple(count))
            for kind, count in sorted(self._kinds.items())
        )

    def _count_of(self, kind: str) -> _Count:
        count = self._kinds.get(kind)
        if count is None:
            count = self._kinds[kind] = _Count()
        return count
