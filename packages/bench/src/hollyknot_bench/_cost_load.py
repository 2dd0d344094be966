"""Generates the load of `make cost`, in a process of its own.

The load generator itself reads the CPU times of the processes under load, so
that they cover exactly the window in which the load runs.
"""

import asyncio
import contextlib
import os
import random
import time
from collections.abc import Coroutine
from typing import Any

import aiohttp
import click
import uvloop
from hdrh.histogram import HdrHistogram

from hollyknot_bench._cost_messages import (
    HeldLoad,
    HeldResult,
    Latency,
    LoadResult,
    StreamLoad,
    StreamResult,
    Target,
    WholeLoad,
    WholeResult,
    from_json,
    to_json,
)
from hollyknot_bench._cost_process import cpu_s_by_name, resident_bytes

LOAD_GENERATOR = "load-generator"
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_EVENT = b"data: "
_DONE = b"data: [DONE]\n\n"
_TAIL_BYTES = 128
"""Room for the last event and the host's comment that may follow it."""

_OK = 200
_OPEN_TIMEOUT_S = 30.0


def _session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None),
    )


def _post(session: aiohttp.ClientSession, target: Target) -> Any:
    sent = {**target.headers, "Content-Type": "application/json"}
    return session.post(target.url, data=target.body.encode(), headers=sent)


class _WholeLoadRunner:
    """Sends requests for unstreamed answers and records their latencies."""

    def __init__(self, load: WholeLoad) -> None:
        self._load = load
        self._failed = 0
        self._histograms = {
            target.name: HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
            for target in load.targets
        }

    async def run(self) -> WholeResult:
        load = self._load
        loop = asyncio.get_running_loop()
        rng = random.Random(load.seed)
        pids = {**load.pids, LOAD_GENERATOR: os.getpid()}
        async with _session() as session, asyncio.TaskGroup() as group:
            for target in load.targets:
                await self._send_timed(session, target)
            for histogram in self._histograms.values():
                histogram.reset()
            before, began_s = cpu_s_by_name(pids), loop.time()
            due_s, turn = began_s, 0
            while due_s < began_s + load.duration_s:
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                target = load.targets[turn % len(load.targets)]
                group.create_task(self._send_timed(session, target))
                due_s += rng.expovariate(load.rate)
                turn += 1
        after = cpu_s_by_name(pids)
        return WholeResult(
            latencies={n: _latency(h) for n, h in self._histograms.items()},
            failed=self._failed,
            cpu_s={name: after[name] - before[name] for name in pids},
            elapsed_s=loop.time() - began_s,
        )

    async def _send_timed(
        self, session: aiohttp.ClientSession, target: Target
    ) -> None:
        # The clock of uvloop's event loop has a resolution of only 1 ms.
        began_s = time.perf_counter()
        try:
            async with _post(session, target) as response:
                await response.read()
        except (aiohttp.ClientError, OSError):
            self._failed += 1
            return
        if response.status != _OK:
            self._failed += 1
            return
        micros = round((time.perf_counter() - began_s) * 1e6)
        self._histograms[target.name].record_value(max(1, micros))


def _latency(histogram: HdrHistogram) -> Latency:
    at = histogram.get_value_at_percentile
    return Latency(histogram.get_total_count(), at(50), at(95), at(99))


class _StreamLoadRunner:
    """Keeps a number of streams open and counts the tokens read from them."""

    def __init__(self, load: StreamLoad) -> None:
        self._load = load
        self._tokens = 0
        self._parts = 0
        self._failed = 0

    async def run(self) -> StreamResult:
        load = self._load
        loop = asyncio.get_running_loop()
        pids = {**load.pids, LOAD_GENERATOR: os.getpid()}
        async with _session() as session:
            tasks = [
                asyncio.ensure_future(self._repeat(session))
                for _ in range(load.streams)
            ]
            await asyncio.sleep(load.warm_up_s)
            tokens, parts = self._tokens, self._parts
            before, began_s = cpu_s_by_name(pids), loop.time()
            await asyncio.sleep(load.duration_s)
            after, ended_s = cpu_s_by_name(pids), loop.time()
            result = StreamResult(
                tokens=self._tokens - tokens,
                parts=self._parts - parts,
                failed=self._failed,
                cpu_s={name: after[name] - before[name] for name in pids},
                elapsed_s=ended_s - began_s,
            )
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return result

    async def _repeat(self, session: aiohttp.ClientSession) -> None:
        while True:
            is_whole = False
            with contextlib.suppress(aiohttp.ClientError, OSError):
                is_whole = await self._read_one(session)
            if not is_whole:
                self._failed += 1
                await asyncio.sleep(0.1)

    async def _read_one(self, session: aiohttp.ClientSession) -> bool:
        last = b""
        async with _post(session, self._load.target) as response:
            if response.status != _OK:
                return False
            async for chunk in response.content.iter_any():
                self._parts += 1
                self._tokens += chunk.count(_EVENT)
                last = (last + chunk)[-_TAIL_BYTES:]
        return _DONE in last


async def _run_held(load: HeldLoad) -> HeldResult:
    resident = []
    async with _session() as session, contextlib.AsyncExitStack() as stack:
        opened = 0
        failed = 0
        for step in load.steps:
            opening = [
                _open(stack, session, load.target) for _ in range(step - opened)
            ]
            held = await asyncio.gather(*opening)
            failed += held.count(False)
            opened = step
            await asyncio.sleep(load.settle_s)
            resident.append(resident_bytes(load.pid))
    return HeldResult(load.steps, tuple(resident), failed)


async def _open(
    stack: contextlib.AsyncExitStack,
    session: aiohttp.ClientSession,
    target: Target,
) -> bool:
    """Opens a stream and waits for its first bytes; returns whether it did."""
    try:
        async with asyncio.timeout(_OPEN_TIMEOUT_S):
            response = await _post(session, target)
            first = await response.content.readany()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False
    stack.callback(response.close)
    return response.status == _OK and bool(first)


def _run(work: Coroutine[Any, Any, LoadResult]) -> None:
    click.echo(to_json(uvloop.run(work)))


@click.group()
def main() -> None:
    """Puts one load on a host and prints the result as JSON."""


@main.command()
@click.argument("load")
def whole(load: str) -> None:
    """Sends the requests of a `WholeLoad`, given as JSON."""
    _run(_WholeLoadRunner(from_json(load, WholeLoad)).run())


@main.command()
@click.argument("load")
def streams(load: str) -> None:
    """Keeps the streams of a `StreamLoad`, given as JSON."""
    _run(_StreamLoadRunner(from_json(load, StreamLoad)).run())


@main.command()
@click.argument("load")
def held(load: str) -> None:
    """Holds open the streams of a `HeldLoad`, given as JSON."""
    _run(_run_held(from_json(load, HeldLoad)))


if __name__ == "__main__":
    main()
