"""Reads and writes the frames of a link over a TCP or TLS connection."""

import asyncio
import collections
import socket
import ssl

import attrs

from hollyknot_protocol import FrameParser, Side
from hollyknot_state import Address

_READ_BYTES = 65_536
_TCP_USER_TIMEOUT_MS = 10_000
"""Time after which the kernel ends a connection whose sent bytes were not
acknowledged."""


class StreamEndedError(Exception):
    """The peer closed the connection, or the connection failed."""


class FrameStream:
    """Carries frames over a connection.

    One task may read while another writes.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        ip: str,
        limit: int,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._ip = ip
        self._parser = FrameParser(limit)
        self._bodies: collections.deque[bytes] = collections.deque()

    @property
    def ip(self) -> str:
        """The IP address of the peer."""
        return self._ip

    def set_max_frame_bytes(self, limit: int) -> None:
        """Sets the largest frame body accepted from now on, in bytes."""
        self._parser.limit = limit

    async def read_frames(self) -> list[bytes]:
        """Returns the bodies of the frames that arrived next.

        The list is empty if the bytes that arrived complete no frame.

        Raises:
            StreamEndedError: The connection ended.
            FrameError: The length of a frame is not allowed.
        """
        if self._bodies:
            bodies = list(self._bodies)
            self._bodies.clear()
            return bodies
        try:
            data = await self._reader.read(_READ_BYTES)
        except OSError as error:
            raise StreamEndedError(str(error)) from error
        if not data:
            raise StreamEndedError("the peer closed the connection")
        return self._parser.feed(data)

    async def read_frame(self) -> bytes:
        """Returns the body of the next frame.

        The errors are those of `read_frames`.
        """
        while not self._bodies:
            self._bodies.extend(await self.read_frames())
        return self._bodies.popleft()

    async def write(self, data: bytes) -> None:
        """Writes whole frames; waits while the send buffer is full.

        Raises:
            StreamEndedError: The connection ended.
        """
        try:
            self._writer.write(data)
            await self._writer.drain()
        except (OSError, RuntimeError) as error:
            raise StreamEndedError(str(error)) from error

    def abort(self) -> None:
        """Closes the connection at once and discards unsent bytes."""
        self._writer.transport.abort()


@attrs.frozen
class StreamOptions:
    """Options of a new connection.

    Attributes:
        tls: The TLS context; None for plain TCP.
        tls_handshake_s: Longest TLS handshake, in seconds.
        limit: Largest frame body accepted until `set_max_frame_bytes` is
            called, in bytes.
    """

    tls: ssl.SSLContext | None
    tls_handshake_s: float
    limit: int


async def dial_stream(address: Address, options: StreamOptions) -> FrameStream:
    """Opens a connection to an address and returns its stream.

    Raises:
        OSError: The connection or its TLS handshake failed.
    """
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    connection = socket.socket(family, socket.SOCK_STREAM)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(connection, (address.ip, address.port))
    except BaseException:
        connection.close()
        raise
    return await _make_stream(connection, address.ip, options, Side.DIALLER)


async def accept_stream(
    connection: socket.socket, ip: str, options: StreamOptions
) -> FrameStream:
    """Returns the stream of an accepted connection.

    Raises:
        OSError: The TLS handshake failed.
    """
    return await _make_stream(connection, ip, options, Side.ACCEPTER)


async def _make_stream(
    connection: socket.socket, ip: str, options: StreamOptions, side: Side
) -> FrameStream:
    """Wraps a connection in a stream; closes the connection on failure."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=_READ_BYTES, loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    tls_handshake_s = None if options.tls is None else options.tls_handshake_s
    try:
        # By default the kernel resends unacknowledged bytes for about 15
        # minutes, during which a link with only one-way messages to send
        # would seem alive. With this option the kernel ends the connection
        # sooner, and the link needs no messages of its own to find out.
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
        )
        if side is Side.ACCEPTER:
            transport, _ = await loop.connect_accepted_socket(
                lambda: protocol,
                connection,
                ssl=options.tls,
                ssl_handshake_timeout=tls_handshake_s,
            )
        else:
            transport, _ = await loop.create_connection(
                lambda: protocol,
                sock=connection,
                ssl=options.tls,
                server_hostname=None if options.tls is None else ip,
                ssl_handshake_timeout=tls_handshake_s,
            )
    except BaseException:
        connection.close()
        raise
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return FrameStream(reader, writer, ip, options.limit)
