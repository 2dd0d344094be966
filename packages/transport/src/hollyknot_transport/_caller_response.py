"""Answers one caller with a relayed answer, a buffered one or a refusal."""

import contextlib

import orjson
from aiohttp import HttpVersion11, web

from hollyknot_state import Outcome, Verdict
from hollyknot_transport._answers import (
    REQUEST_ID,
    VERDICT,
    Refusal,
    openai_error,
    openai_refusal,
    problem_refusal,
)
from hollyknot_transport._exchange import CallerGoneError, Sink, UpstreamAnswer

_EVENT_STREAM = "text/event-stream"


class CallerResponse:
    """Builds the response to a request.

    A request gets either a relayed answer or a refusal, never both.
    """

    def __init__(
        self, request: web.BaseRequest, request_id: str, is_model: bool
    ) -> None:
        """Prepares the response and sends nothing yet.

        Args:
            request: The caller's request.
            request_id: Request id, returned in a header.
            is_model: Whether refusals are rendered as OpenAI error objects.
        """
        self._request = request
        self._request_id = request_id
        self._is_model = is_model
        self._response: web.StreamResponse | None = None
        self._is_events = False
        self._is_chunked = False

    def sink(self) -> Sink:
        """Returns the callbacks that relay an answer to the caller."""
        return Sink(
            start=self._start, write=self._write, write_now=self._write_now
        )

    def refuse(self, refusal: Refusal) -> web.Response:
        """Returns the response to a refused request."""
        render = openai_refusal if self._is_model else problem_refusal
        return render(self._request_id, refusal)

    def respond(self, answer: UpstreamAnswer, verdict: Verdict) -> web.Response:
        """Returns the response that carries an upstream's buffered answer."""
        headers = dict(answer.headers)
        headers[REQUEST_ID] = self._request_id
        headers[VERDICT] = verdict.outcome.value
        return web.Response(
            status=answer.status, body=answer.body, headers=headers
        )

    async def finish(
        self, verdict: Verdict, refusal: Refusal
    ) -> web.StreamResponse:
        """Ends a relayed answer.

        A truncated body looks complete to a caller that reads to the end of
        the connection. An incomplete answer therefore ends with an error event
        if it is a stream of server-sent events, and the connection is closed
        before the last chunk of the body, so that the caller's HTTP library
        reports an incomplete read.

        Args:
            verdict: How the request ended.
            refusal: The error for the final event of an incomplete stream.
        """
        response = self._response
        if response is None:
            raise RuntimeError("finish() was called before the answer started")
        with contextlib.suppress(ConnectionError):
            if self._is_events:
                await response.write(self._last_event(verdict, refusal))
        is_whole = verdict.outcome in (Outcome.COMPLETE, Outcome.FAILED)
        if not is_whole and self._request.transport is not None:
            self._request.transport.close()
        return response

    def _last_event(self, verdict: Verdict, refusal: Refusal) -> bytes:
        if verdict.is_complete:
            return f": verdict={verdict.outcome.value}\n\n".encode()
        error = orjson.dumps(openai_error(refusal))
        return b"\n\ndata: " + error + b"\n\n"

    async def _start(self, answer: UpstreamAnswer) -> None:
        headers = dict(answer.headers)
        headers[REQUEST_ID] = self._request_id
        response = web.StreamResponse(status=answer.status, headers=headers)
        self._is_events = response.content_type == _EVENT_STREAM
        if self._request.version >= HttpVersion11:
            response.enable_chunked_encoding()
            self._is_chunked = True
        self._response = response
        try:
            await response.prepare(self._request)
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error

    async def _write(self, data: bytes) -> None:
        if self._response is None:
            raise RuntimeError("write() was called before the answer started")
        try:
            await self._response.write(data)
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error

    def _write_now(self, data: bytes) -> bool:
        """Sends a chunk if this needs no waiting, and returns whether it did.

        The chunk is written to the transport directly: `write` of the response
        is a coroutine and costs as much as the rest of relaying a token.
        """
        request = self._request
        transport = request.transport
        if transport is None or transport.is_closing():
            return False
        if request.protocol.writing_paused or not self._is_chunked:
            return False
        transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        return True
