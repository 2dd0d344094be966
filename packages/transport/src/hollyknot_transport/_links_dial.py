"""Dials one host and computes the pause after a failed dial."""

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
    PeerAuthenticationError,
    handshake_as_dialler,
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
    """Returns the pause in seconds between a failed dial and the next.

    Half of each pause is random. Otherwise hosts that lost a peer at the same
    moment would dial it at the same moments again and again.

    Args:
        limits: Limits of links, with the first and the maximum pause.
        failures: Number of consecutive dials that failed before this one.
        rng: Source of the random half.
    """
    doublings = min(failures, _MAX_DOUBLINGS)
    pause_s = limits.backoff_first_s * _BACKOFF_FACTOR**doublings
    return min(pause_s, limits.backoff_max_s) * (0.5 + 0.5 * rng.random())


async def open_link(
    address: Address, credentials: LinkCredentials, parts: LinkParts
) -> Link | LinkError:
    """Dials a host, performs the handshake and returns the link or an error.

    The link sends and receives nothing until its `run` is started.
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
    return await _handshake(stream, credentials, parts)


async def _handshake(
    stream: FrameStream, credentials: LinkCredentials, parts: LinkParts
) -> Link | LinkError:
    try:
        async with asyncio.timeout(parts.limits.handshake_s):
            identity = await handshake_as_dialler(
                stream, credentials, parts.counters
            )
    except (
        PeerAuthenticationError,
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
