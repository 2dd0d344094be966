"""One try of a call at one upstream, ended by a verdict.

Whether the request may have run is decided here and nowhere else: a failure to
connect proves that it did not, a published refusal proves that it did not, and
anything else after the connection was made does not.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import aiohttp
import attrs

from hollyknot_state import Nature, Outcome, Reason, Verdict
from hollyknot_transport._aiohttp_relay import relay
from hollyknot_transport._answers import NOT_RUN, REQUEST_ID
from hollyknot_transport._stall_guard import Phase, StallGuard, WatchedExchange

BUFFERED_ANSWER_BYTES = 262_144
"""A whole answer up to this size is read before the caller gets any of it, so
that a truncated one can be tried elsewhere."""

CONNECT_TIMEOUT_S = 1.0
"""Until a connection counts as failed: a lost first packet is sent again by the
system after a second, and another upstream answers sooner than that."""

IDLE_CONNECTION_S = 1.0
"""The longest time without use after which a kept connection is used again.

Something between may have forgotten a connection, and a request on it finds
out by silence: a whole answer waits for minutes. One silent connection is
noticed after two seconds or more, and by then all the others that went silent
with it are too old to be used. A new one costs a round trip.
"""
_READ_BUFFER_BYTES = 16_384
_DONE_LINE = b"data: [DONE]"
_TAIL_BYTES = 64
_SERVER_ERROR = 500
_FORWARDED_ANSWER_HEADERS = ("Content-Type", "Location", "Cache-Control")
_ENCODING = "Content-Encoding"


@attrs.frozen
class UpstreamRequest:
    """What is sent to an upstream.

    Attributes:
        url: With the upstream's address.
        method: The HTTP method.
        headers: All headers but those of the connection.
        body: The body.
        request_id: Checked against the answer's, if it has one.
        nature: Non-idempotent requests go over a connection of their own.
        is_streamed: Whether server-sent events are expected.
        first_byte_s: The longest wait for the first byte of the answer.
        next_bytes_s: The longest silence after that.
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
    """A whole answer, or its head if it is relayed as it comes.

    Attributes:
        status: The HTTP status.
        headers: Those that the caller gets.
        body: The whole body, empty if it is relayed.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b""


@attrs.frozen
class Sink:
    """Where a relayed answer goes; closures over the caller's response.

    Attributes:
        start: Sends the head to the caller.
        write: Sends bytes to the caller and waits while it is slow.
        write_now: Sends bytes if that needs no waiting, and tells whether it
            did.
    """

    start: Callable[[UpstreamAnswer], Awaitable[None]]
    write: Callable[[bytes], Awaitable[None]]
    write_now: Callable[[bytes], bool]


@attrs.frozen
class Result:
    """What became of a try.

    Attributes:
        verdict: Whether it ran.
        answer: The upstream's answer, if there is one to hand on.
        has_started: Whether the caller has got part of it.
        first_byte_at: When the first byte came, on the loop's clock; 0 if none.
        size: Bytes of the answer that were read.
        parts: How many parts the answer came in; of a stream, about its
            tokens.
    """

    verdict: Verdict
    answer: UpstreamAnswer | None = None
    has_started: bool = False
    first_byte_at: float = 0.0
    size: int = 0
    parts: int = 0


class CallerGoneError(Exception):
    """The caller's connection failed while the answer was relayed."""


class Exchanges:
    """The host's client towards upstreams."""

    def __init__(self, guard: StallGuard) -> None:
        """Opens the sessions; they are closed by `close`.

        Args:
            guard: Watches each exchange; swept by the host's timer.
        """
        self._guard = guard
        self._shared = _session(force_close=False)
        # A kept connection may be closed by the upstream just as a request is
        # written to it, and the client library then sends an idempotent
        # method again by itself. On a new connection it never does, and a
        # refused connection is proof that the request was not run.
        self._single = _session(force_close=True)

    async def close(self) -> None:
        """Closes all connections."""
        await self._shared.close()
        await self._single.close()

    async def run(self, request: UpstreamRequest, sink: Sink) -> Result:
        """Sends a request and reads, or relays, its answer.

        Args:
            request: What to send and where.
            sink: Takes a streamed or large answer.

        Returns:
            The result. It raises `asyncio.CancelledError` only if it is
            cancelled, which closes the upstream's connection and so cancels
            the work there.
        """
        is_single = request.nature is Nature.NON_IDEMPOTENT
        session = self._single if is_single else self._shared
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
            return attempt.ended(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        except aiohttp.ConnectionTimeoutError:
            return attempt.ended(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        except TimeoutError:
            if watched.phase is Phase.CALLER:
                return attempt.ended(Outcome.MAY_HAVE_RUN, Reason.CALLER_GONE)
            return attempt.ended(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)
        except CallerGoneError:
            return attempt.ended(Outcome.MAY_HAVE_RUN, Reason.CALLER_GONE)
        except aiohttp.ClientPayloadError:
            return attempt.ended(Outcome.MAY_HAVE_RUN, Reason.TRUNCATED)
        except (aiohttp.ClientError, OSError, ValueError):
            return attempt.ended(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
        finally:
            self._guard.discard(watched)


def _session(force_close: bool) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
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
        request_class=_OwnHeadersRequest,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
    )


class _OwnHeadersRequest(aiohttp.ClientRequest):
    """A request with the caller's headers and no more than the least."""

    def update_auto_headers(self, _: Iterable[str] | None) -> None:
        """Adds none of the library's names and encodings.

        The session's `skip_auto_headers` does so too, but copies all headers
        for it at each request.
        """
        self.headers.setdefault("Accept", "*/*")


class _Attempt:
    """The state of one try."""

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

    def ended(
        self, outcome: Outcome, reason: Reason, detail: str = ""
    ) -> Result:
        """Returns the result of an end with nothing whole to hand on."""
        return Result(
            Verdict(outcome, reason, detail),
            None,
            self._has_started,
            self._first_byte_at,
            self._size,
            self._parts,
        )

    async def run(self, session: aiohttp.ClientSession) -> Result:
        """Runs the try; failures of the connection are raised."""
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
            if response.headers.get(NOT_RUN) == "true":
                return self._refused(response)
            # An answer to another request must never reach this caller.
            theirs = response.headers.get(REQUEST_ID, request.request_id)
            if theirs != request.request_id:
                return self.ended(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_ERROR)
            head = UpstreamAnswer(response.status, _kept_headers(response))
            if request.is_streamed and response.status < _SERVER_ERROR:
                return await self._relay(response, head)
            return await self._read_whole(response, head)

    def _refused(self, response: aiohttp.ClientResponse) -> Result:
        verdict = Verdict(
            Outcome.NOT_RUN,
            Reason.UPSTREAM_REFUSED,
            "The upstream refused the request and did not run it",
            _seconds(response.headers.get("Retry-After", "")),
            response.status,
        )
        return Result(verdict)

    async def _relay(
        self,
        response: aiohttp.ClientResponse,
        head: UpstreamAnswer,
    ) -> Result:
        self._head = head
        await relay(response.content, self._take_now, self._take)
        is_events = response.content_type == "text/event-stream"
        tail = self._tail
        # A stream that ends early looks like any other end of a body: only
        # the last line tells a truncated answer from a whole one.
        if is_events and not tail.rstrip().endswith(_DONE_LINE):
            return self.ended(Outcome.MAY_HAVE_RUN, Reason.TRUNCATED)
        return self._whole(head)

    def _take_now(self, chunk: bytes) -> bool:
        """Relays a part from within the parser, if the caller is not slow."""
        if not self._has_started or not self._sink.write_now(chunk):
            return False
        self._note(chunk)
        return True

    async def _take(self, chunk: bytes) -> None:
        """Relays a part and waits for the caller."""
        watched = self._watched
        watched.progress_at = self._clock()
        watched.phase = Phase.CALLER
        if not self._has_started:
            self._first_byte_at = watched.progress_at
            self._has_started = True
            await self._sink.start(self._head)
        await self._sink.write(chunk)
        watched.phase = Phase.NEXT_BYTES
        self._note(chunk)

    def _note(self, chunk: bytes) -> None:
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
            if self._size > BUFFERED_ANSWER_BYTES:
                self._has_started = True
                await self._sink.start(head)
                await self._write(b"".join(parts))
        self._first_byte_at = self._first_byte_at or clock()
        if self._has_started:
            return self._whole(head)
        body = b"".join(parts)
        return self._whole(UpstreamAnswer(head.status, head.headers, body))

    async def _write(self, chunk: bytes) -> None:
        self._watched.phase = Phase.CALLER
        await self._sink.write(chunk)
        self._watched.phase = Phase.NEXT_BYTES

    def _whole(self, answer: UpstreamAnswer) -> Result:
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


def _kept_headers(response: aiohttp.ClientResponse) -> dict[str, str]:
    headers = {}
    for name in (*_FORWARDED_ANSWER_HEADERS, _ENCODING):
        value = response.headers.get(name)
        if value is not None:
            headers[name] = value
    return headers


def _seconds(text: str) -> float:
    return float(text) if text.isdigit() else 0.0
