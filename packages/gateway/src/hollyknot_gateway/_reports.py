"""Sends and takes the reports that hosts give each other, as datagrams.

Datagrams, since a report that is late is worth nothing: a connection would
send it all the same, and may itself fall silent without a sign.
"""

import asyncio
import heapq
import struct
from collections.abc import Callable
from typing import Any, cast

import attrs

from hollyknot_gateway._log import Log
from hollyknot_protocol import (
    MalformedMessageError,
    UnknownValueError,
    decode_as,
    encode,
    pack_uses,
    unpack_uses,
)
from hollyknot_state import Address, HostReport, UseReport

MAX_BYTES = 1400
"""Fits into one packet. A report that doesn't tells only of the busiest
upstreams, and neither of suspects nor of cached parts: the next one may be
shorter."""

MAX_USES = 48
"""Upstreams in such a report, of some 14 bytes each."""

_LENGTH = struct.Struct(">H")
"""Of the packed uses, before them; thrift's bytes of the rest follow."""

Report = HostReport | UseReport

_TAGS: dict[type[Report], bytes] = {HostReport: b"h", UseReport: b"u"}
_CLASSES = {tag: kind for kind, tag in _TAGS.items()}


def encode_report(report: Report) -> bytes:
    """Returns a report as a datagram: its kind, its uses, and the rest."""
    data = _encode(report)
    if len(data) > MAX_BYTES:
        busiest = heapq.nlargest(
            MAX_USES, report.uses, key=lambda use: sum(use.waiting_tokens)
        )
        data = _encode(
            attrs.evolve(report, uses=tuple(busiest), suspects=(), held=())
        )
    return data


def decode_report(data: bytes) -> Report:
    """Returns the report that a datagram holds.

    Raises:
        MalformedMessageError: It holds none.
        UnknownValueError: It holds one that is not understood here.
    """
    kind = _CLASSES.get(data[:1])
    if kind is None or len(data) <= _LENGTH.size:
        raise MalformedMessageError("not a report")
    (length,) = _LENGTH.unpack_from(data, 1)
    rest = 1 + _LENGTH.size + length
    uses = unpack_uses(data[1 + _LENGTH.size : rest])
    return attrs.evolve(decode_as(kind, data[rest:]), uses=uses)


def _encode(report: Report) -> bytes:
    uses = pack_uses(report.uses)
    rest = encode(attrs.evolve(report, uses=()))
    return _TAGS[type(report)] + _LENGTH.pack(len(uses)) + uses + rest


class ReportSocket(asyncio.DatagramProtocol):
    """The socket of reports."""

    def __init__(self, deliver: Callable[[Report], None], log: Log) -> None:
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

    def send(self, data: bytes, addresses: list[Address]) -> None:
        """Sends a report to some hosts; nobody learns whether it arrives."""
        if self._transport is None:
            return
        for address in addresses:
            self._transport.sendto(data, (address.ip, address.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Takes a datagram, which anybody may have sent."""
        try:
            report = decode_report(data)
        except (MalformedMessageError, UnknownValueError) as error:
            self._log.line("bad_report", sender=addr[0], reason=repr(error))
            return
        self._deliver(report)

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed; its silence tells that too."""
        self._log.line("report_not_sent", reason=repr(exc))
