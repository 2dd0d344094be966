"""Fixtures of the fault tests, which share one fleet of hosts."""

import asyncio
import contextlib
from collections.abc import Iterator

import aiohttp
import pytest

from hollyknot_daemon.tests.faults.fleet import (
    Drive,
    FaultFleet,
    Test,
    running_fault_fleet,
)

_TEST_TIMEOUT_S = 90.0
_SHOWN_LINES = 12
_STATUS_TIMEOUT_S = 2.0
_STATUS_KEYS = (
    "ready",
    "versions",
    "peers",
    "claims",
    "suspects_partition",
    "upstreams",
)


@pytest.fixture(name="drive", scope="session")
def _drive() -> Iterator[Drive]:
    """Yields a function that runs a test on the fleet and checks all answers.

    Each test starts with all faults of the one before removed.
    """
    with asyncio.Runner() as runner:
        stack = contextlib.AsyncExitStack()
        fleet = runner.run(stack.enter_async_context(running_fault_fleet()))

        async def bounded(
            test: Test,
        ) -> None:
            try:
                async with asyncio.timeout(_TEST_TIMEOUT_S):
                    await fleet.heal()
                    await test(fleet)
                    await fleet.heal()
            except TimeoutError as error:
                raise TimeoutError(await _describe(fleet)) from error
            finally:
                broken = fleet.answer_checker.new_violations()
            assert broken == []

        try:
            yield lambda test: runner.run(bounded(test))
            # Work that a host did after the last test can still contradict the
            # answers that it gave before.
            assert fleet.answer_checker.new_violations() == []
        finally:
            runner.run(stack.aclose())


async def _describe(fleet: FaultFleet) -> str:
    """Returns each host's status and its last log lines."""
    parts = []
    for host in fleet.hosts.values():
        try:
            async with asyncio.timeout(_STATUS_TIMEOUT_S):
                status = await fleet.status(host)
        except (aiohttp.ClientError, TimeoutError) as error:
            status = {"status": repr(error)}
        kept = {key: status.get(key) for key in _STATUS_KEYS}
        parts.append(f"{host.name}: {kept}")
        if host.process is not None:
            parts += host.process.lines[-_SHOWN_LINES:]
    return "\n".join(parts)
