"""Encodes, sends and receives the datagrams that hosts exchange.

Reports are datagrams because a late report is worthless: a connection would
still deliver it, and may itself hang without a sign.
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
from hollyknot_state import (
    Address,
    CachedNote,
    CacheSearch,
    EvidenceAnswer,
    EvidenceQuery,
    HostReport,
    HostsNote,
    HostsQuery,
    LoadAnswer,
    LoadNote,
    LoadQuery,
    PermitAnswer,
    PermitQuery,
    SuspectNews,
    TrialAnswer,
    TrialQuery,
    UpstreamUse,
    UseReport,
    VersionAnswer,
    VersionNote,
    VersionQuery,
)

MAX_DATAGRAM_BYTES = 1400
"""Largest datagram, so that it fits into one packet. A larger report is reduced
by leaving out, in this order, what does the least harm if it comes late: cached
prompt prefixes, the less busy upstreams, rate limits, and most suspects."""

MAX_USES = 48
"""Largest number of upstreams in a reduced report, at some 14 bytes each."""

_LENGTH = struct.Struct(">H")
"""Length of the packed uses. It precedes them; the rest of the message follows
them in thrift's encoding."""

Report = HostReport | UseReport
"""A report of a host's own state to its peers."""

LoadMessage = LoadNote | LoadQuery | LoadAnswer
"""A message to or from a tracker."""

PermitMessage = PermitQuery | PermitAnswer
"""A message to or from an issuer of permits."""

MAX_SUSPECTS = 16
"""Largest number of suspects in a reduced report."""

VersionMessage = VersionNote | VersionQuery | VersionAnswer
"""A message about the versions that began streams."""

CacheMessage = CacheSearch | CachedNote
"""A message about the parts of prompts that upstreams hold."""

HostsMessage = HostsQuery | HostsNote
"""A message about which hosts there are."""

TrialMessage = TrialQuery | TrialAnswer
"""A message about trials of what may crash upstreams."""

EvidenceMessage = EvidenceQuery | EvidenceAnswer
"""A message by which a host learns what may crash upstreams."""

Message = (
    Report
    | LoadMessage
    | PermitMessage
    | SuspectNews
    | VersionMessage
    | CacheMessage
    | HostsMessage
    | TrialMessage
    | EvidenceMessage
)
"""Any message that hosts send each other in a datagram."""

_TAGS: dict[type[Message], bytes] = {
    HostReport: b"h",
    UseReport: b"u",
    LoadNote: b"n",
    LoadQuery: b"q",
    LoadAnswer: b"a",
    PermitQuery: b"p",
    PermitAnswer: b"r",
    SuspectNews: b"s",
    VersionNote: b"v",
    VersionQuery: b"w",
    VersionAnswer: b"x",
    TrialQuery: b"t",
    TrialAnswer: b"y",
    EvidenceQuery: b"e",
    EvidenceAnswer: b"f",
    CacheSearch: b"c",
    CachedNote: b"d",
    HostsQuery: b"g",
    HostsNote: b"k",
}
_WITHOUT_USES = (
    LoadQuery,
    PermitQuery,
    PermitAnswer,
    SuspectNews,
    VersionNote,
    VersionQuery,
    VersionAnswer,
    TrialQuery,
    TrialAnswer,
    EvidenceQuery,
    EvidenceAnswer,
    CacheSearch,
    CachedNote,
    HostsQuery,
    HostsNote,
)
_CLASSES = {tag: kind for kind, tag in _TAGS.items()}


def encode_report(report: Report) -> bytes:
    """Returns a report as a datagram, reduced if it would be too large."""
    data = encode_message(report)
    for reduce_report in _REDUCTIONS:
        if len(data) <= MAX_DATAGRAM_BYTES:
            break
        report = reduce_report(report)
        data = encode_message(report)
    return data


def _busiest(uses: tuple[UpstreamUse, ...]) -> tuple[UpstreamUse, ...]:
    """Returns the uses of the upstreams with the most waiting tokens."""
    busiest = heapq.nlargest(
        MAX_USES, uses, key=lambda use: sum(use.waiting_tokens)
    )
    return tuple(busiest)


_REDUCTIONS: tuple[Callable[[Report], Report], ...] = (
    lambda report: attrs.evolve(report, held=()),
    lambda report: attrs.evolve(report, uses=_busiest(report.uses)),
    lambda report: attrs.evolve(report, limits=()),
    lambda report: attrs.evolve(
        report,
        suspects=report.suspects[:MAX_SUSPECTS],
        parts=report.parts[:MAX_SUSPECTS],
    ),
)
"""Steps that reduce a report, in the order in which they are applied."""


def decode_message(data: bytes) -> Message:
    """Returns the message that a datagram holds.

    Raises:
        MalformedMessageError: The datagram holds no valid message.
        UnknownValueError: The message holds a value that is unknown here.
    """
    kind = _CLASSES.get(data[:1])
    if kind is None or len(data) <= _LENGTH.size:
        raise MalformedMessageError(
            f"no message in a datagram of {len(data)} bytes, tag {data[:1]!r}"
        )
    (length,) = _LENGTH.unpack_from(data, 1)
    rest = 1 + _LENGTH.size + length
    uses = unpack_uses(data[1 + _LENGTH.size : rest])
    message = decode_as(kind, data[rest:])
    if isinstance(message, _WITHOUT_USES):
        return message
    return attrs.evolve(message, uses=uses)


def encode_message(message: Message) -> bytes:
    """Returns a message as a datagram: its tag, packed uses, and the rest."""
    uses = b""
    if not isinstance(message, _WITHOUT_USES):
        uses = pack_uses(message.uses)
        message = attrs.evolve(message, uses=())
    rest = encode(message)
    return _TAGS[type(message)] + _LENGTH.pack(len(uses)) + uses + rest


class ReportSocket(asyncio.DatagramProtocol):
    """Sends and receives the messages of hosts over one UDP socket."""

    def __init__(
        self, deliver: Callable[[Message, Address], None], log: Log
    ) -> None:
        """Builds a socket that is not open yet.

        Args:
            deliver: Called with each received message and its sender's address.
            log: Logs datagrams that hold no valid message.
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
        """Sends a datagram to some hosts, without notice of its delivery."""
        if self._transport is None:
            return
        for address in addresses:
            self._transport.sendto(data, (address.ip, address.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the opened socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Decodes and delivers a datagram, which any process may have sent."""
        try:
            message = decode_message(data)
        except (MalformedMessageError, UnknownValueError) as error:
            self._log.line("bad_report", sender=addr[0], reason=repr(error))
            return
        self._deliver(message, Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Logs a failed send, such as to a closed port.

        Nothing else follows from it: such a peer is noticed by its silence.
        """
        self._log.line("report_not_sent", reason=repr(exc))
