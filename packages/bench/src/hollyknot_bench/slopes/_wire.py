"""Bytes of a message on the wire."""

from typing import Any

from hollyknot_protocol import Envelope, decode, encode, kind_of, pack_frame

SEGMENT_HEADER_BYTES = 52
"""IP (20) and TCP with time stamps (32). An allowance, not measured."""

SEGMENT_BYTES = 1_448
"""Payload of a TCP segment on Ethernet."""


def frame_of(message: Any) -> bytes:
    """Returns a one-way message's frame, as a link sends it."""
    kind = kind_of(message)
    return pack_frame(encode(Envelope(0, 0, "", kind.number, encode(message))))


def read_back(message: Any) -> Any:
    """Returns the message as the receiver decodes it."""
    return decode(kind_of(message).number, encode(message))


def wire_bytes(frame_bytes: int) -> int:
    """Returns a frame's bytes with headers and its acknowledgement.

    Hosts answer on a link of their own, so that TCP's acknowledgement finds
    no data to go with: it is a segment by itself, counted here for the sender.
    """
    segments = -(-frame_bytes // SEGMENT_BYTES)
    return frame_bytes + (segments + 1) * SEGMENT_HEADER_BYTES


def wire_bytes_of(message: Any) -> int:
    """Returns a message's bytes with headers and its acknowledgement."""
    return wire_bytes(len(frame_of(message)))
