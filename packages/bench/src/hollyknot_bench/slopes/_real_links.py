"""Measures what a dial and a message cost both ends of a loopback link."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable

import click
import uvloop

from hollyknot_bench.slopes._series import Series, make_series
from hollyknot_state import Address, Gossip
from hollyknot_transport import (
    LinkCredentials,
    LinkPool,
    LinkServer,
    NoReply,
)

DIALS = (8, 16, 32, 64, 128)
MESSAGES = (250, 500, 1_000, 2_000, 4_000)
ROUNDS = 3
IP = "127.0.0.1"
_KEY = b"a key of links over loopback only"
_US_PER_S = 1e6
_TIMEOUT_S = 10.0


def measure(is_quick: bool) -> list[Series]:
    """Measures dials and messages; quick and full runs are the same."""
    del is_quick
    click.echo("links over loopback ...", err=True)
    return uvloop.run(_measure())


async def _measure() -> list[Series]:
    # Warms up: the first use of a code path costs more than later ones.
    await _dial_cpu_us(DIALS[0])
    dials = [(n, await _minimum(_dial_cpu_us, n)) for n in DIALS]
    messages = [(n, await _minimum(_message_cpu_us, n)) for n in MESSAGES]
    return [
        make_series("links", "dial cpu", "dials", "us, both ends", dials),
        make_series(
            "links", "message cpu", "messages", "us, both ends", messages
        ),
    ]


async def _minimum(
    measure_one: Callable[[int], Awaitable[float]], count: int
) -> float:
    """Returns the least of several results: other work only adds to it."""
    return min([await measure_one(count) for _ in range(ROUNDS)])


class _Receiver:
    """Counts the messages that arrive at all servers."""

    def __init__(self) -> None:
        self.received = 0
        self._arrived = asyncio.Event()

    async def handle(
        self, _peer: object, _message: object, _trace: str
    ) -> NoReply:
        self.received += 1
        self._arrived.set()
        return NoReply.NO_REPLY

    async def wait_for(self, count: int) -> None:
        """Waits until this many messages have arrived."""
        async with asyncio.timeout(_TIMEOUT_S):
            while self.received < count:
                self._arrived.clear()
                await self._arrived.wait()


async def _dial_cpu_us(count: int) -> float:
    """Returns the processor time to open links, in microseconds.

    Args:
        count: Number of links, each to a server of its own.
    """
    receiver = _Receiver()
    async with contextlib.AsyncExitStack() as stack:
        ports = [await _listen(stack, receiver, n) for n in range(count)]
        pool = await stack.enter_async_context(_pool())
        began_s = time.process_time()
        for port in ports:
            pool.post(IP, port, Gossip())
        await receiver.wait_for(count)
        return (time.process_time() - began_s) * _US_PER_S


async def _message_cpu_us(count: int) -> float:
    """Returns the processor time of messages on one link, in microseconds.

    Args:
        count: Number of messages, sent one at a time.
    """
    receiver = _Receiver()
    async with contextlib.AsyncExitStack() as stack:
        port = await _listen(stack, receiver, 0)
        pool = await stack.enter_async_context(_pool())
        pool.post(IP, port, Gossip())
        await receiver.wait_for(1)
        began_s = time.process_time()
        for number in range(count):
            pool.post(IP, port, Gossip())
            # Waits for each message, because gossip is sent one message at a
            # time; messages of a burst would share system calls.
            await receiver.wait_for(number + 2)
        return (time.process_time() - began_s) * _US_PER_S


async def _listen(
    stack: contextlib.AsyncExitStack, receiver: _Receiver, number: int
) -> int:
    credentials = LinkCredentials(f"host-{number}", "dc-1", (_KEY,))
    server = LinkServer(Address(IP, 0), credentials, receiver.handle)
    await stack.enter_async_context(server)
    return server.port


def _pool() -> LinkPool:
    return LinkPool(LinkCredentials("host", "dc-1", (_KEY,)), random.Random(1))
