"""Queries upstreams for load reports and probes those that may have failed."""

import asyncio
from collections.abc import Callable

import aiohttp
import orjson

from hollyknot_coordination.routing import (
    PROBE_TIMEOUT_S,
    Probe,
    UpstreamTable,
)
from hollyknot_state import LoadReport

REPORTS_PER_S = 2
"""Load reports that one host requests per second. The rate does not depend on
the number of upstreams, so the cost of control does not grow with the fleet."""

_LOAD_PATH = "/v1/load"
_MAX_REPORT_BYTES = 4096


class Probes:
    """Sends probes and load queries, each on a new connection.

    An established connection can stay silent for ever while new ones work.
    Only a new connection distinguishes a lost connection from a lost upstream.
    """

    def __init__(
        self, table: UpstreamTable, clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._clock = clock
        self._last_asked = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
        )

    async def close(self) -> None:
        """Cancels all probes and closes the HTTP session."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()

    def start_due_probes(self) -> None:
        """Starts a probe of each upstream that is due for one."""
        for probe in self._table.probes_due(self._clock()):
            self._spawn(probe, is_probe=True)

    def request_reports(self) -> None:
        """Queries the next upstreams for their load; called every second."""
        targets = self._table.report_targets()
        for _ in range(min(REPORTS_PER_S, len(targets))):
            self._last_asked = (self._last_asked + 1) % len(targets)
            self._spawn(targets[self._last_asked], is_probe=False)

    def _spawn(self, probe: Probe, is_probe: bool) -> None:
        task = asyncio.ensure_future(self._run(probe, is_probe))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, probe: Probe, is_probe: bool) -> None:
        is_alive = False
        url = f"http://{probe.ip}:{probe.port}{_LOAD_PATH}"
        try:
            async with self._session.get(url) as response:
                body = await response.content.read(_MAX_REPORT_BYTES)
            is_alive = True
            self._apply_report(probe, body)
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        # A failed load query is no evidence against the upstream, since this
        # host itself may be slow. Only probes are counted.
        if is_probe:
            self._table.on_probe(probe.upstream, is_alive, self._clock())

    def _apply_report(self, probe: Probe, body: bytes) -> None:
        report = _parse_report(body)
        if report is not None:
            now = self._clock()
            self._table.on_load_report(probe.upstream, report, now)


def _parse_report(body: bytes) -> LoadReport | None:
    """Returns the load report, or None if the answer contains none.

    Services that don't report their load may answer anything.
    """
    try:
        document = orjson.loads(body)
        return LoadReport(
            running=int(document["running"]),
            queued=int(document["queued"]),
            slots=int(document["slots"]),
            draining=bool(document["draining"]),
            measured_ms_ago=int(document["measured_ms_ago"]),
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None
