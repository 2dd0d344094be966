"""Runs the tasks of a host and logs their errors."""

import asyncio
import contextlib
import traceback
from collections.abc import Coroutine
from typing import Any

from hollyknot_gateway._log import Log


class HostTasks:
    """Tasks that run until a host's exit stack is closed."""

    def __init__(self, stack: contextlib.AsyncExitStack, log: Log) -> None:
        """Creates an instance without tasks.

        Args:
            stack: Cancels the tasks when it is closed.
            log: Logs their errors.
        """
        self._stack = stack
        self._log = log

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a task."""
        task = asyncio.create_task(work)
        task.add_done_callback(self._on_end)
        self._stack.push_async_callback(_cancel, task)

    def catch_errors(self) -> None:
        """Logs the exceptions of the running loop that nobody catches."""
        asyncio.get_running_loop().set_exception_handler(self._on_error)

    def _on_end(self, task: asyncio.Task[None]) -> None:
        """Logs the error of a task, which nothing awaits before the end."""
        if task.cancelled() or task.exception() is None:
            return
        context = {"message": "a task failed", "exception": task.exception()}
        self._on_error(asyncio.get_running_loop(), context)

    def _on_error(
        self, _: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Logs an exception that no task has caught."""
        error = context.get("exception")
        trace = traceback.format_exception(error) if error else []
        self._log.line(
            "internal_error",
            message=context.get("message", ""),
            error=repr(error),
            trace="".join(trace[-2:]),
        )


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    # An error of the task has been logged.
    await asyncio.wait((task,))
