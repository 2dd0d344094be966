"""A small HTTP client that reads documents over pooled connections."""

import asyncio
import enum
from collections.abc import Callable
from typing import Any

import attrs

from hollyknot_gateway._headers import write_head
from hollyknot_gateway._pool import ConnectFailure, Pool
from hollyknot_gateway._ports import Headers
from hollyknot_gateway._upstream_connection import Head, Lost
from hollyknot_state import Address

LONGEST_READ_S = 5.0
"""Seconds that an answer may take from its first part to its end, even if parts
keep arriving. A megabyte of routes takes one second over a link with a round
trip of 20 ms."""

LONGEST_GAP_S = 1.5
"""Seconds that may pass between two parts of an answer. The wait for the first
part may be long, as in a watch; without this limit, an answer that stops
half-way on a dead connection would take that long again. A link that is
congested by answers to callers delays a part for less than this."""


MAX_DOCUMENT_BYTES = 33_554_432
"""Largest document in bytes. A page of a list has a megabyte, and a watch may
bring some dozens of versions of a large configuration at once."""


class FetchFailure(enum.Enum):
    """Reasons why a document was not read."""

    CONNECT = "connect-failed"
    TIMEOUT = "timeout"
    LOST = "connection-lost"
    FLOODED = "flooded"
    TOO_LARGE = "too-large"


@attrs.frozen
class Document:
    """An answer that was read in full.

    Attributes:
        status: The HTTP status.
        body: The complete body.
        fields: The headers, looked up by case-insensitive name.
    """

    status: int
    body: bytes
    fields: Any = attrs.Factory(dict)


class _Collector:
    """Assembles the parts of an answer into a document."""

    def __init__(
        self,
        on_progress: Callable[[], None],
        max_bytes: int = MAX_DOCUMENT_BYTES,
    ) -> None:
        self._on_progress = on_progress
        self._max_bytes = max_bytes
        self._status = 0
        self._fields: Any = {}
        self._parts: list[bytes] = []
        self._size = 0
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[Document | FetchFailure] = (
            loop.create_future()
        )

    def on_head(self, head: Head) -> None:
        self._status = head.status
        self._fields = head.fields
        self._note_progress()

    def on_data(self, data: bytes) -> None:
        if self.done.done():
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > self._max_bytes:
            self._parts.clear()
            self._set(FetchFailure.TOO_LARGE)
        self._note_progress()

    def on_end(self) -> None:
        body = b"".join(self._parts)
        self._parts.clear()
        self._set(Document(self._status, body, self._fields))

    def on_lost(self, lost: Lost) -> None:
        is_flooded = lost is Lost.FLOODED
        self._set(FetchFailure.FLOODED if is_flooded else FetchFailure.LOST)

    def _note_progress(self) -> None:
        # A part may still arrive just after the wait has ended.
        if not self.done.done():
            self._on_progress()

    def _set(self, found: Document | FetchFailure) -> None:
        if not self.done.done():
            self.done.set_result(found)


def _ignore_progress() -> None:
    return


def _deadline_extender(
    timeout: asyncio.Timeout, on_progress: Callable[[], None]
) -> Callable[[], None]:
    """Returns a callback that postpones the deadline when a part arrives."""
    clock = asyncio.get_running_loop().time
    last_s: float | None = None

    def extend() -> None:
        nonlocal last_s
        now_s = clock()
        if last_s is None:
            last_s = now_s + LONGEST_READ_S
        timeout.reschedule(min(now_s + LONGEST_GAP_S, last_s))
        on_progress()

    return extend


async def fetch(
    pool: Pool,
    name: str,
    address: Address,
    target: str,
    timeout_s: float,
    on_progress: Callable[[], None] = _ignore_progress,
    *,
    headers: Headers = (),
    max_bytes: int = MAX_DOCUMENT_BYTES,
) -> Document | FetchFailure:
    """Reads a document with a GET request.

    Args:
        pool: The pool that connections are taken from.
        name: The server's name, under which the pool keeps its connections.
        address: The server's address.
        target: The path and query to request.
        timeout_s: Seconds to wait for the first part of the answer, including
            the time to connect. Later parts extend the deadline: if this
            bounded the whole answer, a large document on a slow link would be
            requested again and again, and never be read in full.
        on_progress: Called each time a part of the answer arrives.
        headers: Further headers of the request.
        max_bytes: The largest body that is read.

    Returns:
        The document, or why there is none. A connection whose answer timed out
        is never reused, since it may be dead.
    """
    connection = None
    try:
        async with asyncio.timeout(timeout_s) as timeout:
            connection = await pool.acquire(name, address, timeout_s)
            if isinstance(connection, ConnectFailure):
                return FetchFailure.CONNECT
            collector = _Collector(
                _deadline_extender(timeout, on_progress), max_bytes
            )
            host = f"{address.ip}:{address.port}".encode()
            line = f"GET {target} HTTP/1.1".encode("latin-1")
            head = write_head(line, [(b"Host", host), *headers])
            connection.send(head, collector, is_head=False)
            found = await collector.done
            pool.release(name, connection)
            return found
    except TimeoutError:
        return FetchFailure.TIMEOUT
    finally:
        if (
            connection is not None
            and not isinstance(connection, ConnectFailure)
            and not connection.is_reusable
        ):
            connection.abandon()
