"""One try of a request at one upstream, ended by a verdict.

Whether the request may have run is decided here and nowhere else. Before its
first byte is written it has not. After that only the upstream's own refusal
proves it; a reset, a close or silence proves nothing.
"""

import asyncio
from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import EventFramer
from hollyknot_gateway._caller_connection import Reply
from hollyknot_gateway._headers import end_to_end
from hollyknot_gateway._ports import Dialect, Headers
from hollyknot_gateway._upstream_connection import (
    Head,
    Lost,
    UpstreamConnection,
)
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import AnswerTraits

BUFFERED_BYTES = 1_048_576
"""A whole answer up to this size is read before the caller gets any of it, so
that a truncated one can be tried elsewhere and never looks whole."""

_OK = 200
_ERRORS = 300
_SERVER_ERROR = 500
_PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run."""

_ENCODING = "Content-Encoding"

_REASONS = {
    Lost.CLOSED: Reason.UPSTREAM_LOST,
    Lost.RESET: Reason.UPSTREAM_LOST,
    Lost.TRUNCATED: Reason.TRUNCATED,
    Lost.GARBLED: Reason.TRUNCATED,
}


@attrs.frozen
class Answer:
    """An upstream's whole answer.

    Attributes:
        status: The HTTP status.
        headers: Those that the caller gets.
        body: All of it.
    """

    status: int
    headers: Headers
    body: bytes


@attrs.frozen
class Result:
    """What became of a try.

    Attributes:
        verdict: Whether it ran.
        answer: To be handed on; None if there is none, or if it has been
            relayed.
        first_s: Seconds from the sending to the head of the answer, of a
            stream to its first event; 0 if it never came.
        gap_s: The longest pause between two parts of a stream.
        intervals: How many pauses there were.
        is_other_upstream: Whether another incarnation has the address.
        took_s: Seconds from the sending to the end of the try.
    """

    verdict: Verdict
    answer: Answer | None = None
    first_s: float = 0.0
    gap_s: float = 0.0
    intervals: int = 0
    is_other_upstream: bool = False
    took_s: float = 0.0


@attrs.define
class StreamState:
    """What a caller has got of a stream, over all tries of its request.

    Attributes:
        cutter: Holds back torn events.
        resumes_after: The last event before this try; empty for none.
    """

    cutter: EventFramer = attrs.Factory(EventFramer)
    resumes_after: str = ""


class Exchange:
    """Takes the answer of one try."""

    def __init__(
        self,
        dialect: Dialect,
        attempt_id: str,
        reply: Reply,
        stream: StreamState,
        connection: UpstreamConnection,
        clock: Callable[[], float],
        on_first_event: Callable[[], None],
        on_interval: Callable[[float], None],
        on_traits: Callable[[AnswerTraits, float], None],
    ) -> None:
        """Waits for the answer.

        Args:
            dialect: Reads the answer's head.
            attempt_id: Which request the answer has to be for.
            reply: Takes a stream as it comes.
            stream: What the caller has got of it so far.
            connection: Held back while the caller is slow.
            clock: The loop's monotonic clock, in seconds.
            on_first_event: Told when the first event of a stream is in.
            on_interval: Told the seconds between two parts of a stream.
            on_traits: Told what the answer's head says, and when the request
                was sent.
        """
        self._dialect = dialect
        self._attempt_id = attempt_id
        self._reply = reply
        self._stream = stream
        self._connection = connection
        self._clock = clock
        self._on_first_event = on_first_event
        self._on_interval = on_interval
        self._on_traits = on_traits
        self._head: Head | None = None
        self._traits: AnswerTraits | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._sent_s = clock()
        self._first_s = 0.0
        self._gap_s = 0.0
        self._intervals = 0
        self._last_byte_s = self._sent_s
        self._is_relayed = False
        self._is_large = False
        self._is_held = False
        self._resumer: asyncio.Task[None] | None = None
        self.done: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def connection(self) -> UpstreamConnection:
        """The connection that the answer comes on."""
        return self._connection

    @property
    def last_byte_s(self) -> float:
        """When something last arrived, or when the try began."""
        return self._last_byte_s

    @property
    def has_head(self) -> bool:
        """Whether the upstream has begun to answer."""
        return self._head is not None

    def on_head(self, head: Head) -> None:
        """Takes the head of the answer."""
        self._head = head
        self._last_byte_s = self._clock()
        self._first_s = self._last_byte_s - self._sent_s
        traits = self._dialect.read_answer(head.status, head.fields)
        self._traits = traits
        self._connection.keeps_s = traits.keeps_s
        theirs = traits.attempt_id
        if theirs and theirs != self._attempt_id:
            # The answer to a request before this one, come late. What this
            # request did is not known.
            self._reject("the answer names another request")
            return
        self._on_traits(traits, self._sent_s)
        if _ENCODING in head.fields:
            self._reject("the body was encoded on its way")
        elif head.status == _OK and traits.is_event_stream:
            self._is_relayed = traits.is_sealed or self._reply.has_begun
            if not self._is_relayed:
                self._reject("the stream has no proof of origin")
        elif self._reply.has_begun and not traits.is_refusal:
            self._reject("no stream to go on with")

    def on_data(self, data: bytes) -> None:
        """Takes a part of the body."""
        now_s = self._clock()
        if self._is_relayed and self._reply.has_begun:
            interval_s = now_s - self._last_byte_s
            self._gap_s = max(self._gap_s, interval_s)
            self._intervals += 1
            self._on_interval(interval_s)
        self._last_byte_s = now_s
        if self.done.done():
            return
        if self._is_relayed:
            self._relay(data)
            return
        if self._is_large:
            self._pass_on(data)
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > BUFFERED_BYTES:
            self._begin_large()

    def on_end(self) -> None:
        """The answer is whole."""
        if self.done.done():
            return
        if self._is_relayed:
            self._end_stream()
            return
        if self._is_large:
            self._reply.finish()
            self._set(self._result(Outcome.COMPLETE, Reason.NONE, _OK))
            return
        assert self._head is not None
        assert self._traits is not None
        self._set(self._judge(self._head, self._traits))

    def give_up(self) -> None:
        """Ends a try that has been silent for too long."""
        self._fail(Reason.UPSTREAM_SILENT, "no byte in time")

    def so_far(self, verdict: Verdict) -> Result:
        """Returns the result of a try that ends before its answer does."""
        return self._ended(verdict, None)

    def on_lost(self, lost: Lost) -> None:
        """The answer will not be whole."""
        self._fail(_REASONS[lost], lost.value)

    def _judge(self, head: Head, traits: AnswerTraits) -> Result:
        status = head.status
        if traits.is_refusal:
            return attrs.evolve(
                self._result(Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED, status),
                is_other_upstream=traits.is_other_upstream,
            )
        if not traits.is_sealed and status < _ERRORS:
            return self._result(
                Outcome.MAY_HAVE_RUN,
                Reason.UPSTREAM_ERROR,
                status,
                detail="a success without proof of origin",
            )
        if status in _PROMISES:
            # It gives no proof, so that handing it on would be a promise that
            # nobody can keep.
            return self._result(
                Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_ERROR, status
            )
        answer = Answer(status, end_to_end(head.headers), b"".join(self._parts))
        if status >= _SERVER_ERROR:
            return self._result(
                Outcome.FAILED, Reason.UPSTREAM_ERROR, status, answer
            )
        return self._result(Outcome.COMPLETE, Reason.NONE, status, answer)

    def _result(
        self,
        outcome: Outcome,
        reason: Reason,
        status: int,
        answer: Answer | None = None,
        detail: str = "",
    ) -> Result:
        verdict = Verdict(outcome, reason, detail, upstream_status=status)
        return self._ended(verdict, answer)

    def _ended(self, verdict: Verdict, answer: Answer | None) -> Result:
        return Result(
            verdict,
            answer,
            first_s=self._first_s,
            gap_s=self._gap_s,
            intervals=self._intervals,
            took_s=self._clock() - self._sent_s,
        )

    def _relay(self, data: bytes) -> None:
        whole = self._stream.cutter.feed(data)
        if not whole:
            return
        self._pass_on(whole)

    def _pass_on(self, data: bytes) -> None:
        assert self._head is not None
        if not self._reply.has_begun:
            self._first_s = self._clock() - self._sent_s
            self._on_first_event()
            self._reply.start(
                self._head.status, end_to_end(self._head.headers), data
            )
        else:
            self._reply.write(data)
        if self._reply.is_slow and not self._is_held:
            self._is_held = True
            self._connection.hold()
            self._resumer = asyncio.ensure_future(self._go_on_when_drained())

    async def _go_on_when_drained(self) -> None:
        await self._reply.drained()
        self._is_held = False
        self._connection.go_on()

    def _begin_large(self) -> None:
        """Relays an answer that is too large to be held."""
        assert self._head is not None
        assert self._traits is not None
        if not self._traits.is_sealed or self._head.status in _PROMISES:
            self._reject("a large answer without proof of origin")
            self._connection.abandon()
            return
        data = b"".join(self._parts)
        self._parts.clear()
        self._is_large = True
        self._pass_on(data)

    def _end_stream(self) -> None:
        if self._stream.cutter.has_partial_event:
            self._fail(Reason.TRUNCATED, "the stream ended within an event")
            return
        if rest := self._stream.cutter.flush():
            self._pass_on(rest)
        if not self._reply.has_begun:
            self._pass_on(b"")
        self._reply.finish()
        self._set(self._result(Outcome.COMPLETE, Reason.NONE, _OK))

    def _reject(self, detail: str) -> None:
        """Ends a try whose answer must not reach the caller."""
        self._fail(Reason.UPSTREAM_ERROR, detail)

    def _fail(self, reason: Reason, detail: str) -> None:
        status = self._head.status if self._head is not None else 0
        self._set(
            self._result(Outcome.MAY_HAVE_RUN, reason, status, detail=detail)
        )

    def _set(self, result: Result) -> None:
        if not self.done.done():
            self.done.set_result(result)
