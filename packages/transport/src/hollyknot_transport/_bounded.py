"""Reads a whole body up to a maximum size."""

import enum

from aiohttp import StreamReader


class TooLarge(enum.Enum):
    """The sentinel that stands for a body above the maximum size."""

    TOO_LARGE = "too-large"


async def read_bounded(
    stream: StreamReader, max_bytes: int
) -> bytes | TooLarge:
    """Reads a stream to its end.

    A chunked body states no length. Without a maximum, one sender could use up
    the memory of a host until the operating system kills the process.

    Args:
        stream: The body.
        max_bytes: Maximum size of the body in bytes.

    Returns:
        The bytes, or the sentinel as soon as the maximum is exceeded.
    """
    parts: list[bytes] = []
    size = 0
    async for part in stream.iter_any():
        size += len(part)
        if size > max_bytes:
            return TooLarge.TOO_LARGE
        parts.append(part)
    return b"".join(parts)
