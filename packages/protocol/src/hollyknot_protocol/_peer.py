"""Defines the handshake, envelope and control messages of a link.

`idl/peer.thrift` has structs with the same names and fields.
"""

import enum

import attrs

LINK_VERSION = 1
"""Version of handshake and envelope that this host supports."""

NONCE_BYTES = 32
"""Length of the random nonce in a `Hello`, in bytes."""

MAC_BYTES = 32
"""Length of an HMAC-SHA256, in bytes."""

MAX_NAME_CHARS = 255
"""Longest name of a host or a data centre, in characters."""


def _check_name(_: object, field: "attrs.Attribute[str]", value: str) -> None:
    if not 0 < len(value) <= MAX_NAME_CHARS:
        raise ValueError(
            f"{field.name} has {len(value)} characters;"
            f" use 1 to {MAX_NAME_CHARS}"
        )


@attrs.frozen
class Hello:
    """The first frame of each side.

    Attributes:
        version: Highest link version that the side supports.
        host: Name of the side's host in the host list.
        data_centre: Data centre in which the side's host runs.
        nonce: `NONCE_BYTES` random bytes, new for each handshake.
    """

    version: int
    host: str = attrs.field(validator=_check_name)
    data_centre: str = attrs.field(validator=_check_name)
    nonce: bytes = attrs.field()

    @nonce.validator
    def _check_nonce(self, _: "attrs.Attribute[bytes]", value: bytes) -> None:
        if len(value) != NONCE_BYTES:
            raise ValueError(
                f"nonce has {len(value)} bytes; it needs {NONCE_BYTES}"
            )


@attrs.frozen
class Proof:
    """The second frame of each side, which proves that it knows a shared key.

    Attributes:
        mac: Result of `hollyknot_protocol.make_mac`.
    """

    mac: bytes


@attrs.frozen
class Envelope:
    """The content of every frame after the handshake.

    Attributes:
        call_id: The sender's number for a call that waits for a reply; 0 for
            a one-way message and for a reply.
        reply_to: The `call_id` of the call that this message answers; 0 for
            none.
        traceparent: W3C trace context of the sender; empty for none.
        kind: Number of the body's message kind.
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
    """Answers a `Ping`."""


class CallRefusalReason(enum.Enum):
    """Reasons why a call was not served."""

    UNKNOWN_KIND = "unknown-kind"
    """The host's version does not define the message."""

    NOT_SERVED = "not-served"
    """The called side of the link serves no calls."""

    OVERLOADED = "overloaded"
    """Too many calls of the link are running."""

    FAILED = "failed"
    """The handler raised an exception; it may have had effects before."""


@attrs.frozen
class CallRefusal:
    """Answers a call that was not served, or whose handler failed.

    Attributes:
        reason: Why the call was not served.
    """

    reason: CallRefusalReason
