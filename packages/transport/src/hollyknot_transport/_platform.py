"""Watches on the platform's documents: read only, counted, never trusted.

Each call, a waiting watch too, counts against the platform's limit on reads,
so that a failing platform is asked with growing pauses, and only by the few
hosts whose turn it is.
"""

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
import orjson
from hollyknot_state import Address

from hollyknot_transport._bounded import TooLarge, read_bounded

WATCH_S = 30
_MIN_PAUSE_S = 0.2
_MAX_PAUSE_S = 5.0
_READ_TIMEOUT_S = WATCH_S + 5.0
_MAX_DOCUMENT_BYTES = 16_777_216
_NOT_MODIFIED = 304
_OK = 200


class DocumentName(enum.Enum):
    """The platform's two documents."""

    DECLARATIONS = "declarations"
    HOSTS = "hosts"


_PATHS = {
    DocumentName.DECLARATIONS: "/v1/values/declarations",
    DocumentName.HOSTS: "/v1/hosts",
}


@attrs.frozen
class PlatformDocument:
    """A version of a document as the platform gave it.

    Attributes:
        name: Which document.
        version: Its version or revision.
        body: The value as JSON.
    """

    name: DocumentName
    version: int
    body: bytes


@attrs.frozen
class PlatformFailure:
    """A read that gave no document.

    Attributes:
        name: Which document.
        detail: What went wrong.
    """

    name: DocumentName
    detail: str


Deliver = Callable[[PlatformDocument | PlatformFailure], Awaitable[None]]


async def watch(
    name: DocumentName,
    addresses: tuple[Address, ...],
    version_in_force: Callable[[], int],
    deliver: Deliver,
    rng: random.Random,
) -> None:
    """Watches one document until it is cancelled.

    Args:
        name: Which document.
        addresses: Where the platform answers; taken in turn after a failure.
        version_in_force: The version after which to ask.
        deliver: Takes each newer document and each failure.
        rng: Spreads the pauses after failures.
    """
    turn = rng.randrange(len(addresses))
    pause_s = _MIN_PAUSE_S
    timeout = aiohttp.ClientTimeout(total=_READ_TIMEOUT_S, sock_connect=2.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            address = addresses[turn % len(addresses)]
            found = await _read(session, name, address, version_in_force())
            if isinstance(found, PlatformDocument):
                pause_s = _MIN_PAUSE_S
                await deliver(found)
            if not isinstance(found, PlatformFailure):
                # A platform that answers at once with what is known already
                # (restored to an older version, say) must not be asked in a
                # tight loop: it would spend the reads of all hosts.
                await asyncio.sleep(_MIN_PAUSE_S)
                continue
            await deliver(found)
            turn += 1
            await asyncio.sleep(pause_s * rng.uniform(0.5, 1.5))
            pause_s = min(_MAX_PAUSE_S, pause_s * 2)


class _Unchanged(enum.Enum):
    UNCHANGED = "unchanged"


async def _read(
    session: aiohttp.ClientSession,
    name: DocumentName,
    address: Address,
    after: int,
) -> PlatformDocument | PlatformFailure | _Unchanged:
    url = f"http://{address.ip}:{address.port}{_PATHS[name]}"
    query = {"after": str(after), "wait_s": str(WATCH_S)}
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
    name: DocumentName, body: bytes
) -> PlatformDocument | PlatformFailure:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return PlatformFailure(name, f"not JSON: {error}")
    if not isinstance(document, dict):
        return PlatformFailure(name, "not a JSON object")
    if name is DocumentName.HOSTS:
        version = document.get("revision")
        value = body
    else:
        version = document.get("version")
        value = orjson.dumps(document.get("value"))
    if not isinstance(version, int) or isinstance(version, bool):
        return PlatformFailure(name, "no version")
    return PlatformDocument(name, version, value)
