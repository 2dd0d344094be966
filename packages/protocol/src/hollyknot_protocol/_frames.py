"""Splits a byte stream into frames.

A frame is a length of four bytes, big endian, and a body of that many bytes.
"""

import struct

from hollyknot_protocol._errors import FrameError

_LENGTH = struct.Struct(">I")

HEADER_BYTES = _LENGTH.size
"""Length of the header before the body of each frame, in bytes."""

MAX_FRAME_BYTES = 1_048_576
"""Largest body of a frame between two authenticated hosts, in bytes."""

MAX_HANDSHAKE_FRAME_BYTES = 2_048
"""Largest body of a frame of the handshake, in bytes.

A `Hello` with names of the maximum length fits.
"""


def pack_frame(body: bytes) -> bytes:
    """Returns the frame that carries a body.

    Raises:
        FrameError: The body is empty or longer than `MAX_FRAME_BYTES`.
    """
    if not 0 < len(body) <= MAX_FRAME_BYTES:
        raise FrameError(
            f"cannot send a frame of {len(body)} bytes; send 1 to"
            f" {MAX_FRAME_BYTES} bytes or split the message"
        )
    return _LENGTH.pack(len(body)) + body


class FrameParser:
    """Splits a stream of bytes into the bodies of its frames.

    The parser buffers at most one incomplete frame and the bytes of the last
    `feed`: a length above the limit fails before the body arrives.

    Attributes:
        limit: Largest body allowed from now on, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._buffer = bytearray()

    @property
    def buffered(self) -> int:
        """Number of buffered bytes that do not form a complete frame yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the bodies of the frames that `data` completes, in order.

        Raises:
            FrameError: A length is zero or above the limit; the rest of the
                stream cannot be read.
        """
        self._buffer += data
        bodies = []
        start = 0
        while len(self._buffer) - start >= HEADER_BYTES:
            body_start = start + HEADER_BYTES
            end = body_start + self._length_at(start)
            if end > len(self._buffer):
                break
            bodies.append(bytes(self._buffer[body_start:end]))
            start = end
        del self._buffer[:start]
        return bodies

    def _length_at(self, start: int) -> int:
        (length,) = _LENGTH.unpack_from(self._buffer, start)
        if not 0 < length <= self.limit:
            raise FrameError(
                f"received a frame of {length} bytes; 1 to {self.limit} bytes"
                " are allowed"
            )
        return int(length)
