"""Reads a body whole, within a bound on its size."""

import enum

from aiohttp import StreamReader


class TooLarge(enum.Enum):
    """A sentinel: the body is larger than its bound."""

    TOO_LARGE = "too-large"


async def read_bounded(
    stream: StreamReader, max_bytes: int
) -> bytes | TooLarge:
    """Reads a stream to its end.

    A body sent in chunks states no length. Without a bound, one sender could
    take all of a host's memory; the host would be seen to be killed.

    Args:
        stream: The body.
        max_bytes: The most that is read.

    Returns:
        The bytes, or the sentinel as soon as the bound is passed.
    """
    parts: list[bytes] = []
    size = 0
    async for part in stream.iter_any():
        size += len(part)
        if size > max_bytes:
            return TooLarge.TOO_LARGE
        parts.append(part)
    return b"".join(parts)
