"""Dials one host, and says when to try again after a failure."""

import asyncio
import random

from hollyknot_protocol import FrameError, MalformedMessageError
from hollyknot_state import Address
from hollyknot_transport._links import (
    LinkCredentials,
    LinkError,
    LinkErrorReason,
    LinkLimits,
)
from hollyknot_transport._links_handshake import (
    NotProvedError,
    shake_as_dialler,
)
from hollyknot_transport._links_link import Link, LinkParts
from hollyknot_transport._links_stream import (
    FrameStream,
    StreamEndedError,
    StreamOptions,
    dial_stream,
)

_BACKOFF_FACTOR = 2.0
_MAX_DOUBLINGS = 16


def backoff_s(limits: LinkLimits, failures: int, rng: random.Random) -> float:
    """Returns the seconds from a failed dial to the next.

    Args:
        limits: Bounds of the pause.
        failures: How many dials had failed before that one.
        rng: Hosts that lost a peer at the same moment would dial it together
            again and again; half of each pause is random to spread them.
    """
    doublings = min(failures, _MAX_DOUBLINGS)
    pause_s = limits.backoff_first_s * _BACKOFF_FACTOR**doublings
    return min(pause_s, limits.backoff_max_s) * (0.5 + 0.5 * rng.random())


async def open_link(
    address: Address, credentials: LinkCredentials, parts: LinkParts
) -> Link | LinkError:
    """Returns a link that the host at the address has accepted.

    The link carries nothing until its `run` is started.
    """
    limits = parts.limits
    options = StreamOptions(
        credentials.dial_tls,
        limits.handshake_s,
        limits.max_handshake_frame_bytes,
    )
    try:
        async with asyncio.timeout(limits.connect_s):
            stream = await dial_stream(address, options)
    except (OSError, TimeoutError) as error:
        return _dial_error(LinkErrorReason.REFUSED, error)
    return await _shake(stream, credentials, parts)


async def _shake(
    stream: FrameStream, credentials: LinkCredentials, parts: LinkParts
) -> Link | LinkError:
    try:
        async with asyncio.timeout(parts.limits.handshake_s):
            identity = await shake_as_dialler(
                stream, credentials, parts.counters
            )
    except (
        NotProvedError,
        StreamEndedError,
        FrameError,
        MalformedMessageError,
        TimeoutError,
    ) as error:
        stream.abort()
        return _dial_error(LinkErrorReason.REJECTED, error)
    except BaseException:
        stream.abort()
        raise
    stream.set_max_frame_bytes(parts.limits.max_frame_bytes)
    return Link(stream, identity, parts)


def _dial_error(reason: LinkErrorReason, error: Exception) -> LinkError:
    detail = str(error) or type(error).__name__
    return LinkError(reason, may_have_arrived=False, detail=detail)
