"""Carries a host's questions to the trackers of upstreams, and its answers."""

import asyncio
from collections.abc import Callable, Sequence

from hollyknot_coordination.forwarding import (
    ANSWER_TIMEOUT_S,
    Inquiries,
    ReportRate,
)
from hollyknot_gateway._log import Log
from hollyknot_gateway._reports import LoadMessage, encode_message
from hollyknot_state import Address, LoadNote, LoadQuery
from hollyknot_state.routes import UpstreamEntry


class Inquirer:
    """The messages between one host and the trackers that it knows."""

    def __init__(
        self,
        inquiries: Inquiries,
        rate: ReportRate,
        send: Callable[[bytes, list[Address]], None],
        entry_of: Callable[[str], UpstreamEntry | None],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Wires the parts.

        Args:
            inquiries: Decides what is asked and told.
            rate: What may be sent.
            send: Sends a datagram to some hosts.
            entry_of: Returns a known upstream by its incarnation.
            log: Told of trackers that do not answer.
            clock: The loop's monotonic clock, in seconds.
        """
        self._inquiries = inquiries
        self._rate = rate
        self._send = send
        self._entry_of = entry_of
        self._log = log
        self._clock = clock
        self._is_telling = False

    async def ask(
        self, entries: Sequence[UpstreamEntry], runs: tuple[int, ...]
    ) -> bool:
        """Asks for the loads of some upstreams, and waits for the answers.

        Returns:
            Whether all that was asked for is known; if not, some loads are
            those that reports told.
        """
        now_s = self._clock()
        if not entries:
            return False
        inquiry = self._inquiries.ask(entries, runs, now_s)
        if not inquiry.sent:
            return True
        answered = asyncio.Event()
        inquiry.on_done = answered.set
        for tracker, query in inquiry.sent:
            self._put(query, tracker.address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await answered.wait()
            return True
        except TimeoutError:
            return False
        finally:
            for tracker in self._inquiries.give_up(inquiry, self._clock()):
                self._log.line("tracker_silent", tracker=str(tracker.address))

    def take(self, message: LoadMessage, sender: Address) -> None:
        """Takes a message, as a tracker or as one who asked."""
        now_s = self._clock()
        if isinstance(message, LoadNote):
            self._inquiries.handle_note(message, now_s)
        elif isinstance(message, LoadQuery):
            self._put(self._inquiries.answer(message, now_s), sender)
        else:
            self._inquiries.handle_answer(message, now_s)

    def tell_soon(self) -> None:
        """Tells trackers of work that has just changed.

        Once for all changes of one turn of the loop: a request that ends often
        makes place for the next.
        """
        if not self._is_telling:
            self._is_telling = True
            asyncio.get_running_loop().call_soon(self.tell)

    def tell(self) -> None:
        """Tells trackers of work that has changed, and now and then of all."""
        self._is_telling = False
        notes = self._inquiries.notes(self._entry_of, self._clock())
        for tracker, note in notes:
            self._put(note, tracker.address)

    def _put(self, message: LoadMessage, address: Address) -> None:
        data = encode_message(message)
        self._send(data, [address])
        self._rate.spend_on_queries(len(data))
