"""Checks by opening new connections whether upstreams can be reached.

An open connection may be dead without a sign, and a request that times out on
it shows little, and late. A connection attempt takes one round trip, runs no
request, and its result shows the cause: if it succeeds, the upstream is alive;
if it is refused, the upstream's process has ended; if it times out, the
network path is cut.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable, Iterable

from hollyknot_coordination.forwarding import Reachability
from hollyknot_gateway._log import Log
from hollyknot_gateway._pool import ConnectFailure, Pool
from hollyknot_state.routes import UpstreamEntry

LOSS_MEMORY_S = 2.0
"""Seconds after a lost connection for which those to upstreams that refuse new
ones may be dead too: a network that refuses may reset what is sent next."""

PROBE_TIMEOUT_S = 0.3
"""A round trip takes milliseconds, between regions tens of milliseconds."""


class Prober:
    """Probes upstreams in the background, each by one connection at a time."""

    def __init__(
        self,
        pool: Pool,
        reachability: Reachability,
        on_unreachable: Callable[[UpstreamEntry, ConnectFailure], None],
        on_reachable: Callable[[UpstreamEntry], None],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Builds a prober without running probes; `close` ends all probes.

        Args:
            pool: Opens connections and keeps those that succeed.
            reachability: Records the results of probes.
            on_unreachable: Called when an upstream becomes unreachable.
            on_reachable: Called when an upstream is reachable again.
            log: Logs both changes.
            clock: The loop's monotonic clock, in seconds.
        """
        self._pool = pool
        self._reachability = reachability
        self._on_unreachable = on_unreachable
        self._on_reachable = on_reachable
        self._log = log
        self._clock = clock
        self._lost_s = -math.inf
        self._probes: dict[str, asyncio.Task[ConnectFailure | None]] = {}

    async def close(self) -> None:
        """Ends all probes."""
        for probe in list(self._probes.values()):
            probe.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await probe

    def check(
        self, entry: UpstreamEntry
    ) -> "asyncio.Task[ConnectFailure | None]":
        """Probes an upstream, unless a probe of it is running already.

        Returns:
            The probe's task; its result is the failure, or None if the
            upstream was reached.
        """
        name = entry.incarnation
        probe = self._probes.get(name)
        if probe is None:
            probe = asyncio.create_task(self._probe(entry))
            self._probes[name] = probe
            probe.add_done_callback(lambda _: self._probes.pop(name, None))
        return probe

    def check_all(self, entries: Iterable[UpstreamEntry]) -> None:
        """Probes several upstreams, such as all behind a network cut."""
        for entry in entries:
            self.check(entry)

    def failed(self, entry: UpstreamEntry, failure: ConnectFailure) -> None:
        """Records a connection attempt that failed.

        A connection that was lost at once says nothing: its upstream may have
        too many connections, or may be ending.
        """
        if failure is ConnectFailure.LOST:
            return
        now_s = self._clock()
        is_refusal = failure is ConnectFailure.REFUSED
        if not self._reachability.failed(entry, now_s, is_refusal=is_refusal):
            return
        self._log.line(
            "unreachable", upstream=entry.incarnation, reason=failure.value
        )
        if not is_refusal or now_s - self._lost_s < LOSS_MEMORY_S:
            # Idle connections to it may be dead without a sign.
            self._pool.drop(entry.incarnation)
        self._on_unreachable(entry, failure)

    def on_connection_lost(self) -> None:
        """Records that a request was lost with its connection.

        Idle connections to upstreams that refuse new ones are closed.
        """
        self._lost_s = self._clock()
        for incarnation in self._reachability.refusing:
            self._pool.drop(incarnation)

    async def _probe(self, entry: UpstreamEntry) -> ConnectFailure | None:
        result = await self._pool.open(entry.address, PROBE_TIMEOUT_S)
        if isinstance(result, ConnectFailure):
            self.failed(entry, result)
            return result
        self._pool.release(entry.incarnation, result)
        if self._reachability.succeeded(entry.incarnation, self._clock()):
            self._log.line("reachable", upstream=entry.incarnation)
            self._on_reachable(entry)
        return None
