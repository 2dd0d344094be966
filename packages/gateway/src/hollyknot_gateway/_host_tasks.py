"""Runs the tasks of a host, and starts those again that fail.

A host without one of its tasks goes on serving what it knew when the task
ended: routes that have changed since, keys that were removed, upstreams that
have left. A failed task is therefore started again, with pauses that grow. If
it fails each time, the host is not ready until it has run for a while.
"""

import asyncio
import contextlib
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from hollyknot_gateway._log import Log
from hollyknot_gateway._metrics import TASK_FAILURES, Metrics

FIRST_PAUSE_S = 0.1
"""Seconds after which a task that has failed once is started again."""

MAX_DOUBLINGS = 5
"""Failures after each of which the pause doubles, so that a task that fails at
once costs little."""

MAX_FAILURES = 3
"""Failures without a sound run between them from which on a host is not ready.
Fewer may come of one passing fault."""

SOUND_RUN_S = 10.0
"""Seconds for which a task has to run until its failures no longer count."""


@attrs.define
class _TaskState:
    """How a task has run.

    Attributes:
        started_s: Time of its last start, in seconds.
        failures: Failures since its last sound run.
        is_running: Whether it runs, rather than waits for its next start.
    """

    started_s: float
    failures: int = 0
    is_running: bool = True

    def is_sound(self, now_s: float) -> bool:
        """Whether the task has run for long enough since its last failure."""
        return self.is_running and now_s - self.started_s >= SOUND_RUN_S


class HostTasks:
    """Tasks that run until a host's exit stack is closed."""

    def __init__(
        self,
        stack: contextlib.AsyncExitStack,
        log: Log,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        """Creates an instance without tasks.

        Args:
            stack: Cancels the tasks when it is closed.
            log: Logs their failures.
            metrics: Counts their failures.
            clock: The loop's monotonic clock, in seconds.
        """
        self._stack = stack
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._states: dict[str, _TaskState] = {}

    @property
    def failing(self) -> tuple[str, ...]:
        """Names of the tasks that fail again and again."""
        now_s = self._clock()
        return tuple(
            name
            for name, state in self._states.items()
            if state.failures >= MAX_FAILURES and not state.is_sound(now_s)
        )

    def spawn(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Starts a task, and starts it again whenever it ends.

        Args:
            name: The task's name in logs and metrics.
            work: Does the task's work; it is expected never to return.
        """
        self._states[name] = _TaskState(self._clock())
        task = asyncio.create_task(self._keep_running(name, work))
        self._stack.push_async_callback(_cancel, task)

    def catch_errors(self) -> None:
        """Logs the exceptions of the running loop that nobody catches."""
        asyncio.get_running_loop().set_exception_handler(self._on_error)

    async def _keep_running(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        state = self._states[name]
        while True:
            state.started_s = self._clock()
            state.is_running = True
            error: Exception | None = None
            try:
                await work()
            except Exception as caught:
                error = caught
            await asyncio.sleep(self._record_failure(name, state, error))

    def _record_failure(
        self, name: str, state: _TaskState, error: Exception | None
    ) -> float:
        """Records the end of a task, which is a failure even without an error.

        Returns:
            The pause before its next start, in seconds.
        """
        if state.is_sound(self._clock()):
            state.failures = 0
        state.is_running = False
        state.failures += 1
        doublings = min(state.failures - 1, MAX_DOUBLINGS)
        pause_s = FIRST_PAUSE_S * float(2**doublings)
        self._metrics.count(TASK_FAILURES, task=name)
        self._log_error(
            "a task failed",
            error,
            task=name,
            failures=state.failures,
            pause_s=pause_s,
        )
        return pause_s

    def _on_error(
        self, _: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Logs an exception that no task has caught."""
        self._log_error(context.get("message", ""), context.get("exception"))

    def _log_error(
        self, message: str, error: BaseException | None, **fields: object
    ) -> None:
        trace = traceback.format_exception(error) if error else []
        self._log.line(
            "internal_error",
            message=message,
            error=repr(error),
            trace="".join(trace[-2:]),
            **fields,
        )


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    # Errors of the task's work have been logged.
    await asyncio.wait((task,))
