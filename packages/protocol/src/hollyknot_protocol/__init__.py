"""Encodes and frames the messages that hosts exchange, and proves their keys.

This module re-exports the public names of the private modules.
"""

from hollyknot_protocol._codec import (
    Unknown,
    UnknownReason,
    decode,
    decode_as,
    encode,
    kind_name,
    kind_of,
)
from hollyknot_protocol._errors import (
    FrameError,
    MalformedMessageError,
    UnencodableMessageError,
    UnknownValueError,
)
from hollyknot_protocol._frames import (
    HEADER_BYTES,
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_FRAME_BYTES,
    FrameParser,
    pack_frame,
)
from hollyknot_protocol._handshake import Side, is_valid_proof, make_mac
from hollyknot_protocol._kinds import Kind
from hollyknot_protocol._packed_uses import pack_uses, unpack_uses
from hollyknot_protocol._peer import (
    LINK_VERSION,
    NONCE_BYTES,
    CallRefusal,
    CallRefusalReason,
    Envelope,
    Hello,
    Ping,
    Pong,
    Proof,
)

__all__ = [
    "HEADER_BYTES",
    "LINK_VERSION",
    "MAX_FRAME_BYTES",
    "MAX_HANDSHAKE_FRAME_BYTES",
    "NONCE_BYTES",
    "CallRefusal",
    "CallRefusalReason",
    "Envelope",
    "FrameError",
    "FrameParser",
    "Hello",
    "Kind",
    "MalformedMessageError",
    "Ping",
    "Pong",
    "Proof",
    "Side",
    "UnencodableMessageError",
    "Unknown",
    "UnknownReason",
    "UnknownValueError",
    "decode",
    "decode_as",
    "encode",
    "is_valid_proof",
    "kind_name",
    "kind_of",
    "make_mac",
    "pack_frame",
    "pack_uses",
    "unpack_uses",
]
