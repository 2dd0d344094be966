"""Reads the platform's documents again and again; counted, never trusted.

Each call, a waiting watch too, counts against the platform's limit on reads,
so that a failing platform is asked with growing pauses, and only by the few
hosts whose turn it is.
"""

import asyncio
import enum
import random
from collections.abc import Callable

import aiohttp
import attrs
import orjson

from hollyknot_state import Address, DocumentKind
from hollyknot_transport._bounded import TooLarge, read_bounded

_MAX_PAUSE_FACTOR = 8.0
_READ_TIMEOUT_S = 5.0
_MAX_DOCUMENT_BYTES = 16_777_216
_NOT_MODIFIED = 304
_OK = 200


_PATHS = {
    DocumentKind.DECLARATIONS: "/v1/values/declarations",
    DocumentKind.HOSTS: "/v1/hosts",
}


@attrs.frozen
class PlatformDocument:
    """A version of a document as the platform gave it.

    Attributes:
        name: Which document.
        version: Its version or revision.
        body: The value as JSON.
    """

    name: DocumentKind
    version: int
    body: bytes


@attrs.frozen
class PlatformFailure:
    """A read that gave no document.

    Attributes:
        name: Which document.
        detail: What went wrong.
    """

    name: DocumentKind
    detail: str


Deliver = Callable[[PlatformDocument | PlatformFailure], None]


async def poll_document(
    name: DocumentKind,
    addresses: tuple[Address, ...],
    read_after: Callable[[], int],
    pause_s: float,
    deliver: Deliver,
    rng: random.Random,
) -> None:
    """Reads one document again and again until it is cancelled.

    Args:
        name: Which document.
        addresses: Where the platform answers; taken in turn after a failure.
        read_after: Returns the version after which to ask.
        pause_s: Mean seconds between two reads.
        deliver: Takes each newer document and each failure.
        rng: Spreads the pauses after failures.
    """
    turn = rng.randrange(len(addresses))
    pause_factor = 1.0
    timeout = aiohttp.ClientTimeout(total=_READ_TIMEOUT_S, sock_connect=2.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            address = addresses[turn % len(addresses)]
            result = await _read(session, name, address, read_after())
            if isinstance(result, PlatformFailure):
                turn += 1
                # A platform that fails is slow to recover while all readers
                # ask at their full rate.
                pause_factor = min(pause_factor * 2, _MAX_PAUSE_FACTOR)
            else:
                pause_factor = 1.0
            if not isinstance(result, _Unchanged):
                deliver(result)
            await asyncio.sleep(pause_s * pause_factor * rng.uniform(0.5, 1.5))


class _Unchanged(enum.Enum):
    UNCHANGED = "unchanged"


async def _read(
    session: aiohttp.ClientSession,
    name: DocumentKind,
    address: Address,
    after: int,
) -> PlatformDocument | PlatformFailure | _Unchanged:
    url = f"http://{address.ip}:{address.port}{_PATHS[name]}"
    query = {"after": str(after)}
    try:
        async with session.get(url, params=query) as response:
            if response.status == _NOT_MODIFIED:
                return _Unchanged.UNCHANGED
            if response.status != _OK:
                return PlatformFailure(name, f"status {response.status}")
            body = await read_bounded(response.content, _MAX_DOCUMENT_BYTES)
            if isinstance(body, TooLarge):
                return PlatformFailure(name, "the document is too large")
            return _parse(name, body)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return PlatformFailure(name, f"{type(error).__name__}: {error}")


def _parse(
    name: DocumentKind, body: bytes
) -> PlatformDocument | PlatformFailure:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return PlatformFailure(name, f"not JSON: {error}")
    if not isinstance(document, dict):
        return PlatformFailure(name, "not a JSON object")
    if name is DocumentKind.HOSTS:
        version = document.get("revision")
        value = body
    else:
        version = document.get("version")
        value = orjson.dumps(document.get("value"))
    if not isinstance(version, int) or isinstance(version, bool):
        return PlatformFailure(name, "no version")
    return PlatformDocument(name, version, value)
