"""Frames: a length of four bytes, big endian, then that many bytes."""

import struct

from hollyknot_protocol._errors import FrameError

_LENGTH = struct.Struct(">I")

HEADER_BYTES = _LENGTH.size
"""Bytes before each frame's body."""

MAX_FRAME_BYTES = 1_048_576
"""The largest body of a frame between two hosts that know each other."""

MAX_HANDSHAKE_FRAME_BYTES = 2_048
"""The largest body before that; a `Hello` with the longest names fits."""


def pack_frame(body: bytes) -> bytes:
    """Returns the frame of a body.

    Raises:
        FrameError: The body is empty or above `MAX_FRAME_BYTES`.
    """
    if not 0 < len(body) <= MAX_FRAME_BYTES:
        raise FrameError(
            f"a frame of {len(body)} bytes; 1 to {MAX_FRAME_BYTES} are"
            " allowed: split the message"
        )
    return _LENGTH.pack(len(body)) + body


class FrameParser:
    """Cuts a stream of bytes into the bodies of its frames.

    It holds at most one unfinished frame and the bytes fed last, since a
    length above the limit fails before its body is awaited.

    Attributes:
        limit: The largest body allowed from now on, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._buffer = bytearray()

    @property
    def buffered(self) -> int:
        """Bytes held that are no whole frame yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the bodies of the frames that `data` completes, in order.

        Raises:
            FrameError: A length is zero or above the limit. The stream cannot
                be read any further.
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
                f"a frame of {length} bytes; 1 to {self.limit} are allowed"
            )
        return int(length)
