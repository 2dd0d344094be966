"""Sends a host's permit queries, and answers those of its peers."""

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
    """Exchanges permit queries and answers with other hosts."""

    def __init__(
        self,
        permits: Permits,
        rate: ReportRate,
        send: Callable[[bytes, list[Address]], None],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Builds a requester that has sent nothing yet.

        Args:
            permits: Decides which queries and answers are sent.
            rate: Byte budget that all sent messages are charged to.
            send: Sends a datagram to the given hosts.
            log: Logs hosts that do not answer.
            clock: The loop's monotonic clock, in seconds.
        """
        self._permits = permits
        self._rate = rate
        self._send = send
        self._log = log
        self._clock = clock

    async def ask(self, entry: UpstreamEntry, *, is_least_urgent: bool) -> bool:
        """Asks for a permit to send a request to a rate-limited upstream.

        Args:
            entry: The upstream.
            is_least_urgent: Whether the request is among the least urgent of
                its service.

        Returns:
            Whether the request may be sent.
        """
        request, queries = self._permits.ask(
            entry, self._clock(), is_least_urgent=is_least_urgent
        )
        answered = asyncio.Event()
        request.on_done = answered.set
        try:
            while request.is_issued is None:
                self._send_queries(queries)
                try:
                    async with asyncio.timeout(PERMIT_ANSWER_TIMEOUT_S):
                        await answered.wait()
                except TimeoutError:
                    queries = self._handle_timeout(request)
            return request.is_issued
        finally:
            self._permits.drop(request)

    def _handle_timeout(self, request: PermitRequest) -> Queries:
        """Returns the queries to send after an answer has timed out."""
        silent, queries = self._permits.handle_timeout(request, self._clock())
        if silent is not None:
            self._log.line("tracker_silent", tracker=str(silent.address))
        return queries

    def handle(self, message: PermitMessage, sender: Address) -> None:
        """Handles a message, either as an issuer or as the querying host."""
        now_s = self._clock()
        if isinstance(message, PermitQuery):
            self._send_message(self._permits.answer(message, now_s), sender)
        else:
            self._send_queries(self._permits.handle_answer(message, now_s))

    def _send_queries(
        self, queries: Iterable[tuple[Address, PermitQuery]]
    ) -> None:
        for address, query in queries:
            self._send_message(query, address)

    def _send_message(self, message: PermitMessage, address: Address) -> None:
        data = encode_message(message)
        self._send(data, [address])
        self._rate.spend_on_queries(len(data))
