"""Runs two hosts over loopback for the tests of links."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

import uvloop

from hollyknot_protocol import (
    CallRefusal,
    CallRefusalReason,
    Pong,
)
from hollyknot_state import Address
from hollyknot_transport import (
    LinkCredentials,
    LinkLimits,
    LinkPool,
    LinkServer,
    PeerIdentity,
)

IP = "127.0.0.1"
TEST_TIMEOUT_S = 60.0
"""Time limit of a test that hangs, far above what any test takes."""

LONG_TIMEOUT_S = 50.0
"""Timeout of calls that are not meant to time out, in seconds."""

SHORT_TIMEOUT_S = 0.05
"""Timeout of waits that are meant to time out, in seconds."""

ANY_MESSAGE = CallRefusal(CallRefusalReason.OVERLOADED)
"""A message that can be a call and a reply; its meaning does not matter."""

NO_SWEEPS = LinkLimits(sweep_s=3600.0)
"""Limits without periodic sweeps; the tests call `sweep` with a time."""


Message = Any


def run(test: Coroutine[Any, Any, None]) -> None:
    """Runs a test on uvloop, which hosts use too."""

    async def guarded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test

    uvloop.run(guarded())


def credentials_of(name: str, *keys: bytes) -> LinkCredentials:
    """Returns the credentials of a host without TLS."""
    return LinkCredentials(name, "hall-a", keys or (b"key",))


class Host:
    """A link server and a link pool with a clock that the test sets."""

    def __init__(self, server: LinkServer, pool: LinkPool) -> None:
        self.server = server
        self.pool = pool
        self.now_s = 1000.0
        self.received: list[tuple[PeerIdentity, Message, str]] = []
        self.answer: Callable[[], Awaitable[Any]] = pong

    async def call(
        self, timeout_s: float = LONG_TIMEOUT_S, port: int = 0, **extra: Any
    ) -> Any:
        at = port or self.server.port
        return await self.pool.call(IP, at, ANY_MESSAGE, timeout_s, **extra)

    async def wait_until_received(self, number: int) -> None:
        await wait_until(lambda: len(self.received) == number)


async def pong() -> Pong:
    """Returns the default answer to any message."""
    return Pong()


@contextlib.asynccontextmanager
async def hosts(
    dialler: LinkCredentials | None = None,
    accepter: LinkCredentials | None = None,
    limits: LinkLimits = NO_SWEEPS,
) -> AsyncIterator[Host]:
    """Yields a running server and pool, and closes them at the end."""

    async def handle(peer: PeerIdentity, message: Message, trace: str) -> Any:
        host.received.append((peer, message, trace))
        return await host.answer()

    server = LinkServer(
        Address(IP, 0),
        accepter or credentials_of("b"),
        handle,
        limits=limits,
        clock=lambda: host.now_s,
    )
    pool = LinkPool(
        dialler or credentials_of("a"),
        random.Random(1),
        limits=limits,
        clock=lambda: host.now_s,
    )
    host = Host(server, pool)
    async with server, pool:
        yield host


async def wait_until(condition: Callable[[], bool]) -> None:
    """Polls a condition that depends on the other end of a socket."""
    while not condition():
        await asyncio.sleep(0.001)
