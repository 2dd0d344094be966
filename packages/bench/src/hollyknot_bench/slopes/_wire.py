"""Computes the bytes that a message takes on the wire."""

from typing import Any

from hollyknot_protocol import Envelope, decode, encode, kind_of, pack_frame

SEGMENT_HEADER_BYTES = 52
"""Allowance per TCP segment: IP header (20), TCP with time stamps (32)."""

SEGMENT_BYTES = 1_448
"""Largest payload of a TCP segment on Ethernet."""


def frame_of(message: Any) -> bytes:
    """Returns the frame in which a link sends a message without a reply."""
    kind = kind_of(message)
    return pack_frame(encode(Envelope(0, 0, "", kind.number, encode(message))))


def read_back(message: Any) -> Any:
    """Encodes a message and returns it as the receiver decodes it."""
    return decode(kind_of(message).number, encode(message))


def wire_bytes(frame_bytes: int) -> int:
    """Returns a frame's bytes with its headers and its acknowledgement.

    Hosts answer on a link of their own, so that TCP has no data to send the
    acknowledgement with. It is a segment by itself, counted for the sender.
    """
    segments = -(-frame_bytes // SEGMENT_BYTES)
    return frame_bytes + (segments + 1) * SEGMENT_HEADER_BYTES


def wire_bytes_of(message: Any) -> int:
    """Returns a message's bytes with its headers and its acknowledgement."""
    return wire_bytes(len(frame_of(message)))
