"""What hosts of a virtual network spend."""

from collections import Counter

import attrs

from hollyknot_bench.slopes._wire import wire_bytes


@attrs.define
class Spent:
    """What all hosts spent; the link's part is in `links`.

    Attributes:
        messages: Sent, by kind.
        frame_bytes: Of their frames, by kind.
        wire_bytes: With headers and acknowledgements, by kind.
        cpu_s: In decisions, encoding and decoding.
        reads: Of the platform.
        bodies: Reads that brought a document.
        dials: Links opened.
        pings: Pings and pongs of links.
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
        """Counts a message."""
        self.messages[kind] += 1
        self.frame_bytes[kind] += frame_size
        self.wire_bytes[kind] += wire_bytes(frame_size)

    def total_messages(self, *kinds: str) -> int:
        """Returns the messages of some kinds; of all if none is named."""
        return sum(
            n for k, n in self.messages.items() if not kinds or k in kinds
        )

    def total_wire(self, *kinds: str) -> int:
        """Returns the wire bytes of some kinds; of all if none is named."""
        return sum(
            n for k, n in self.wire_bytes.items() if not kinds or k in kinds
        )
