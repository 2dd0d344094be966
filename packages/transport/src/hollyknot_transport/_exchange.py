"""Sends one try of a call to one upstream and determines its verdict.

Only this module decides whether the request may have run. A failure to connect
and an explicit refusal by the upstream prove that it did not run; any other
failure after the connection was made proves nothing.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import aiohttp
import attrs

from hollyknot_state import Nature, Outcome, Reason, Verdict
from hollyknot_transport._aiohttp_relay import relay
from hollyknot_transport._answers import NOT_RUN, REQUEST_ID
from hollyknot_transport._bounded_client import BoundedConnector
from hollyknot_transport._stall_guard import Phase, StallGuard, WatchedExchange

MAX_BUFFERED_ANSWER_BYTES = 262_144
"""Maximum size in bytes up to which an answer is buffered.

The caller gets no part of a buffered answer before its end, so that a
truncated one can be tried at another upstream.
"""

CONNECT_TIMEOUT_S = 1.0
"""Maximum time in seconds to open a connection.

The operating system retransmits a lost first packet after a second, and another
upstream answers sooner than that.
"""

IDLE_CONNECTION_S = 1.0
"""Maximum idle time in seconds after which a kept connection is reused.

A device on the path, such as a firewall, may have dropped the state of a
connection. A request on it then gets no answer, and the wait for an unstreamed
answer lasts minutes. One such connection is noticed after two seconds or more,
and by then all others that failed with it are too old to be reused. A new
connection costs a round trip.
"""
_READ_BUFFER_BYTES = 16_384
_DONE_LINE = b"data: [DONE]"
_TAIL_BYTES = 64
_OK = 200
_CLIENT_ERROR = 400
_SERVER_ERROR = 500
_STATUSES = range(100, 600)
_STREAM_TYPES = frozenset({"text/event-stream", "application/json"})
"""Types of an engine's answer to a request for a stream; it may answer with a
document instead."""

_MAX_RETRY_DIGITS = 9
_FORWARDED_ANSWER_HEADERS = ("Content-Type", "Location", "Cache-Control")
_ENCODING = "Content-Encoding"


@attrs.frozen
class UpstreamRequest:
    """A request to an upstream.

    Attributes:
        url: URL, with the address of the upstream.
        method: The HTTP method.
        headers: All headers except those of the connection.
        body: Body of the request; empty for none.
        request_id: Request id; an answer that names another one is rejected.
        nature: Whether the request is idempotent; a non-idempotent one is sent
            over a new connection.
        is_streamed: Whether the caller requested server-sent events.
        first_byte_s: Maximum wait in seconds for the first byte of the answer.
        next_bytes_s: Maximum gap in seconds between bytes after the first.
    """

    url: str
    method: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    nature: Nature
    is_streamed: bool
    first_byte_s: float
    next_bytes_s: float


@attrs.frozen
class UpstreamAnswer:
    """A buffered answer, or the head of a relayed one.

    Attributes:
        status: The HTTP status.
        headers: Headers that are forwarded to the caller.
        body: Body of a buffered answer; empty for a relayed one.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b""


@attrs.frozen
class Sink:
    """Callbacks that send a relayed answer to the caller.

    Attributes:
        start: Sends the head to the caller.
        write: Sends bytes to the caller and waits while the caller is slow.
        write_now: Sends bytes if this needs no waiting, and returns whether it
            did.
    """

    start: Callable[[UpstreamAnswer], Awaitable[None]]
    write: Callable[[bytes], Awaitable[None]]
    write_now: Callable[[bytes], bool]


@attrs.frozen
class Result:
    """The result of one try.

    Attributes:
        verdict: How the try ended and whether the request may have run.
        answer: The upstream's complete answer, without body if it was relayed;
            None if the try has no complete answer.
        has_started: Whether a part of the answer was relayed to the caller.
        first_byte_at: Time of the first byte in seconds on the event loop's
            clock; 0 if none arrived.
        size: Number of bytes of the answer that were read.
        parts: Number of chunks in which the answer arrived; for a stream,
            approximately its number of tokens.
    """

    verdict: Verdict
    answer: UpstreamAnswer | None = None
    has_started: bool = False
    first_byte_at: float = 0.0
    size: int = 0
    parts: int = 0


class CallerGoneError(Exception):
    """Raised if the caller's connection fails while an answer is relayed."""


class UpstreamClient:
    """The HTTP client of a host towards its upstreams."""

    def __init__(self, guard: StallGuard) -> None:
        """Opens the HTTP sessions, which `close` closes.

        Args:
            guard: Expires requests that make no progress; the host's timer
                sweeps it.
        """
        self._guard = guard
        self._pooled_session = _session(force_close=False)
        # The upstream may close a kept connection just as a request is written
        # to it, and aiohttp then resends a request with an idempotent method
        # by itself. On a new connection it never does, and a refused
        # connection proves that the request did not run.
        self._single_use_session = _session(force_close=True)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pooled_session.close()
        await self._single_use_session.close()

    async def run(self, request: UpstreamRequest, sink: Sink) -> Result:
        """Sends a request and buffers or relays its answer.

        Args:
            request: The request, with the URL of the upstream.
            sink: Receives a streamed or large answer.

        Returns:
            The result, also of a failure. Only cancellation raises
            `asyncio.CancelledError`; it closes the connection to the upstream,
            which cancels the work there.
        """
        is_single_use = request.nature is Nature.NON_IDEMPOTENT
        session = (
            self._single_use_session if is_single_use else self._pooled_session
        )
        loop = asyncio.get_running_loop()
        bounds = {
            Phase.FIRST_BYTE: request.first_byte_s,
            Phase.NEXT_BYTES: request.next_bytes_s,
            Phase.CALLER: request.next_bytes_s,
        }
        timeout = asyncio.timeout(None)
        watched = WatchedExchange(timeout, bounds, loop.time())
        attempt = _Attempt(request, sink, watched, loop.time)
        self._guard.add(watched)
        try:
            async with timeout:
                return await attempt.run(session)
        except aiohttp.ClientConnectorError:
            return attempt.incomplete_result(
                Outcome.NOT_RUN, Reason.CONNECT_FAILED
            )
        except aiohttp.ConnectionTimeoutError:
            return attempt.incomplete_result(
                Outcome.NOT_RUN, Reason.CONNECT_FAILED
            )
        except TimeoutError:
            if watched.phase is Phase.CALLER:
                return attempt.incomplete_result(
                    Outcome.MAY_HAVE_RUN, Reason.CALLER_GONE
                )
            return attempt.incomplete_result(
                Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT
            )
        except CallerGoneError:
            return attempt.incomplete_result(
                Outcome.MAY_HAVE_RUN, Reason.CALLER_GONE
            )
        except aiohttp.ClientPayloadError:
            return attempt.incomplete_result(
                Outcome.MAY_HAVE_RUN, Reason.TRUNCATED
            )
        except (aiohttp.ClientError, OSError, ValueError):
            return attempt.incomplete_result(
                Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST
            )
        finally:
            self._guard.discard(watched)


def _session(force_close: bool) -> aiohttp.ClientSession:
    connector = BoundedConnector(
        limit=0,
        force_close=force_close,
        keepalive_timeout=None if force_close else IDLE_CONNECTION_S,
        use_dns_cache=False,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=_READ_BUFFER_BYTES,
        request_class=_MinimalHeadersRequest,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
    )


class _MinimalHeadersRequest(aiohttp.ClientRequest):
    """A request with the given headers and few added ones."""

    def update_auto_headers(self, _: Iterable[str] | None) -> None:
        """Adds no `User-Agent` and no `Accept-Encoding` of aiohttp.

        The option `skip_auto_headers` of the session has the same effect, but
        copies all headers for each request.
        """
        self.headers.setdefault("Accept", "*/*")


class _Attempt:
    """The state of one try at an upstream."""

    def __init__(
        self,
        request: UpstreamRequest,
        sink: Sink,
        watched: WatchedExchange,
        clock: Callable[[], float],
    ) -> None:
        self._request = request
        self._sink = sink
        self._watched = watched
        self._clock = clock
        self._head = UpstreamAnswer(0, {})
        self._has_started = False
        self._first_byte_at = 0.0
        self._size = 0
        self._parts = 0
        self._tail = b""

    def incomplete_result(
        self, outcome: Outcome, reason: Reason, detail: str = ""
    ) -> Result:
        """Returns the result of a try that has no complete answer."""
        return Result(
            Verdict(outcome, reason, detail),
            None,
            self._has_started,
            self._first_byte_at,
            self._size,
            self._parts,
        )

    async def run(self, session: aiohttp.ClientSession) -> Result:
        """Sends the request and reads its answer.

        Failures of the connection are raised.
        """
        request = self._request
        async with session.request(
            request.method,
            request.url,
            data=request.body or None,
            headers=request.headers,
            allow_redirects=False,
        ) as response:
            self._watched.progress_at = self._clock()
            self._watched.phase = Phase.NEXT_BYTES
            is_error = response.status >= _CLIENT_ERROR
            if is_error and response.headers.get(NOT_RUN) == "true":
                return self._refused_result(response)
            # The answer to another request must never reach this caller.
            answered_id = response.headers.get(REQUEST_ID, request.request_id)
            is_other = answered_id != request.request_id
            if is_other or not self._is_answer(response):
                return self.incomplete_result(
                    Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_ERROR
                )
            head = UpstreamAnswer(response.status, _forwarded_headers(response))
            if request.is_streamed and response.status < _SERVER_ERROR:
                return await self._relay(response, head)
            return await self._read_whole(response, head)

    def _is_answer(self, response: aiohttp.ClientResponse) -> bool:
        """Whether a head can be that of an answer to this request."""
        status = response.status
        if status >= _CLIENT_ERROR:
            return status in _STATUSES
        if status not in _STATUSES or NOT_RUN in response.headers:
            return False
        is_stream = self._request.is_streamed and status == _OK
        return not is_stream or response.content_type in _STREAM_TYPES

    def _refused_result(self, response: aiohttp.ClientResponse) -> Result:
        verdict = Verdict(
            Outcome.NOT_RUN,
            Reason.UPSTREAM_REFUSED,
            "The upstream refused the request and did not run it",
            _retry_after_s(response.headers.get("Retry-After", "")),
            response.status,
        )
        return Result(verdict)

    async def _relay(
        self,
        response: aiohttp.ClientResponse,
        head: UpstreamAnswer,
    ) -> Result:
        self._head = head
        await relay(response.content, self._forward_now, self._forward)
        is_events = response.content_type == "text/event-stream"
        tail = self._tail
        # The end of a truncated stream looks like any other end of a body:
        # only the last line distinguishes it from a complete answer.
        if is_events and not tail.rstrip().endswith(_DONE_LINE):
            return self.incomplete_result(
                Outcome.MAY_HAVE_RUN, Reason.TRUNCATED
            )
        return self._complete_result(head)

    def _forward_now(self, chunk: bytes) -> bool:
        """Relays a chunk from inside the parser unless the caller is slow."""
        if not self._has_started or not self._sink.write_now(chunk):
            return False
        self._count_chunk(chunk)
        return True

    async def _forward(self, chunk: bytes) -> None:
        """Relays a chunk and waits while the caller is slow."""
        watched = self._watched
        watched.progress_at = self._clock()
        watched.phase = Phase.CALLER
        if not self._has_started:
            self._first_byte_at = watched.progress_at
            self._has_started = True
            await self._sink.start(self._head)
        await self._sink.write(chunk)
        watched.phase = Phase.NEXT_BYTES
        self._count_chunk(chunk)

    def _count_chunk(self, chunk: bytes) -> None:
        size = len(chunk)
        self._watched.progress_at = self._clock()
        self._size += size
        self._parts += 1
        if size < _TAIL_BYTES:
            chunk = (self._tail + chunk)[-_TAIL_BYTES:]
        self._tail = chunk

    async def _read_whole(
        self,
        response: aiohttp.ClientResponse,
        head: UpstreamAnswer,
    ) -> Result:
        watched = self._watched
        clock = self._clock
        parts: list[bytes] = []
        async for chunk in response.content.iter_any():
            watched.progress_at = clock()
            self._first_byte_at = self._first_byte_at or watched.progress_at
            self._size += len(chunk)
            self._parts += 1
            if self._has_started:
                await self._write(chunk)
                continue
            parts.append(chunk)
            if self._size > MAX_BUFFERED_ANSWER_BYTES:
                self._has_started = True
                await self._sink.start(head)
                await self._write(b"".join(parts))
        self._first_byte_at = self._first_byte_at or clock()
        if self._has_started:
            return self._complete_result(head)
        body = b"".join(parts)
        return self._complete_result(
            UpstreamAnswer(head.status, head.headers, body)
        )

    async def _write(self, chunk: bytes) -> None:
        self._watched.phase = Phase.CALLER
        await self._sink.write(chunk)
        self._watched.phase = Phase.NEXT_BYTES

    def _complete_result(self, answer: UpstreamAnswer) -> Result:
        outcome, reason = Outcome.COMPLETE, Reason.NONE
        if answer.status >= _SERVER_ERROR:
            outcome, reason = Outcome.FAILED, Reason.UPSTREAM_ERROR
        verdict = Verdict(outcome, reason, upstream_status=answer.status)
        return Result(
            verdict,
            answer,
            self._has_started,
            self._first_byte_at,
            self._size,
            self._parts,
        )


def _forwarded_headers(response: aiohttp.ClientResponse) -> dict[str, str]:
    headers = {}
    for name in (*_FORWARDED_ANSWER_HEADERS, _ENCODING):
        value = response.headers.get(name)
        if value is not None:
            headers[name] = value
    return headers


def _retry_after_s(text: str) -> float:
    is_number = text.isascii() and text.isdigit()
    return float(text[:_MAX_RETRY_DIGITS]) if is_number else 0.0
