"""Tests of relaying an engine's stream to a caller, in one process."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable

import aiohttp
import attrs
import orjson
import pytest
import uvloop
from aiohttp import StreamReader, web

from hollyknot_standins import EngineControl, EngineOptions, start_engine
from hollyknot_state import Address, Nature, Outcome, Reason
from hollyknot_transport import (
    CallerResponse,
    CallerServer,
    Exchanges,
    Refusal,
    Result,
    StallGuard,
    UpstreamRequest,
    _exchange,
    start_server,
)
from hollyknot_transport._aiohttp_relay import Take, TakeNow, relay

PATH = "/v1/chat/completions"
BODY = orjson.dumps(
    {
        "model": "tariff",
        "stream": True,
        "messages": [{"role": "user", "content": "which rate?"}],
    }
)
MAX_HELD_BYTES = 1_048_576
LONG_ANSWER_TOKENS = 250_000
"""Tokens of an answer (some 45 MB) that is larger than all the buffers that
two connections may have in the kernel."""


@attrs.define
class RelayHost:
    """A small host: one engine, one caller's server, no decisions.

    Attributes:
        control: The engine's faults.
        engine_url: Of the engine.
        port: Of the caller's server.
        results: Of the exchanges that ended by themselves.
        requests: Of callers.
        held: The most bytes of answers that the host has held at once.
    """

    control: EngineControl
    engine_url: str
    port: int = 0
    results: list[Result] = attrs.Factory(list)
    requests: list[web.BaseRequest] = attrs.Factory(list)
    held: int = 0

    @property
    def url(self) -> str:
        """Where callers ask."""
        return f"http://127.0.0.1:{self.port}{PATH}"

    async def relay(
        self, content: StreamReader, take_now: TakeNow, take: Take
    ) -> None:
        """Relays, and notes what lies between the two sockets."""
        forwarded = 0

        def record_held(size: int) -> None:
            nonlocal forwarded
            forwarded += size
            transport = self.requests[-1].transport
            unsent = transport.get_write_buffer_size() if transport else 0
            self.held = max(self.held, content.total_bytes - forwarded + unsent)

        def forward_now(data: bytes) -> bool:
            is_forwarded = take_now(data)
            if is_forwarded:
                # The reader counts a part when it was taken.
                record_held(0)
                nonlocal forwarded
                forwarded += len(data)
            return is_forwarded

        async def forward_slowly(data: bytes) -> None:
            await take(data)
            record_held(len(data))

        await relay(content, forward_now, forward_slowly)

    async def handle(
        self, exchanges: Exchanges, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers a caller."""
        self.requests.append(request)
        response = CallerResponse(request, "req-1", True)
        upstream_request = UpstreamRequest(
            url=self.engine_url + PATH,
            method="POST",
            headers={"X-Request-Id": "req-1"},
            body=await request.read(),
            request_id="req-1",
            nature=Nature.IDEMPOTENT,
            is_streamed=True,
            first_byte_s=60.0,
            next_bytes_s=60.0,
        )
        result = await exchanges.run(upstream_request, response.sink())
        self.results.append(result)
        refusal = Refusal(502, result.verdict)
        return await response.finish(result.verdict, refusal)


@contextlib.asynccontextmanager
async def running_relay(
    options: EngineOptions, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[RelayHost]:
    """Runs an engine and a server that relays its streams."""
    async with contextlib.AsyncExitStack() as stack:
        engine = await stack.enter_async_context(start_engine(options))
        address = engine.address
        found = RelayHost(engine.control, f"http://{address.ip}:{address.port}")
        monkeypatch.setattr(_exchange, "relay", found.relay)
        exchanges = Exchanges(StallGuard())
        stack.push_async_callback(exchanges.close)
        handle = functools.partial(found.handle, exchanges)
        runner, found.port = await start_server(
            CallerServer(handle), Address("127.0.0.1", 0)
        )
        stack.push_async_callback(runner.cleanup)
        yield found


async def wait_until(
    condition: Callable[[], bool], polls: int = 20_000
) -> None:
    """Polls a condition; fails after so many polls."""
    for _ in range(polls):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition never held")


async def wait_until_running(relay: RelayHost, count: int) -> bool:
    """Polls until the engine runs so many sequences; False if it never does."""
    async with aiohttp.ClientSession() as session:
        for _ in range(2000):
            async with session.get(relay.engine_url + "/v1/load") as response:
                if (await response.json())["running"] == count:
                    return True
    return False


async def send_request(
    relay: RelayHost, version: str = "1.1"
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Asks for a stream by a connection that reads no more than it must."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", relay.port, limit=16_384
    )
    lines = (
        f"POST {PATH} HTTP/{version}",
        "Host: host",
        "Connection: close",
        f"Content-Length: {len(BODY)}",
        "",
        "",
    )
    writer.write("\r\n".join(lines).encode() + BODY)
    return reader, writer


class TestStreams:
    """A stream comes whole, or is told to be not whole."""

    def test_slow_caller_does_not_fill_the_hosts_memory(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Symptom: a host is killed, for it has taken all of the memory.

        Sequence: a caller asks for a long stream, reads nothing for a while
        and then reads on. Cause: the host reads from the engine and writes to
        the transport without regard to what the caller takes.
        """
        options = EngineOptions(
            min_tokens=LONG_ANSWER_TOKENS, max_tokens=LONG_ANSWER_TOKENS
        )

        async def run() -> tuple[int, bytes]:
            async with running_relay(options, monkeypatch) as relay:
                reader, writer = await send_request(relay)
                await wait_until(
                    lambda: (
                        bool(relay.requests)
                        and relay.requests[0].protocol.writing_paused
                    )
                )
                for _ in range(500):
                    await asyncio.sleep(0)
                tail = b""
                while part := await reader.read(1_000_000):
                    tail = (tail + part)[-100:]
                writer.close()
                return relay.held, tail

        held, tail = uvloop.run(run())
        assert held < MAX_HELD_BYTES
        assert b"data: [DONE]" in tail
        assert tail.endswith(b"0\r\n\r\n")

    @pytest.mark.parametrize(
        "options",
        [
            EngineOptions(
                min_tokens=LONG_ANSWER_TOKENS,
                max_tokens=LONG_ANSWER_TOKENS,
                interval_s=0.001,
            ),
            EngineOptions(first_token_s=3600.0),
        ],
        ids=["midway", "before the first token"],
    )
    def test_disconnected_caller_ends_the_engines_work(
        self, options: EngineOptions, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Symptom: engines are busy with answers that nobody reads.

        Sequence: a caller closes its connection before the answer's end.
        Cause: the host goes on with the exchange.
        """

        async def run() -> int:
            async with running_relay(options, monkeypatch) as relay:
                _, writer = await send_request(relay)
                assert await wait_until_running(relay, 1)
                writer.close()
                return await wait_until_running(relay, 0)

        assert uvloop.run(run())

    def test_truncated_stream_ends_with_an_error(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Symptom: a caller takes half of a finding for the whole.

        Sequence: the engine ends a stream well formed, but before its last
        event. Cause: the end of the body is taken for the end of the answer.
        """

        async def run() -> tuple[bytes, Result]:
            async with running_relay(EngineOptions(), monkeypatch) as relay:
                relay.control.truncate = 5
                got = b""
                async with aiohttp.ClientSession() as session:
                    response = await session.post(relay.url, data=BODY)
                    error = False
                    try:
                        while part := await response.content.readany():
                            got += part
                    except aiohttp.ClientPayloadError:
                        error = True
                assert error
                return got, relay.results[0]

        got, result = uvloop.run(run())
        assert result.verdict.outcome is Outcome.MAY_HAVE_RUN
        assert result.verdict.reason is Reason.TRUNCATED
        assert b'"error"' in got.rpartition(b"data: ")[2]
        assert b"[DONE]" not in got

    def test_caller_of_http_1_0_gets_the_plain_body(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Symptom: an old caller reads lengths of chunks as text.

        Sequence: it asks by HTTP/1.0, which has no chunks. Cause: parts are
        framed as chunks whatever the response was begun with.
        """

        async def run() -> bytes:
            async with running_relay(EngineOptions(), monkeypatch) as relay:
                reader, writer = await send_request(relay, "1.0")
                got = await reader.read()
                writer.close()
                return got

        body = uvloop.run(run()).partition(b"\r\n\r\n")[2]
        lines = [line for line in body.split(b"\n") if line]
        assert all(line.startswith((b"data: ", b": ")) for line in lines)
        assert b"data: [DONE]" in lines
