"""The registry of message kinds: number, attrs class, thrift struct.

To add a kind, add its struct to a file below `idl/`, run `make generate`, and
add one line to `KINDS`. Numbers are never used again, not even for a kind that
no host sends any more: an older host would take one message for another.

1 to 99 are the link's own, 100 to 199 claims, 200 to 299 gossip.
"""

from typing import Any

import attrs

from hollyknot_protocol import _peer
from hollyknot_protocol.gen.peer import ttypes as peer


@attrs.frozen
class Kind:
    """One kind of message.

    Attributes:
        number: What `Envelope.kind` holds; 0 for the messages that are known
            by their place in the link.
        message: The attrs class.
        struct: The generated thrift struct with the same fields.
    """

    number: int
    message: type[Any]
    struct: type[Any]

    @property
    def name(self) -> str:
        """The kind's name in logs and measures."""
        return self.message.__name__


PLAIN = (
    Kind(0, _peer.Hello, peer.Hello),
    Kind(0, _peer.Proof, peer.Proof),
    Kind(0, _peer.Envelope, peer.Envelope),
)
"""What travels without an envelope."""

KINDS = (
    Kind(1, _peer.Ping, peer.Ping),
    Kind(2, _peer.Pong, peer.Pong),
    Kind(3, _peer.CallRefusal, peer.CallRefusal),
)
"""What travels in an envelope."""
