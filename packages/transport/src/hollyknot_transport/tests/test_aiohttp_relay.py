"""Tests the private parts of aiohttp on which `_aiohttp_relay` depends."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web

from hollyknot_transport._aiohttp_relay import ForwardNow, relay

Send = Callable[[web.StreamResponse], Awaitable[None]]


@contextlib.asynccontextmanager
async def start_response(send: Send) -> AsyncIterator[aiohttp.ClientResponse]:
    """Yields the answer of a server whose body `send` writes."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await send(response)
        return response

    async with contextlib.AsyncExitStack() as stack:
        runner = web.ServerRunner(web.Server(handle))
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}/"
        session = aiohttp.ClientSession(read_bufsize=16_384)
        await stack.enter_async_context(session)
        yield await stack.enter_async_context(session.get(url))


async def run_relay(
    send: Send,
    forward_now: ForwardNow,
    on_part: Callable[[], None] = lambda: None,
) -> tuple[list[bytes], int]:
    """Relays a body and returns its parts in order, and how many by the task.

    Args:
        send: Writes the body at the server.
        forward_now: Whether a part is forwarded at once, within the parser.
        on_part: Called after each part that was forwarded.
    """
    parts: list[bytes] = []
    forwarded_by_task = 0

    def forward_and_record(part: bytes) -> bool:
        is_forwarded = forward_now(part)
        if is_forwarded:
            parts.append(part)
            on_part()
        return is_forwarded

    async def forward(part: bytes) -> None:
        nonlocal forwarded_by_task
        forwarded_by_task += 1
        parts.append(part)
        on_part()

    # The time limit makes a stalled relay fail the test.
    async with asyncio.timeout(20), start_response(send) as response:
        await relay(response.content, forward_and_record, forward)
    return parts, forwarded_by_task


class TestDirectRelay:
    """Tests that no part is lost, duplicated or reordered."""

    def test_parts_are_forwarded_from_within_the_parser(self) -> None:
        """Guards against a loop iteration and a task step for every token.

        An answer arrives part by part, each sent only when the previous one was
        forwarded. If a new version of aiohttp feeds its reader in another way,
        all parts go through the task.
        """

        async def run() -> tuple[list[bytes], int]:
            forwarded = asyncio.Semaphore(0)

            async def send(response: web.StreamResponse) -> None:
                for number in range(50):
                    await response.write(b"part %d;" % number)
                    await forwarded.acquire()

            return await run_relay(send, lambda _: True, forwarded.release)

        parts, forwarded_by_task = asyncio.run(run())
        assert parts == [b"part %d;" % n for n in range(50)]
        assert forwarded_by_task <= 1

    @pytest.mark.parametrize(
        "is_forwarded",
        [
            pytest.param(lambda number, _: number < 3000, id="first parts"),
            pytest.param(lambda _, rng: rng.random() < 0.5, id="half"),
            pytest.param(lambda _, rng: rng.random() < 0.999, id="most"),
            pytest.param(lambda *_: False, id="none"),
        ],
    )
    def test_any_mix_of_both_paths_keeps_the_body(
        self, is_forwarded: Callable[[int, random.Random], bool]
    ) -> None:
        """Guards against a stream that stalls or whose parts are reordered.

        Parts are forwarded at once; then the receiver is slow and the reader
        buffers more chunks than it keeps positions for. This fails if the
        reader's positions are not advanced by the parts that it never buffered.
        """
        rng = random.Random(5)
        body = [b"%d;" % n for n in range(6000)]

        async def send(response: web.StreamResponse) -> None:
            for number, part in enumerate(body):
                await response.write(part)
                if number < 3000:
                    await asyncio.sleep(0)

        def forward_now(part: bytes) -> bool:
            return is_forwarded(int(part[:-1]), rng)

        parts, _ = asyncio.run(run_relay(send, forward_now))
        assert b"".join(parts) == b"".join(body)

    def test_body_that_ends_early_is_an_error(self) -> None:
        """Guards against forwarding a truncated answer as a complete one.

        The connection closes before the body's last chunk. The reader's error
        must reach the waiting task.
        """

        async def send(response: web.StreamResponse) -> None:
            await response.write(b"half")
            response.force_close()
            request = response._req
            assert request is not None
            assert request.transport is not None
            request.transport.close()

        with pytest.raises(aiohttp.ClientPayloadError):
            asyncio.run(run_relay(send, lambda _: True))

    def test_error_of_the_receiver_is_raised_by_the_task(self) -> None:
        """Guards against blaming the upstream when the caller disconnects.

        The receiver raises within the parser, which treats any exception as a
        malformed body.
        """

        def raise_connection_error(_: bytes) -> bool:
            raise ConnectionError

        async def run() -> tuple[list[bytes], int]:
            forwarded = asyncio.Semaphore(0)

            async def send(response: web.StreamResponse) -> None:
                await response.write(b"one")
                await forwarded.acquire()
                await response.write(b"two")

            return await run_relay(
                send, raise_connection_error, forwarded.release
            )

        assert asyncio.run(run()) == ([b"one", b"two"], 2)
