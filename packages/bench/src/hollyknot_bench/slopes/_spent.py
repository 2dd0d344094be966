"""Counts the messages, bytes and work of a virtual network's hosts."""

from collections import Counter

import attrs

from hollyknot_bench.slopes._wire import wire_bytes


@attrs.define
class Spent:
    """Totals over all hosts.

    Attributes:
        messages: Messages sent, by kind.
        frame_bytes: Bytes of the messages' frames, by kind.
        wire_bytes: Bytes with headers and acknowledgements, by kind.
        cpu_s: Processor seconds of decisions, encoding and decoding.
        reads: Reads of documents of the platform.
        bodies: Reads that returned a document's body.
        dials: Links opened.
        pings: Pings and pongs sent on links.
    """

    messages: Counter[str] = attrs.Factory(Counter)
    frame_bytes: Counter[str] = attrs.Factory(Counter)
    wire_bytes: Counter[str] = attrs.Factory(Counter)
    cpu_s: float = 0.0
    reads: int = 0
    bodies: int = 0
    dials: int = 0
    pings: int = 0

    def add(self, kind: str, frame_size: int) -> None:
        """Counts a message of a kind whose frame has this many bytes."""
        self.messages[kind] += 1
        self.frame_bytes[kind] += frame_size
        self.wire_bytes[kind] += wire_bytes(frame_size)

    def total_messages(self, *kinds: str) -> int:
        """Returns the messages of these kinds, or of all if none is given."""
        return sum(
            n for k, n in self.messages.items() if not kinds or k in kinds
        )

    def total_wire(self, *kinds: str) -> int:
        """Returns the wire bytes of these kinds, or of all if none is given."""
        return sum(
            n for k, n in self.wire_bytes.items() if not kinds or k in kinds
        )
