"""A TCP relay that forwards, holds or resets connections on command."""

import asyncio
import contextlib
import enum
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Iterable

IP = "127.0.0.1"
_CHUNK_BYTES = 65_536


class Flow(enum.Enum):
    """What a relay does with the bytes of a connection."""

    FORWARD = "forward"
    HOLD = "hold"
    """Bytes are read but kept back until the flow is `FORWARD` again."""

    CUT = "cut"
    """Open and new connections are reset."""


class Relay:
    """Forwards connections to one listener, with a flow for each source.

    The source of a connection is the host that its first bytes (a `Hello`)
    name.

    Attributes:
        target: Port of the listener; 0 while there is none.
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        """Builds a relay that forwards all connections.

        Args:
            names: Names of hosts that may connect; if one name is a prefix of
                another, the longer comes first. A connection that names
                none of them has the source "".
        """
        self.target = 0
        self._names = names
        self._flows: dict[str, Flow] = defaultdict(lambda: Flow.FORWARD)
        self._seen: dict[str, bytearray] = defaultdict(bytearray)
        self._hold_after: dict[str, bytes] = {}
        self._open: dict[asyncio.Task[None], str] = {}
        self._reset_counts: Counter[str] = Counter()
        self._changed = asyncio.Event()
        self._port = 0
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port on which the relay listens; 0 until it first listens."""
        return self._port

    @property
    def sources(self) -> set[str]:
        """Sources that have an open connection."""
        return set(self._open.values())

    def set(self, flow: Flow, *sources: str) -> None:
        """Sets the flow of sources; without any, that of the source ""."""
        for source in sources or ("",):
            self._flows[source] = flow
        if flow is Flow.CUT:
            for task, source in self._open.items():
                if self._flows[source] is Flow.CUT:
                    task.cancel()
        self._notify()

    def hold_after(self, pattern: bytes, source: str) -> None:
        """Holds a source's connections from when it has sent a pattern."""
        self._hold_after[source] = pattern

    def heal(self) -> None:
        """Forwards all connections again and discards the recorded bytes."""
        self._flows.clear()
        self._hold_after.clear()
        self._seen.clear()
        self._notify()

    def reset_count(self, source: str = "") -> int:
        """Returns how often a source's connection was reset while sending."""
        return self._reset_counts[source]

    def has_seen(self, pattern: bytes, source: str = "") -> bool:
        """Tells whether a source has sent a pattern, held or not."""
        return pattern in self._seen[source]

    async def until_seen(self, pattern: bytes, source: str = "") -> None:
        """Waits until a source has sent a pattern, held or not."""
        while not self.has_seen(pattern, source):
            await self._changed.wait()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["Relay"]:
        """Listens until the context ends."""
        await self.listen()
        try:
            yield self
        finally:
            self.refuse()
            for task in self._open:
                task.cancel()
            await asyncio.gather(*self._open, return_exceptions=True)

    async def listen(self) -> None:
        """Accepts connections; after `refuse`, on the same port as before."""
        if self._server is None:
            self._server = await asyncio.start_server(
                self._accept, IP, self._port
            )
            self._port = self._server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Closes the listener, so that new connections are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open[task] = ""
        try:
            await self._relay(task, reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            del self._open[task]

    async def _relay(
        self,
        task: asyncio.Task[None],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = await reader.read(_CHUNK_BYTES)
        source = next((n for n in self._names if n.encode() in head), "")
        self._open[task] = source
        self._record(source, head)
        await self._until_forward(source)
        target_streams = await asyncio.open_connection(IP, self.target)
        try:
            target_streams[1].write(head)
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._pump(source, reader, target_streams[1], True)
                )
                group.create_task(
                    self._pump(source, target_streams[0], writer, False)
                )
        except* OSError:
            pass
        finally:
            target_streams[1].transport.abort()

    async def _pump(
        self,
        source: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_recorded: bool,
    ) -> None:
        """Copies one direction; keeps reading while the flow is held."""
        buffered: asyncio.Queue[bytes] = asyncio.Queue()

        async def read() -> None:
            try:
                while data := await reader.read(_CHUNK_BYTES):
                    if is_recorded:
                        self._record(source, data)
                    buffered.put_nowait(data)
            finally:
                buffered.put_nowait(b"")

        reading = asyncio.ensure_future(read())
        try:
            while data := await buffered.get():
                await self._until_forward(source)
                writer.write(data)
                await writer.drain()
            await self._until_forward(source)
            writer.write_eof()
            await reading
        finally:
            reading.cancel()

    async def _until_forward(self, source: str) -> None:
        while (flow := self._flows[source]) is Flow.HOLD:
            await self._changed.wait()
        if flow is Flow.CUT:
            self._reset_counts[source] += 1
            raise ConnectionResetError

    def _record(self, source: str, data: bytes) -> None:
        self._seen[source] += data
        pattern = self._hold_after.get(source)
        if pattern and pattern in self._seen[source]:
            self._flows[source] = Flow.HOLD
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
