"""Tests of tasks that fail while a host runs."""

import asyncio
import contextlib
import os
from collections.abc import Awaitable, Callable

import attrs

from hollyknot_gateway._host_tasks import (
    FIRST_PAUSE_S,
    MAX_DOUBLINGS,
    MAX_FAILURES,
    SOUND_RUN_S,
    HostTasks,
)
from hollyknot_gateway._log import Log
from hollyknot_gateway._metrics import Metrics
from hollyknot_gateway.tests._virtual_time import run_virtually


@attrs.define
class _Work:
    """Work of a task that ends a number of times before it goes on.

    Attributes:
        ends: Whether each end is an error, in order; it returns otherwise.
        runs_s: Seconds for which it runs before each end.
        starts: Times at which it was started, in seconds.
    """

    ends: list[bool]
    runs_s: float = 0.0
    starts: list[float] = attrs.Factory(list)

    async def run(self) -> None:
        self.starts.append(asyncio.get_running_loop().time())
        if not self.ends:
            await asyncio.Event().wait()
        await asyncio.sleep(self.runs_s)
        if self.ends.pop(0):
            raise AssertionError("a bug")


def _run(
    work: _Work, test: Callable[[HostTasks, Metrics], Awaitable[None]]
) -> None:
    """Runs a test beside a host's only task, on a virtual clock."""

    async def main() -> None:
        clock = asyncio.get_running_loop().time
        metrics = Metrics()
        log = Log("h", "d", os.open(os.devnull, os.O_WRONLY))
        async with contextlib.AsyncExitStack() as stack:
            tasks = HostTasks(stack, log, metrics, clock)
            tasks.spawn("work", work.run)
            await test(tasks, metrics)

    run_virtually(main())


class TestHostTasks:
    """Tests that no task of a host ends unnoticed."""

    def test_a_failed_task_is_started_again(self) -> None:
        """Guards against hosts that never read the directory again."""
        work = _Work([True])

        async def test(tasks: HostTasks, metrics: Metrics) -> None:
            await asyncio.sleep(2 * FIRST_PAUSE_S)
            assert work.starts == [0.0, FIRST_PAUSE_S]
            assert not tasks.failing
            assert b'task_failures_total{task="work"} 1' in metrics.render()

        _run(work, test)

    def test_a_task_that_returns_is_started_again(self) -> None:
        """Guards against a loop that ends without an error."""
        work = _Work([False])

        async def test(*_: object) -> None:
            await asyncio.sleep(2 * FIRST_PAUSE_S)
            assert len(work.starts) == 2

        _run(work, test)

    def test_a_task_that_keeps_failing_is_reported(self) -> None:
        """Guards against a bug that restarts hide, and that costs the host."""
        work = _Work([True] * 2000)

        async def test(tasks: HostTasks, _: Metrics) -> None:
            await asyncio.sleep(FIRST_PAUSE_S * 2 ** (MAX_FAILURES - 1))
            assert tasks.failing == ("work",)
            await asyncio.sleep(1000.0)
            longest_s = FIRST_PAUSE_S * 2**MAX_DOUBLINGS
            assert len(work.starts) < 1000.0 / longest_s + 10
            await asyncio.sleep(2000 * longest_s)
            assert not work.ends

        _run(work, test)

    def test_a_sound_run_ends_the_report(self) -> None:
        """Guards against hosts that stay out of use after a passing fault."""
        work = _Work([True] * MAX_FAILURES)

        async def test(tasks: HostTasks, _: Metrics) -> None:
            await asyncio.sleep(1.0)
            assert tasks.failing
            await asyncio.sleep(SOUND_RUN_S)
            assert not tasks.failing

        _run(work, test)

    def test_failures_between_sound_runs_don_t_add_up(self) -> None:
        """Guards against hosts that are not ready for one failure an hour."""
        work = _Work([True] * 9, runs_s=2 * SOUND_RUN_S)

        async def test(tasks: HostTasks, _: Metrics) -> None:
            while work.ends:
                await asyncio.sleep(1.0)
                assert not tasks.failing

        _run(work, test)

    def test_tasks_end_with_the_stack(self) -> None:
        """Guards against tasks that go on, or start again, at the end."""
        work = _Work([])

        async def main() -> None:
            async with contextlib.AsyncExitStack() as stack:
                log = Log("h", "d", os.open(os.devnull, os.O_WRONLY))
                clock = asyncio.get_running_loop().time
                tasks = HostTasks(stack, log, Metrics(), clock)
                tasks.spawn("work", work.run)
                await asyncio.sleep(1.0)
            await asyncio.sleep(SOUND_RUN_S)
            assert len(asyncio.all_tasks()) == 1

        run_virtually(main())
        assert len(work.starts) == 1
