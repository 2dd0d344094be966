"""Sends a host's load queries to trackers, and answers those of its peers."""

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
    """Exchanges load queries, answers and notes with trackers."""

    def __init__(
        self,
        inquiries: Inquiries,
        rate: ReportRate,
        send: Callable[[bytes, list[Address]], None],
        entry_of: Callable[[str], UpstreamEntry | None],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Builds an inquirer that has sent nothing yet.

        Args:
            inquiries: Decides which queries, answers and notes are sent.
            rate: Byte budget that all sent messages are charged to.
            send: Sends a datagram to the given hosts.
            entry_of: Returns a known upstream by its incarnation.
            log: Logs trackers that do not answer.
            clock: The loop's monotonic clock, in seconds.
        """
        self._inquiries = inquiries
        self._rate = rate
        self._send = send
        self._entry_of = entry_of
        self._log = log
        self._clock = clock
        self._is_send_scheduled = False

    async def ask(
        self, entries: Sequence[UpstreamEntry], runs: tuple[int, ...]
    ) -> bool:
        """Asks trackers for the loads of upstreams and waits for the answers.

        Args:
            entries: The upstreams.
            runs: Short names of the prefixes of the request's prompt.

        Returns:
            Whether all loads are known from trackers; if not, some are only
            known from reports.
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
            self._send_message(query, tracker.address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await answered.wait()
            return True
        except TimeoutError:
            return False
        finally:
            for tracker in self._inquiries.give_up(inquiry, self._clock()):
                self._log.line("tracker_silent", tracker=str(tracker.address))

    def handle(self, message: LoadMessage, sender: Address) -> None:
        """Handles a message, either as a tracker or as the querying host."""
        now_s = self._clock()
        if isinstance(message, LoadNote):
            self._inquiries.handle_note(message, now_s)
        elif isinstance(message, LoadQuery):
            self._send_message(self._inquiries.answer(message, now_s), sender)
        else:
            self._inquiries.handle_answer(message, now_s)

    def schedule_notes(self) -> None:
        """Schedules notes to trackers about in-flight work that has changed.

        Notes are sent once for all changes of one iteration of the event loop:
        a request that ends often makes room for the next one.
        """
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            asyncio.get_running_loop().call_soon(self.send_notes)

    def send_notes(self) -> None:
        """Sends notes to trackers: changed work, and periodically all work."""
        self._is_send_scheduled = False
        notes = self._inquiries.notes(self._entry_of, self._clock())
        for tracker, note in notes:
            self._send_message(note, tracker.address)

    def _send_message(self, message: LoadMessage, address: Address) -> None:
        data = encode_message(message)
        self._send(data, [address])
        self._rate.spend_on_queries(len(data))
