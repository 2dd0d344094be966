"""Pins what `_aiohttp_relay` relies on in private parts of aiohttp."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web

from hollyknot_transport._aiohttp_relay import TakeNow, relay

Send = Callable[[web.StreamResponse], Awaitable[None]]


@contextlib.asynccontextmanager
async def start_response(send: Send) -> AsyncIterator[aiohttp.ClientResponse]:
    """Yields the answer of a server that sends by the function."""

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
    send: Send, take_now: TakeNow, on_part: Callable[[], None] = lambda: None
) -> tuple[list[bytes], int]:
    """Returns the parts in the order they were taken, and those by task."""
    parts: list[bytes] = []
    forwarded_by_task = 0

    def forward_now(part: bytes) -> bool:
        is_forwarded = take_now(part)
        if is_forwarded:
            parts.append(part)
            on_part()
        return is_forwarded

    async def forward(part: bytes) -> None:
        nonlocal forwarded_by_task
        forwarded_by_task += 1
        parts.append(part)
        on_part()

    # A stall must fail the test, not hang it.
    async with asyncio.timeout(20), start_response(send) as response:
        await relay(response.content, forward_now, forward)
    return parts, forwarded_by_task


class TestDirectRelay:
    """The parser calls back, and no part is lost, doubled or moved."""

    def test_parts_are_forwarded_from_within_the_parser(self) -> None:
        """Symptom: a token costs a turn of the loop and a step of a task.

        Sequence: an answer comes part by part, each sent only when the one
        before was taken. Cause: a new version of the library feeds its reader
        another way, so that all parts go through the task.
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
        """Symptom: a long stream stops for good, or its parts change places.

        Sequence: parts are taken at once; then the receiver is slow and more
        chunks are kept than the reader notes. Cause: the reader's positions
        were not moved on with the parts that it never kept.
        """
        rng = random.Random(5)
        body = [b"%d;" % n for n in range(6000)]

        async def send(response: web.StreamResponse) -> None:
            for number, part in enumerate(body):
                await response.write(part)
                if number < 3000:
                    await asyncio.sleep(0)

        def take_now(part: bytes) -> bool:
            return is_forwarded(int(part[:-1]), rng)

        parts, _ = asyncio.run(run_relay(send, take_now))
        assert b"".join(parts) == b"".join(body)

    def test_body_that_ends_early_is_an_error(self) -> None:
        """Symptom: part of an answer is passed on as the whole.

        Sequence: the connection closes before the body's last chunk. Cause:
        the reader's error did not reach the task that waits.
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
        """Symptom: a caller that went away is told as a bad upstream.

        Sequence: the taker raises within the parser. Cause: the parser takes
        any exception for a body that it can't read.
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
