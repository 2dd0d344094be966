"""Sends and takes the reports that hosts give each other, as datagrams.

Datagrams, since a report that is late is worth nothing: a connection would
send it all the same, and may itself fall silent without a sign.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import attrs

from hollyknot_gateway._log import Log
from hollyknot_protocol import (
    MalformedMessageError,
    UnknownValueError,
    decode_as,
    encode,
)
from hollyknot_state import Address, HostReport

MAX_BYTES = 1400
"""Fits into one packet; a report that doesn't is sent without its suspects."""


class ReportSocket(asyncio.DatagramProtocol):
    """The socket of reports."""

    def __init__(self, deliver: Callable[[HostReport], None], log: Log) -> None:
        """Not open yet.

        Args:
            deliver: Takes each report that arrives.
            log: Told of what is no report.
        """
        self._deliver = deliver
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Opens the socket.

        Raises:
            OSError: The address can't be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.ip, address.port)
        )

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, report: HostReport, addresses: list[Address]) -> None:
        """Sends a report to some hosts; nobody learns whether it arrives."""
        if self._transport is None or not addresses:
            return
        data = encode(report)
        if len(data) > MAX_BYTES:
            data = encode(attrs.evolve(report, suspects=(), contacts=()))
        for address in addresses:
            self._transport.sendto(data, (address.ip, address.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Takes a datagram, which anybody may have sent."""
        try:
            report = decode_as(HostReport, data)
        except (MalformedMessageError, UnknownValueError) as error:
            self._log.line("bad_report", sender=addr[0], reason=repr(error))
            return
        self._deliver(report)

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed; its silence tells that too."""
        self._log.line("report_not_sent", reason=repr(exc))
