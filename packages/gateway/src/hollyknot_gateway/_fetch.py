"""A small HTTP client for documents, over the connections to upstreams."""

import asyncio
import enum
from collections.abc import Callable
from typing import Any

import attrs

from hollyknot_gateway._headers import write_head
from hollyknot_gateway._pool import ConnectFailure, Pool
from hollyknot_gateway._upstream_connection import Head, Lost
from hollyknot_state import Address

LONGEST_READ_S = 5.0
"""The longest that an answer may take that keeps coming. A megabyte of routes
over a link with a round trip of 20 ms takes a second."""

LONGEST_GAP_S = 1.5
"""The longest pause within an answer. One that was waited for for long, and
stops half-way on a connection that fell silent, is not waited for that long
again; a link that is crowded by answers to callers holds one for less."""


class FetchFailure(enum.Enum):
    """Why a document was not read."""

    CONNECT = "connect-failed"
    TIMEOUT = "timeout"
    LOST = "connection-lost"


@attrs.frozen
class Document:
    """An answer that was read in full.

    Attributes:
        status: The HTTP status.
        body: All of it.
        fields: Headers, looked up by name without regard to case.
    """

    status: int
    body: bytes
    fields: Any = attrs.Factory(dict)


class _Collector:
    def __init__(self, on_progress: Callable[[], None]) -> None:
        self._on_progress = on_progress
        self._status = 0
        self._fields: Any = {}
        self._parts: list[bytes] = []
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[Document | FetchFailure] = (
            loop.create_future()
        )

    def on_head(self, head: Head) -> None:
        self._status = head.status
        self._fields = head.fields
        self._note_progress()

    def on_data(self, data: bytes) -> None:
        self._parts.append(data)
        self._note_progress()

    def on_end(self) -> None:
        body = b"".join(self._parts)
        self._set(Document(self._status, body, self._fields))

    def on_lost(self, _: Lost) -> None:
        self._set(FetchFailure.LOST)

    def _note_progress(self) -> None:
        # A part may still come in just after the wait has ended.
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
    """Returns what gives an answer more time each time a part of it arrives."""
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
) -> Document | FetchFailure:
    """Reads a document by GET.

    Args:
        pool: Keeps the connections.
        name: Of the server, by which its connections are kept.
        address: Where it answers.
        target: Path and query.
        timeout_s: The longest wait for the answer's begin, a new connection
            included. An answer that keeps coming has longer: were its whole
            time bounded, one that is too large would be begun again and
            again, and never read.
        on_progress: Called each time a part of the answer arrives.

    Returns:
        The answer, or why there is none. A connection on which an answer did
        not come in time is never used again: it may be silent for good.
    """
    connection = None
    try:
        async with asyncio.timeout(timeout_s) as timeout:
            connection = await pool.take(name, address, timeout_s)
            if isinstance(connection, ConnectFailure):
                return FetchFailure.CONNECT
            collector = _Collector(_deadline_extender(timeout, on_progress))
            host = f"{address.ip}:{address.port}".encode()
            line = f"GET {target} HTTP/1.1".encode("latin-1")
            head = write_head(line, [(b"Host", host)])
            connection.send(head, collector, is_head=False)
            found = await collector.done
            pool.give_back(name, connection)
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
