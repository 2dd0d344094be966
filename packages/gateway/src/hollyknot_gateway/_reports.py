"""Sends and takes the reports that hosts give each other, as datagrams.

Datagrams, since a report that is late is worth nothing: a connection would
send it all the same, and may itself fall silent without a sign.
"""

import asyncio
import heapq
import struct
from collections.abc import Callable, Sequence
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
from hollyknot_state import (
    Address,
    HostReport,
    LoadAnswer,
    LoadNote,
    LoadQuery,
    PermitAnswer,
    PermitQuery,
    SuspectNews,
    SuspectRecord,
    UpstreamUse,
    UseReport,
)

MAX_DATAGRAM_BYTES = 1400
"""Fits into one packet. From a report that doesn't is left out, in this order,
what does the least harm where it comes late: cached parts, upstreams that are
not the busiest, limits, and most of the suspects."""

MAX_USES = 48
"""Upstreams in such a report, of some 14 bytes each."""

_LENGTH = struct.Struct(">H")
"""Of the packed uses, before them; thrift's bytes of the rest follow."""

Report = HostReport | UseReport
"""What a host tells its peers of itself."""

LoadMessage = LoadNote | LoadQuery | LoadAnswer
"""What trackers are told and asked."""

PermitMessage = PermitQuery | PermitAnswer
"""What issuers of permits are asked."""

MAX_SUSPECTS = 16
"""Suspects in a report that is too large with all of them."""

Message = Report | LoadMessage | PermitMessage | SuspectNews
"""All that hosts send each other in datagrams."""

_TAGS: dict[type[Message], bytes] = {
    HostReport: b"h",
    UseReport: b"u",
    LoadNote: b"n",
    LoadQuery: b"q",
    LoadAnswer: b"a",
    PermitQuery: b"p",
    PermitAnswer: b"r",
    SuspectNews: b"s",
}
_WITHOUT_USES = (LoadQuery, PermitQuery, PermitAnswer, SuspectNews)
_CLASSES = {tag: kind for kind, tag in _TAGS.items()}


def encode_report(report: Report) -> bytes:
    """Returns a report as a datagram, with less in it if it is too large."""
    data = encode_message(report)
    for reduce_report in _REDUCTIONS:
        if len(data) <= MAX_DATAGRAM_BYTES:
            break
        report = reduce_report(report)
        data = encode_message(report)
    return data


def _busiest(uses: tuple[UpstreamUse, ...]) -> tuple[UpstreamUse, ...]:
    """Returns the upstreams with the most tokens that wait."""
    busiest = heapq.nlargest(
        MAX_USES, uses, key=lambda use: sum(use.waiting_tokens)
    )
    return tuple(busiest)


_REDUCTIONS: tuple[Callable[[Report], Report], ...] = (
    lambda report: attrs.evolve(report, held=()),
    lambda report: attrs.evolve(report, uses=_busiest(report.uses)),
    lambda report: attrs.evolve(report, limits=()),
    lambda report: attrs.evolve(
        report, suspects=report.suspects[:MAX_SUSPECTS]
    ),
)
"""Makes a report smaller, step by step."""


def encode_suspect_news(records: Sequence[SuspectRecord]) -> bytes:
    """Returns as much evidence as one datagram holds, the first of it."""
    count = len(records)
    data = encode_message(SuspectNews(tuple(records)))
    while len(data) > MAX_DATAGRAM_BYTES:
        count = count * MAX_DATAGRAM_BYTES // len(data)
        data = encode_message(SuspectNews(tuple(records[:count])))
    return data


def decode_message(data: bytes) -> Message:
    """Returns the message that a datagram holds.

    Raises:
        MalformedMessageError: It holds none.
        UnknownValueError: It holds one that is not understood here.
    """
    kind = _CLASSES.get(data[:1])
    if kind is None or len(data) <= _LENGTH.size:
        raise MalformedMessageError("not a message")
    (length,) = _LENGTH.unpack_from(data, 1)
    rest = 1 + _LENGTH.size + length
    uses = unpack_uses(data[1 + _LENGTH.size : rest])
    message = decode_as(kind, data[rest:])
    if isinstance(message, _WITHOUT_USES):
        return message
    return attrs.evolve(message, uses=uses)


def encode_message(message: Message) -> bytes:
    """Returns a message as a datagram: its kind, its uses, and the rest."""
    uses = b""
    if not isinstance(message, _WITHOUT_USES):
        uses = pack_uses(message.uses)
        message = attrs.evolve(message, uses=())
    rest = encode(message)
    return _TAGS[type(message)] + _LENGTH.pack(len(uses)) + uses + rest


class ReportSocket(asyncio.DatagramProtocol):
    """The socket of reports."""

    def __init__(
        self, deliver: Callable[[Message, Address], None], log: Log
    ) -> None:
        """Not open yet.

        Args:
            deliver: Takes each message that arrives, and whence it came.
            log: Told of what is none.
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
        """Sends a message to some hosts; nobody learns whether it arrives."""
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
            message = decode_message(data)
        except (MalformedMessageError, UnknownValueError) as error:
            self._log.line("bad_report", sender=addr[0], reason=repr(error))
            return
        self._deliver(message, Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed; its silence tells that too."""
        self._log.line("report_not_sent", reason=repr(exc))
