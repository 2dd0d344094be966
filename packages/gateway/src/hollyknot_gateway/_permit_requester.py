"""Carries a host's questions for permits, and its answers as an issuer."""

import asyncio
from collections.abc import Callable, Iterable

from hollyknot_coordination.forwarding import (
    PERMIT_ANSWER_TIMEOUT_S,
    PermitRequest,
    Permits,
    Queries,
    ReportRate,
)
from hollyknot_gateway._log import Log
from hollyknot_gateway._reports import PermitMessage, encode_message
from hollyknot_state import Address, PermitQuery
from hollyknot_state.routes import UpstreamEntry


class PermitRequester:
    """The messages about permits between one host and the others."""

    def __init__(
        self,
        permits: Permits,
        rate: ReportRate,
        send: Callable[[bytes, list[Address]], None],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Wires the parts.

        Args:
            permits: Decides what is asked and answered.
            rate: Counts what is sent.
            send: Sends a datagram to some hosts.
            log: Told of hosts that do not answer.
            clock: The loop's monotonic clock, in seconds.
        """
        self._permits = permits
        self._rate = rate
        self._send = send
        self._log = log
        self._clock = clock

    async def ask(self, entry: UpstreamEntry, *, is_least_urgent: bool) -> bool:
        """Asks for a permit to send a request to an upstream.

        Returns:
            Whether it may be sent.
        """
        request, queries = self._permits.ask(
            entry, self._clock(), is_least_urgent=is_least_urgent
        )
        answered = asyncio.Event()
        request.on_done = answered.set
        try:
            while request.is_issued is None:
                self._put_all(queries)
                try:
                    async with asyncio.timeout(PERMIT_ANSWER_TIMEOUT_S):
                        await answered.wait()
                except TimeoutError:
                    queries = self._overdue(request)
            return request.is_issued
        finally:
            self._permits.drop(request)

    def _overdue(self, request: PermitRequest) -> Queries:
        """Returns what is to be sent after an answer that has not come."""
        silent, queries = self._permits.handle_timeout(request, self._clock())
        if silent is not None:
            self._log.line("tracker_silent", tracker=str(silent.address))
        return queries

    def take(self, message: PermitMessage, sender: Address) -> None:
        """Takes a message, as an issuer or as one who asked."""
        now_s = self._clock()
        if isinstance(message, PermitQuery):
            self._put(self._permits.answer(message, now_s), sender)
        else:
            self._put_all(self._permits.handle_answer(message, now_s))

    def _put_all(self, queries: Iterable[tuple[Address, PermitQuery]]) -> None:
        for address, query in queries:
            self._put(query, address)

    def _put(self, message: PermitMessage, address: Address) -> None:
        data = encode_message(message)
        self._send(data, [address])
        self._rate.spend_on_queries(len(data))
