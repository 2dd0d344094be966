"""Polls the platform for the declarations and the host list.

Each read counts against the platform's rate limit, even a long poll that waits
for a change. So only the few hosts whose turn it is poll, and they pause for
longer after each failure. What the platform returns is not trusted: its size
is bounded and its version is checked here.
"""

import asyncio
import enum
import random
from collections.abc import Callable

import aiohttp
import attrs
import orjson

from hollyknot_state import Address, DocumentKind, Problem, split_host_list
from hollyknot_transport._bounded import TooLarge, read_bounded
from hollyknot_transport._logging import get_logger

_LOG = get_logger("transport")

_MAX_PAUSE_FACTOR = 8.0
"""Longest pause after failures, as a multiple of the usual pause."""

_READ_TIMEOUT_S = 5.0
_MAX_DOCUMENT_BYTES = 16_777_216
_VERSIONS = range(2**63)
"""Versions that fit into messages between hosts."""

_NOT_MODIFIED = 304
_OK = 200


_PATHS = {
    DocumentKind.DECLARATIONS: "/v1/values/declarations",
    DocumentKind.HOSTS: "/v1/hosts",
}


@attrs.frozen
class PlatformDocument:
    """A version of a document as the platform returned it.

    Attributes:
        name: The document.
        version: The version of the declarations or revision of the host list.
        body: The value of the document as JSON.
    """

    name: DocumentKind
    version: int
    body: bytes


@attrs.frozen
class PlatformFailure:
    """A read that returned no document.

    Attributes:
        name: The document.
        detail: The cause, for the log.
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
    """Polls one document until the task is cancelled.

    Args:
        name: The document.
        addresses: The addresses of the platform; each failure moves on to the
            next address.
        read_after: Returns the version after which a document is newer.
        pause_s: Mean pause between two reads that succeed, in seconds.
        deliver: Receives each newer document and each failure.
        rng: Source of the first address and of the jitter of the pauses.
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
                # A failing platform would recover slowly if all hosts went on
                # polling at their full rate.
                pause_factor = min(pause_factor * 2, _MAX_PAUSE_FACTOR)
            else:
                pause_factor = 1.0
            if not isinstance(result, _Unchanged):
                _deliver(name, result, deliver)
            await asyncio.sleep(pause_s * pause_factor * rng.uniform(0.5, 1.5))


def _deliver(
    name: DocumentKind,
    result: PlatformDocument | PlatformFailure,
    deliver: Deliver,
) -> None:
    # An exception must not end the poll: the host would keep its documents for
    # good, and its log would not show why.
    try:
        deliver(result)
    except Exception:
        _LOG.exception("poll-failed", document=name.value)


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
                return PlatformFailure(
                    name, f"HTTP status {response.status} from {url}"
                )
            body = await read_bounded(response.content, _MAX_DOCUMENT_BYTES)
            if isinstance(body, TooLarge):
                return PlatformFailure(
                    name, f"the body exceeds {_MAX_DOCUMENT_BYTES} bytes"
                )
            return _parse(name, body)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return PlatformFailure(name, f"{type(error).__name__}: {error}")


def _parse(
    name: DocumentKind, body: bytes
) -> PlatformDocument | PlatformFailure:
    if name is DocumentKind.HOSTS:
        return _parse_host_list(body)
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return PlatformFailure(name, f"the body is not JSON: {error}")
    if not isinstance(document, dict):
        return PlatformFailure(name, "the body is not a JSON object")
    try:
        value = orjson.dumps(document.get("value"))
    except orjson.JSONEncodeError as error:
        # Some of what can be read is nested too deeply to be written.
        return PlatformFailure(name, f"the value can't be written: {error}")
    return _with_version(name, document.get("version"), value)


def _parse_host_list(body: bytes) -> PlatformDocument | PlatformFailure:
    """Returns a host list, of which some entries may be no JSON."""
    parts = split_host_list(body)
    if isinstance(parts, Problem):
        return PlatformFailure(DocumentKind.HOSTS, f"the body {parts}")
    return _with_version(DocumentKind.HOSTS, parts.fields.get("revision"), body)


def _with_version(
    name: DocumentKind, version: object, value: bytes
) -> PlatformDocument | PlatformFailure:
    if not isinstance(version, int) or isinstance(version, bool):
        return PlatformFailure(
            name,
            "the document's version must be an integer, not"
            f" {type(version).__name__}",
        )
    if version not in _VERSIONS:
        # A rejected version hides all lower ones, so that it isn't read again.
        return PlatformFailure(name, f"the document's version is {version}")
    return PlatformDocument(name, version, value)
