"""The messages of a link itself; `idl/peer.thrift` has the same fields."""

import enum

import attrs

LINK_VERSION = 1
"""The version of handshake and envelope that this host speaks."""

NONCE_BYTES = 32
"""Bytes of randomness that each side adds to a handshake."""

MAC_BYTES = 32
"""Bytes of an HMAC-SHA256."""

MAX_NAME_CHARS = 255
"""Characters of a host's or a data centre's name, at most."""


def _check_name(_: object, field: "attrs.Attribute[str]", value: str) -> None:
    if not 0 < len(value) <= MAX_NAME_CHARS:
        raise ValueError(
            f"{field.name}: has {len(value)} characters;"
            f" give it 1 to {MAX_NAME_CHARS}"
        )


@attrs.frozen
class Hello:
    """The first frame of each side.

    Attributes:
        version: The highest link version that the side speaks.
        host: The side's name in the host list.
        data_centre: Where it runs.
        nonce: `NONCE_BYTES` random bytes, new for each handshake.
    """

    version: int
    host: str = attrs.field(validator=_check_name)
    data_centre: str = attrs.field(validator=_check_name)
    nonce: bytes = attrs.field()

    @nonce.validator
    def _check_nonce(self, _: "attrs.Attribute[bytes]", value: bytes) -> None:
        if len(value) != NONCE_BYTES:
            raise ValueError(f"nonce: has {len(value)} bytes, not 32")


@attrs.frozen
class Proof:
    """The second frame of each side: that it knows a shared key.

    Attributes:
        mac: See `hollyknot_protocol.make_mac`.
    """

    mac: bytes


@attrs.frozen
class Envelope:
    """Every frame after the handshake.

    Attributes:
        call_id: The sender's number for a call that waits for a reply; 0 for
            a one-way message and for a reply.
        reply_to: The `call_id` that this message answers; 0 for none.
        traceparent: The W3C trace context of the sender; empty for none.
        kind: The number of the body's message kind.
        body: The encoded message.
    """

    call_id: int = 0
    reply_to: int = 0
    traceparent: str = ""
    kind: int = 0
    body: bytes = b""


@attrs.frozen
class Ping:
    """Asks the other side for a `Pong`."""


@attrs.frozen
class Pong:
    """The answer to a `Ping`."""


class CallRefusalReason(enum.Enum):
    """Why a call was not served."""

    UNKNOWN_KIND = "unknown-kind"
    """This host's version does not know the message."""

    NOT_SERVED = "not-served"
    """This side of the link serves no calls."""

    OVERLOADED = "overloaded"
    """Too many calls of this link are running."""

    FAILED = "failed"
    """The handler raised; what it did before that stays done."""


@attrs.frozen
class CallRefusal:
    """The answer to a call that was not served, or not to its end.

    Attributes:
        reason: Why.
    """

    reason: CallRefusalReason
