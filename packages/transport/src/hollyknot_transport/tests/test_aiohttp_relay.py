"""Pins what `_aiohttp_relay` relies on in private parts of aiohttp."""

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
async def answered_by(send: Send) -> AsyncIterator[aiohttp.ClientResponse]:
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


async def relayed(
    send: Send,
    forward_now: ForwardNow,
    on_part: Callable[[], None] = lambda: None,
) -> tuple[list[bytes], int]:
    """Returns the parts in the order they were taken, and those by task."""
    parts: list[bytes] = []
    by_task = 0

    def note(part: bytes) -> bool:
        is_taken = forward_now(part)
        if is_taken:
            parts.append(part)
            on_part()
        return is_taken

    async def forward(part: bytes) -> None:
        nonlocal by_task
        by_task += 1
        parts.append(part)
        on_part()

    # A stall must fail the test, not hang it.
    async with asyncio.timeout(20), answered_by(send) as response:
        await relay(response.content, note, forward)
    return parts, by_task


class TestDirectRelay:
    """The parser calls back, and no part is lost, doubled or moved."""

    def test_parts_come_from_within_the_parser(self) -> None:
        """Symptom: a token costs a turn of the loop and a step of a task.

        Sequence: an answer comes part by part, each sent only when the one
        before was taken. Cause: a new version of the library feeds its reader
        another way, so that all parts go through the task.
        """

        async def run() -> tuple[list[bytes], int]:
            taken = asyncio.Semaphore(0)

            async def send(response: web.StreamResponse) -> None:
                for number in range(50):
                    await response.write(b"part %d;" % number)
                    await taken.acquire()

            return await relayed(send, lambda _: True, taken.release)

        parts, by_task = asyncio.run(run())
        assert parts == [b"part %d;" % n for n in range(50)]
        assert by_task <= 1

    @pytest.mark.parametrize(
        "is_taken",
        [
            pytest.param(lambda number, _: number < 3000, id="first parts"),
            pytest.param(lambda _, rng: rng.random() < 0.5, id="half"),
            pytest.param(lambda _, rng: rng.random() < 0.999, id="most"),
            pytest.param(lambda *_: False, id="none"),
        ],
    )
    def test_any_mix_of_ways_keeps_the_body(
        self, is_taken: Callable[[int, random.Random], bool]
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

        def forward_now(part: bytes) -> bool:
            return is_taken(int(part[:-1]), rng)

        parts, _ = asyncio.run(relayed(send, forward_now))
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
            asyncio.run(relayed(send, lambda _: True))

    def test_error_of_the_taker_is_met_by_the_task(self) -> None:
        """Symptom: a caller that went away is told as a bad upstream.

        Sequence: the taker raises within the parser. Cause: the parser takes
        any exception for a body that it can't read.
        """

        def fails(_: bytes) -> bool:
            raise ConnectionError

        async def run() -> tuple[list[bytes], int]:
            taken = asyncio.Semaphore(0)

            async def send(response: web.StreamResponse) -> None:
                await response.write(b"one")
                await taken.acquire()
                await response.write(b"two")

            return await relayed(send, fails, taken.release)

        assert asyncio.run(run()) == ([b"one", b"two"], 2)
