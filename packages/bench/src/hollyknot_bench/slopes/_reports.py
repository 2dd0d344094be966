"""Measures what a load report over HTTP costs the host that requests it."""

import asyncio
import random
import time

import click
import uvloop

from hollyknot_bench.slopes._documents import PLAN_CENTRES
from hollyknot_bench.slopes._series import Series, make_series
from hollyknot_bench.slopes._wire import SEGMENT_HEADER_BYTES
from hollyknot_coordination.routing import RoutingOptions, UpstreamTable
from hollyknot_daemon._probes import Probes
from hollyknot_state import HostList, HostListEntry, Role

REPORTS = (16, 32, 64, 128, 256)
SEGMENTS_PER_REPORT = 9
"""TCP segments of one exchange.

Three open the connection, two carry request and answer, four close it.
"""

_BODY = (
    b'{"running":31,"queued":0,"slots":64,"kv_used":0.52,"draining":false,'
    b'"measured_ms_ago":250}'
)
_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json; charset=utf-8\r\n"
    b"Content-Length: %d\r\nDate: Wed, 02 Dec 2026 18:00:00 GMT\r\n"
    b"Server: engine\r\n\r\n"
)
_ANSWER = _HEAD % len(_BODY) + _BODY
_US_PER_S = 1e6
_TIMEOUT_S = 20.0
_CONCURRENT_REPORTS = 2
ROUNDS = 3


def measure(is_quick: bool) -> list[Series]:
    """Measures the processor time and bytes of load reports.

    Quick and full runs are the same.
    """
    del is_quick
    click.echo("load reports over loopback ...", err=True)
    return uvloop.run(_measure())


class _Engine:
    """Answers one request on each connection, and counts request bytes."""

    def __init__(self) -> None:
        self.asked = 0
        self.received = 0
        self._arrived = asyncio.Event()

    async def wait_for(self, asked: int) -> None:
        """Waits until this many reports have been requested in all."""
        while self.asked < asked:
            self._arrived.clear()
            await self._arrived.wait()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.received += len(await reader.readuntil(b"\r\n\r\n"))
        self.asked += 1
        self._arrived.set()
        writer.write(_ANSWER)
        writer.close()


async def _measure() -> list[Series]:
    engine = _Engine()
    server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    clock = asyncio.get_running_loop().time
    probes = Probes(_table(port), clock)
    cpu, size = [], []
    try:
        await _request_reports(probes, engine, REPORTS[0])
        for count in REPORTS:
            spent = []
            for _ in range(ROUNDS):
                engine.received = 0
                began_s = time.process_time()
                await _request_reports(probes, engine, count)
                spent.append((time.process_time() - began_s) * _US_PER_S)
            cpu.append((count, min(spent)))
            each = len(_ANSWER) + SEGMENTS_PER_REPORT * SEGMENT_HEADER_BYTES
            size.append((count, engine.received + count * each))
    finally:
        await probes.close()
        server.close()
        await server.wait_closed()
    return [
        make_series(
            "load reports", "cpu", "reports", "us, with a trivial engine", cpu
        ),
        make_series("load reports", "bytes", "reports", "bytes", size),
    ]


def _table(port: int) -> UpstreamTable:
    """Returns a table whose upstreams are all the engine at this port."""
    centre = PLAN_CENTRES[0]
    entries = tuple(
        HostListEntry(
            f"engine-{n}", Role.ENGINE, centre, "127.0.0.1", port, ("m",)
        )
        for n in range(_CONCURRENT_REPORTS)
    )
    table = UpstreamTable(RoutingOptions(), "host", centre, random.Random(1))
    table.on_host_list(HostList(1, entries), 0.0)
    return table


async def _request_reports(probes: Probes, engine: _Engine, count: int) -> None:
    """Requests this many reports, as many at a time as a host does."""
    wanted = engine.asked + count
    async with asyncio.timeout(_TIMEOUT_S):
        while engine.asked < wanted:
            seen = engine.asked
            probes.request_reports()
            await engine.wait_for(seen + _CONCURRENT_REPORTS)
