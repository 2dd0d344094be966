"""Tests of upstreams that stop in the middle of an answer's head."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterator
from typing import Any

import attrs
import orjson
import pytest

from hollyknot_daemon.tests.rig import API_KEY, IP, Rig, running_rig

_TIMEOUT_S = 60.0
_GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
_NUMBERS = itertools.count()
_FRAMINGS = {
    "empty": "Content-Length: 0",
    "chunked": "Transfer-Encoding: chunked",
    "closing": "Connection: close",
}


@attrs.frozen
class Way:
    """How a caller asks.

    Attributes:
        target: Path of the request.
        method: Its method.
        version: The caller's version of HTTP.
        is_streamed: Whether it wants events.
        is_used: Whether the connection to the upstream was used before.
    """

    target: str = "/v1/chat/completions"
    method: str = "POST"
    version: str = "1.1"
    is_streamed: bool = False
    is_used: bool = False


_WAYS = {
    "model": Way(),
    "model, used before": Way(is_used=True),
    "stream": Way(is_streamed=True),
    "stream, used before": Way(is_streamed=True, is_used=True),
    "stream, 1.0": Way(is_streamed=True, version="1.0"),
    "service": Way("/v1/services/permits/x", "GET"),
    "service, used before": Way("/v1/services/permits/x", "GET", is_used=True),
    "service, HEAD": Way("/v1/services/permits/x", "HEAD"),
    "service, 1.0": Way("/v1/services/permits/x", "GET", "1.0"),
}


@attrs.define
class Torn:
    """An upstream that sends a part of a head and ends the connection.

    Attributes:
        framing: The head's line about its body.
        size: Number of bytes to send; None to answer well.
        is_reset: Whether it resets the connection, and does not close it.
        sent: Number of heads that were sent.
        reused: Number of these on connections with an earlier answer.
        length: Length of a whole head without its last byte.
    """

    framing: str
    size: int | None = None
    is_reset: bool = False
    sent: int = 0
    reused: int = 0
    length: int = 1

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            for number in itertools.count():
                await _skip_request(reader)
                self.reused += bool(number and self.size is not None)
                await self._answer(writer)
                if writer.is_closing():
                    break
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        if self.size is None:
            writer.write(_GOOD)
            return
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"{self.framing}\r\n\r\n"
        ).encode()
        self.sent += 1
        self.length = len(head) - 1
        writer.write(head[: self.size])
        await writer.drain()
        if self.is_reset:
            # A reset at once may discard the bytes before it.
            await asyncio.sleep(0.002)
            writer.transport.abort()
        else:
            writer.close()

    def cuts(self) -> Iterator[int]:
        """Sets each part of a head in turn, and each kind of end."""
        for is_reset in (False, True):
            size = 0
            while size <= self.length:
                self.size, self.is_reset = size, is_reset
                yield size
                size += 1


async def _skip_request(reader: asyncio.StreamReader) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    _, found, rest = head.partition(b"content-length: ")
    if found:
        await reader.readexactly(int(rest.partition(b"\r\n")[0]))


async def _ask(rig: Rig, way: Way) -> bytes:
    """Returns all that a caller gets."""
    # A request that fails again and again is taken for one that crashes.
    body = {
        "model": "tariff",
        "stream": way.is_streamed,
        "messages": [{"role": "user", "content": f"question {next(_NUMBERS)}"}],
    }
    data = orjson.dumps(body)
    reader, writer = await asyncio.open_connection(IP, rig.host.callers_port)
    head = (
        f"{way.method} {way.target} HTTP/{way.version}\r\nHost: h\r\n"
        f"Authorization: Bearer {API_KEY}\r\nConnection: close\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    writer.write(head.encode() + data)
    got = b""
    with contextlib.suppress(ConnectionError):
        while part := await reader.read(65_536):
            got += part
    writer.close()
    return got


class TestTornHeads:
    """Upstreams that close or reset in the middle of a head."""

    @pytest.mark.parametrize("framing", _FRAMINGS)
    @pytest.mark.parametrize("way", _WAYS)
    def test_no_caller_gets_an_answer(self, way: str, framing: str) -> None:
        """Guards against empty or short bodies that are framed as whole."""
        torn = Torn(_FRAMINGS[framing])
        wrong: list[Any] = []

        async def main() -> None:
            server = await asyncio.start_server(torn.serve, IP, 0)
            port = server.sockets[0].getsockname()[1]

            def write_list(entries: list[dict[str, Any]]) -> bytes:
                changed = [
                    e if e["role"] == "host" else e | {"port": port}
                    for e in entries
                ]
                return orjson.dumps(changed)

            async with asyncio.timeout(_TIMEOUT_S):
                async with running_rig(write_list=write_list) as rig:
                    await _check(rig, torn, _WAYS[way], wrong)
            server.close()

        asyncio.run(main())
        assert wrong == []


async def _check(rig: Rig, torn: Torn, way: Way, wrong: list[Any]) -> None:
    """Adds what callers take for answers though heads were torn."""
    for size in torn.cuts():
        if way.is_used:
            torn.size = None
            got = await _ask(rig, attrs.evolve(way, is_streamed=False))
            assert got.startswith(b"HTTP/1.1 200"), got
            torn.size = size
        sent = torn.sent
        got = await _ask(rig, way)
        assert torn.sent > sent, (size, got)
        if got.split(b" ")[1][:1] == b"2":
            wrong.append((size, torn.is_reset, got))
    assert bool(torn.reused) == way.is_used
