"""Starts and stops stand-ins and hosts as processes on loopback."""

import asyncio
import contextlib
import os
import pathlib
import re
import signal
import sys
from collections.abc import AsyncIterator, Sequence

import attrs

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
LOOPBACK = "127.0.0.1"


@attrs.define
class Child:
    """A process that this module started.

    Attributes:
        name: Name of the process in error messages.
        process: The process.
        fields: `key=value` pairs of the line with which it reported that it
            was ready.
        lines: The last lines that it printed.
    """

    name: str
    process: asyncio.subprocess.Process
    fields: dict[str, str] = attrs.Factory(dict)
    lines: list[str] = attrs.Factory(list)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    def port(self, field: str = "port") -> int:
        """Returns a port from a field that the process printed when ready."""
        return int(self.fields[field])

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it is still running."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the process to end and returns its exit code."""
        return await self.process.wait()


class StartError(Exception):
    """A process ended or timed out before it reported that it was ready."""


_FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
_MAX_LINES = 200


@contextlib.asynccontextmanager
async def child(
    name: str,
    arguments: Sequence[str],
    ready_mark: str,
    log: pathlib.Path | None = None,
) -> AsyncIterator[Child]:
    """Runs a Python module as a process until the context ends.

    Args:
        name: Name of the process in error messages.
        arguments: Arguments of the Python interpreter.
        ready_mark: Text in the line with which the process reports that it is
            ready; the `key=value` pairs of this line become the child's fields.
        log: File to which the output is appended, if any.

    Raises:
        StartError: The process ended or was not ready in time.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )
    found = Child(name, process)
    ready = asyncio.Event()
    reader = asyncio.ensure_future(_read(found, ready_mark, ready, log))
    try:
        await _until_ready(found, ready, reader)
        yield found
    finally:
        await _stop(found)
        await reader


async def _until_ready(
    found: Child, ready: asyncio.Event, reader: asyncio.Future[None]
) -> None:
    waiting = asyncio.ensure_future(ready.wait())
    await asyncio.wait(
        (waiting, reader),
        timeout=START_TIMEOUT_S,
        return_when=asyncio.FIRST_COMPLETED,
    )
    waiting.cancel()
    if not ready.is_set():
        raise StartError(
            f"process {found.name} ended or was not ready within"
            f" {START_TIMEOUT_S:g} s; its last lines:"
            f" {' | '.join(found.lines[-20:])}"
        )


async def _read(
    found: Child,
    ready_mark: str,
    ready: asyncio.Event,
    log: pathlib.Path | None,
) -> None:
    if found.process.stdout is None:
        raise StartError(
            f"process {found.name} has no standard output; start it with a pipe"
        )
    with contextlib.ExitStack() as stack:
        sink = stack.enter_context(log.open("ab")) if log else None
        async for raw in found.process.stdout:
            if sink:
                sink.write(raw)
            line = raw.decode(errors="replace").rstrip()
            found.lines.append(line)
            del found.lines[:-_MAX_LINES]
            if not ready.is_set() and ready_mark in line:
                pairs = _FIELD.findall(line)
                found.fields = {key: value.strip('"') for key, value in pairs}
                ready.set()


async def _stop(found: Child) -> None:
    found.send(signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await found.wait()
    except TimeoutError:
        found.send(signal.SIGKILL)
        await found.wait()
