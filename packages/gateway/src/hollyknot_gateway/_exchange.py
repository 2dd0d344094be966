"""Receives the answer to one try and decides whether the request has run.

That decision is made only here. Before the first byte of the request is written
it has not run. After that only a refusal by the upstream itself proves that it
has not; a reset, a close or silence proves nothing.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import attrs

from hollyknot_coordination.forwarding import EventFramer, is_number
from hollyknot_gateway._headers import end_to_end
from hollyknot_gateway._ports import Dialect, Headers
from hollyknot_gateway._reply import Reply
from hollyknot_gateway._upstream_connection import (
    Head,
    Lost,
    UpstreamConnection,
)
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import AnswerTraits, CallTraits

MAX_BUFFERED_BYTES = 1_048_576
"""An answer up to this size is read in full before any of it is sent to the
caller, so that after a truncated one the request can be tried elsewhere and
the caller never takes a truncated answer for a complete one."""

MAX_EVENT_BYTES = 1_048_576
"""Largest event of a stream. Events are held back until their end arrives, so a
larger one is treated as bytes without end."""

_OK = 200
_MIN_ERROR_STATUS = 300
_MIN_SERVER_ERROR_STATUS = 500
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which a caller concludes that its request has not run."""

_ENCODING = "Content-Encoding"
_LENGTH = "Content-Length"
_TRANSFER_ENCODING = "Transfer-Encoding"

_REASONS = {
    Lost.CLOSED: Reason.UPSTREAM_LOST,
    Lost.RESET: Reason.UPSTREAM_LOST,
    Lost.TRUNCATED: Reason.TRUNCATED,
    Lost.GARBLED: Reason.TRUNCATED,
    Lost.FLOODED: Reason.TRUNCATED,
}


@attrs.frozen
class Answer:
    """An upstream's complete answer.

    Attributes:
        status: The HTTP status.
        headers: The headers to forward to the caller.
        body: The complete body.
    """

    status: int
    headers: Headers
    body: bytes


@attrs.frozen
class Result:
    """The result of a try.

    Attributes:
        verdict: Whether the request ran, and why the try failed if it did.
        answer: The answer to forward; None if there is none or if it has been
            relayed already.
        first_s: Seconds from sending the request to the head of the answer,
            or to the first event of a stream; 0 if neither arrived.
        gap_s: The longest gap between two parts of a stream, in seconds.
        intervals: Number of observed gaps between parts of a stream.
        is_other_upstream: Whether another incarnation now has the address.
        took_s: Seconds from sending the request to the end of the try.
        is_reused: Whether the connection had carried other requests.
    """

    verdict: Verdict
    answer: Answer | None = None
    first_s: float = 0.0
    gap_s: float = 0.0
    intervals: int = 0
    is_other_upstream: bool = False
    took_s: float = 0.0
    is_reused: bool = False


Furthest = Callable[[int, bool], int | None]
"""Takes the number of the event to go on after, and whether the numbers of the
stream's events so far are known to go up by one."""


@attrs.define
class StreamState:
    """The part of a stream that the caller has received in all tries so far.

    Attributes:
        framer: Holds back events that are not complete yet.
        resumes_after: Id of the last event before this try; empty for none.
    """

    framer: EventFramer = attrs.Factory(EventFramer)
    resumes_after: str = ""

    def begin_try(
        self,
        call: CallTraits,
        *,
        must_be_numbered: bool = False,
        furthest: Furthest | None = None,
    ) -> None:
        """Expects the events of the next try of a call.

        Args:
            call: The call.
            must_be_numbered: Whether an event without a number is none.
            furthest: Returns the highest number that the first event may have,
                if that is known.
        """
        self.resumes_after = after = self.framer.last_id or call.last_event_id
        numbers = self.framer.numbers
        has_no_gaps = numbers is not None and numbers.step == 1
        limit = None
        if furthest is not None and is_number(after):
            limit = furthest(int(after), has_no_gaps)
        self.framer.resume(
            after, must_be_numbered=must_be_numbered, furthest=limit
        )


class Exchange:
    """Receives the answer to one try and sets its result."""

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
        has_crashed: Callable[[], Awaitable[bool]] | None = None,
    ) -> None:
        """Builds an exchange whose request is about to be sent.

        Args:
            dialect: Reads the answer's head.
            attempt_id: Id of the request that the answer has to name.
            reply: Writes a stream or a large answer to the caller.
            stream: The part of the stream that the caller has received.
            connection: The upstream's connection; paused while the caller is
                slow.
            clock: The loop's monotonic clock, in seconds.
            on_first_event: Called before the first event of a stream, or the
                first bytes of a large answer, are written to the caller.
            on_interval: Called with the seconds between two parts of a
                stream that hold whole events.
            on_traits: Called with what the answer's head says and the time at
                which the request was sent.
            has_crashed: Returns whether the upstream has ended unannounced;
                asked if the answer ends with its connection. None if that
                shows in the answer itself.
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
        self._has_crashed = has_crashed
        self._end_task: asyncio.Task[None] | None = None
        self._head: Head | None = None
        self._traits: AnswerTraits | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._sent_s = clock()
        self._first_s = 0.0
        self._gap_s = 0.0
        self._intervals = 0
        self._last_byte_s = self._sent_s
        self._last_event_s = self._sent_s
        self._is_relayed = False
        self._has_events = False
        self._is_unbuffered = False
        self._is_unwanted = False
        self._is_paused = False
        self._resume_task: asyncio.Task[None] | None = None
        self.done: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def connection(self) -> UpstreamConnection:
        """The connection to the upstream."""
        return self._connection

    @property
    def last_byte_s(self) -> float:
        """Time of the last byte or, before any arrives, of the try's start."""
        return self._last_byte_s

    @property
    def has_head(self) -> bool:
        """Whether the head of the answer has arrived."""
        return self._head is not None

    @property
    def _ends_before_it_begins(self) -> bool:
        """Whether a stream may have been broken off before its first event.

        The end of an answer with neither a length nor chunks looks like that of
        an upstream that crashes, in a resumed stream too.
        """
        assert self._head is not None
        fields = self._head.fields
        is_framed = _LENGTH in fields or _TRANSFER_ENCODING in fields
        return not is_framed and not self._has_events

    def on_head(self, head: Head) -> None:
        """Reads the head and rejects answers that must not be forwarded."""
        self._head = head
        self._last_byte_s = self._last_event_s = self._clock()
        self._first_s = self._last_byte_s - self._sent_s
        traits = self._dialect.read_answer(head.status, head.fields)
        self._traits = traits
        self._connection.keeps_s = traits.keeps_s
        if traits.attempt_id != self._attempt_id and (
            traits.attempt_id or not self._may_omit_id(traits)
        ):
            # This may be a late answer to an earlier request. Whether this
            # request ran is unknown, and its own answer may still follow.
            self.reject("the answer names another request or none")
            self._connection.abandon()
            return
        if _ENCODING in head.fields:
            self.reject("the body has a Content-Encoding")
            return
        if _is_believed(head, traits):
            self._on_traits(traits, self._sent_s)
        if head.status == _OK and traits.is_event_stream:
            self._is_relayed = traits.is_sealed
            if not self._is_relayed:
                self.reject("an event stream without proof of origin")
        elif self._cannot_go_on(head, traits):
            self.reject("the answer does not resume the caller's stream")

    def _cannot_go_on(self, head: Head, traits: AnswerTraits) -> bool:
        """Whether an answer that is no stream follows a part of one.

        A failure may be told to a caller that got its part in another answer.
        """
        if self._reply.has_begun:
            return not traits.is_refusal
        is_success = head.status < _MIN_ERROR_STATUS
        return is_success and bool(self._stream.resumes_after)

    def on_data(self, data: bytes) -> None:
        """Buffers or relays a part of the body."""
        self._last_byte_s = self._clock()
        if self.done.done():
            return
        if self._is_relayed:
            self._relay_events(data)
            return
        if self._is_unbuffered:
            self._write_to_caller(data)
            return
        if self._is_unwanted:
            return
        self._parts.append(data)
        self._size += len(data)
        self._reply.note_buffered(self._size)
        if self._size > MAX_BUFFERED_BYTES:
            self._start_unbuffered()

    def on_end(self) -> None:
        """Completes the try after the end of the answer."""
        if self._has_crashed is None or not self._connection.has_ended_answer:
            self._complete()
            return
        self._end_task = asyncio.ensure_future(
            self._complete_unless(self._has_crashed)
        )

    async def _complete_unless(
        self, has_crashed: Callable[[], Awaitable[bool]]
    ) -> None:
        """Completes the try unless the upstream has crashed.

        The connections of a process that crashes are closed as if it had ended
        its answers.
        """
        if await has_crashed():
            self._fail(Reason.UPSTREAM_LOST, "the upstream has ended as well")
        elif not self._reply.has_ended:
            self._complete()

    def _complete(self) -> None:
        if self.done.done():
            return
        if self._is_relayed:
            self._end_stream()
            return
        if self._is_unbuffered:
            self._reply.finish()
            self._set_result(self._result(Outcome.COMPLETE, Reason.NONE, _OK))
            return
        assert self._head is not None
        assert self._traits is not None
        self._set_result(self._classify(self._head, self._traits))

    def forget_body(self) -> None:
        """Keeps no body, as the caller has left; the end is still awaited."""
        self._is_unwanted = True
        self._parts.clear()

    def fail_as_silent(self) -> None:
        """Fails a try that has received nothing for too long."""
        self._fail(Reason.UPSTREAM_SILENT, "no byte in time")

    def partial_result(self, verdict: Verdict) -> Result:
        """Returns the result of a try that ends before its answer does."""
        return self._build_result(verdict, None)

    def reject(self, detail: str) -> None:
        """Fails a try whose answer must not reach the caller."""
        self._fail(Reason.UPSTREAM_ERROR, detail)

    def on_lost(self, lost: Lost) -> None:
        """Fails a try whose answer can't be completed."""
        self._fail(_REASONS[lost], lost.value)

    def _may_omit_id(self, traits: AnswerTraits) -> bool:
        """Whether an answer that names no request can be to this one only."""
        is_proved = traits.is_sealed or traits.is_refusal
        return is_proved and self._connection.requests == 1

    def _classify(self, head: Head, traits: AnswerTraits) -> Result:
        status = head.status
        if traits.is_refusal:
            return attrs.evolve(
                self._result(Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED, status),
                is_other_upstream=traits.is_other_upstream,
            )
        if not traits.is_sealed and status < _MIN_ERROR_STATUS:
            return self._result(
                Outcome.MAY_HAVE_RUN,
                Reason.UPSTREAM_ERROR,
                status,
                detail="a success status without proof of origin",
            )
        if status in _NOT_RUN_STATUSES:
            # Without proof, forwarding the status could wrongly tell the
            # caller that its request has not run.
            return self._result(
                Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_ERROR, status
            )
        answer = Answer(status, end_to_end(head.headers), b"".join(self._parts))
        if status >= _MIN_SERVER_ERROR_STATUS:
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
        return self._build_result(verdict, answer)

    def _build_result(self, verdict: Verdict, answer: Answer | None) -> Result:
        return Result(
            verdict,
            answer,
            first_s=self._first_s,
            gap_s=self._gap_s,
            intervals=self._intervals,
            took_s=self._clock() - self._sent_s,
            is_reused=self._connection.requests > 1,
        )

    def _relay_events(self, data: bytes) -> None:
        framer = self._stream.framer
        before = framer.events
        complete = framer.feed(data)
        if framer.events > before:
            self._note_event(is_first=not before)
        if complete:
            self._write_to_caller(complete)
        if framer.fault is not None:
            self.reject(framer.fault.value)
            self._connection.abandon()
        elif framer.partial_bytes > MAX_EVENT_BYTES:
            self._fail(Reason.TRUNCATED, Lost.FLOODED.value)
            framer.drop_partial()
            self._connection.abandon()

    def _note_event(self, *, is_first: bool) -> None:
        """Notes that the caller is about to get events.

        Args:
            is_first: Whether no try has brought any before.
        """
        now_s = self._last_byte_s
        self._has_events = True
        if is_first:
            self._first_s = now_s - self._sent_s
            self._on_first_event()
        else:
            interval_s = now_s - self._last_event_s
            self._gap_s = max(self._gap_s, interval_s)
            self._intervals += 1
            self._on_interval(interval_s)
        self._last_event_s = now_s

    def _write_to_caller(self, data: bytes) -> None:
        assert self._head is not None
        if not self._reply.has_begun:
            self._reply.start(
                self._head.status, end_to_end(self._head.headers), data
            )
        else:
            self._reply.write(data)
        if self._reply.is_slow and not self._is_paused:
            self._is_paused = True
            self._connection.pause()
            self._resume_task = asyncio.ensure_future(
                self._resume_when_drained()
            )

    async def _resume_when_drained(self) -> None:
        # A caller that has left takes nothing, and the answer may go on.
        with contextlib.suppress(ConnectionError):
            await self._reply.drained()
        self._is_paused = False
        self._connection.resume()

    def _start_unbuffered(self) -> None:
        """Starts to relay an answer that is too large to buffer."""
        assert self._head is not None
        assert self._traits is not None
        is_proved = self._traits.is_sealed and not self._traits.is_refusal
        if not is_proved or self._head.status in _NOT_RUN_STATUSES:
            self.reject("a large answer without proof of origin")
            self._connection.abandon()
            return
        parts, self._parts = self._parts, []
        self._is_unbuffered = True
        self._first_s = self._clock() - self._sent_s
        self._on_first_event()
        self._reply.note_buffered(0)
        for part in parts:
            self._write_to_caller(part)

    def _end_stream(self) -> None:
        if self._stream.framer.has_partial_event:
            self._fail(Reason.TRUNCATED, "the stream ended within an event")
            return
        if rest := self._stream.framer.flush():
            self._write_to_caller(rest)
        if self._ends_before_it_begins:
            self._fail(Reason.TRUNCATED, "the stream ended before an event")
            return
        if not self._reply.has_begun:
            self._write_to_caller(b"")
        self._reply.finish()
        self._set_result(self._result(Outcome.COMPLETE, Reason.NONE, _OK))

    def _fail(self, reason: Reason, detail: str) -> None:
        status = self._head.status if self._head is not None else 0
        self._set_result(
            self._result(Outcome.MAY_HAVE_RUN, reason, status, detail=detail)
        )

    def _set_result(self, result: Result) -> None:
        if self.done.done():
            return
        if self._size and result.answer is None:
            self._reply.note_buffered(0)
        self.done.set_result(result)


def _is_believed(head: Head, traits: AnswerTraits) -> bool:
    """Whether the notices in a head are taken for the upstream's.

    A success without proof of origin may come from anything at the upstream's
    address.
    """
    return traits.is_sealed or head.status >= _MIN_ERROR_STATUS
