"""A TCP or TLS connection that carries frames, owned by one link's tasks."""

import asyncio
import collections
import socket
import ssl

import attrs

from hollyknot_protocol import FrameParser, Side
from hollyknot_state import Address

_READ_BYTES = 65_536
_TCP_USER_TIMEOUT_MS = 10_000


class StreamEndedError(Exception):
    """The peer closed the connection, or it broke."""


class FrameStream:
    """Frames over a connection.

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
        """The peer's IP address."""
        return self._ip

    def set_max_frame_bytes(self, limit: int) -> None:
        """Sets the largest frame that is read from now on, in bytes."""
        self._parser.limit = limit

    async def read_frames(self) -> list[bytes]:
        """Returns the bodies of the next frames; empty if none is whole yet.

        Raises:
            StreamEndedError: The connection ended.
            FrameError: The peer claims a length that is not allowed.
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
            raise StreamEndedError("closed by the peer")
        return self._parser.feed(data)

    async def read_frame(self) -> bytes:
        """Returns the body of the next frame; errors as `read_frames`."""
        while not self._bodies:
            self._bodies.extend(await self.read_frames())
        return self._bodies.popleft()

    async def write(self, data: bytes) -> None:
        """Writes whole frames; waits while the peer does not take them.

        Raises:
            StreamEndedError: The connection ended.
        """
        try:
            self._writer.write(data)
            await self._writer.drain()
        except (OSError, RuntimeError) as error:
            raise StreamEndedError(str(error)) from error

    def abort(self) -> None:
        """Closes at once."""
        self._writer.transport.abort()


@attrs.frozen
class StreamOptions:
    """How a connection is set up.

    Attributes:
        tls: None for plain TCP.
        tls_handshake_s: Seconds for the handshake of TLS.
        limit: The largest frame that is read at first, in bytes.
    """

    tls: ssl.SSLContext | None
    tls_handshake_s: float
    limit: int


async def dial_stream(address: Address, options: StreamOptions) -> FrameStream:
    """Returns a new connection.

    Raises:
        OSError: It failed; TLS that failed is one of these too.
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
    """Returns the stream of a connection that was accepted.

    Raises:
        OSError: The handshake of TLS failed.
    """
    return await _make_stream(connection, ip, options, Side.ACCEPTER)


async def _make_stream(
    connection: socket.socket, ip: str, options: StreamOptions, side: Side
) -> FrameStream:
    """Takes the connection over: closes it if it raises."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=_READ_BYTES, loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    tls_handshake_s = None if options.tls is None else options.tls_handshake_s
    try:
        # Bytes that are never acknowledged would keep a link of one-way
        # messages alive for a quarter of an hour; the kernel ends it sooner,
        # without a byte of ours.
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
