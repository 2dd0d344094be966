"""Packs messages into frames of a link and reads the replies to calls."""

from typing import Any

from hollyknot_protocol import (
    CallRefusal,
    CallRefusalReason,
    Envelope,
    FrameError,
    UnencodableMessageError,
    Unknown,
    encode,
    kind_of,
    pack_frame,
)
from hollyknot_transport._links import LinkError, LinkErrorReason
from hollyknot_transport._links_outbox import Outgoing


def pack(
    message: Any, traceparent: str, *, call_id: int = 0, reply_to: int = 0
) -> Outgoing:
    """Returns the frame of a message.

    Raises:
        UnencodableMessageError: The message's class is not registered for
            links, a field does not fit its thrift type, or the message is too
            large.
    """
    kind = kind_of(message)
    if not kind.number:
        raise UnencodableMessageError(
            f"{kind.name} has kind number 0, which a link cannot carry; give"
            " it a number of its own in the registry of message kinds"
        )
    envelope = Envelope(
        call_id, reply_to, traceparent, kind.number, encode(message)
    )
    try:
        frame = pack_frame(encode(envelope))
    except FrameError as error:
        raise UnencodableMessageError(f"{kind.name}: {error}") from error
    return Outgoing(kind.name, frame)


def read_reply(message: Any) -> Any | LinkError:
    """Returns the result of a call, given the message that answered it."""
    if isinstance(message, Unknown):
        return LinkError(
            LinkErrorReason.REJECTED,
            may_have_arrived=True,
            detail=f"this host does not know the kind of the reply: {message}",
        )
    if isinstance(message, CallRefusal):
        return LinkError(
            LinkErrorReason.REJECTED,
            may_have_arrived=message.reason is CallRefusalReason.FAILED,
            detail=message.reason.value,
        )
    return message
