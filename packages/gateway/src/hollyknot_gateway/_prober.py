"""Tells by new connections whether upstreams can be reached.

A connection that is open may be silent for good, and a request that waits for
a timeout on it tells little and late. A new connection takes a round trip, is
no request, and its end says much: made, the upstream lives; refused, its
process is gone; silent, the way there is cut.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from hollyknot_coordination.forwarding import Reachability
from hollyknot_gateway._log import Log
from hollyknot_gateway._pool import ConnectFailure, Pool
from hollyknot_state.routes import UpstreamEntry

PROBE_TIMEOUT_S = 0.3
"""A round trip takes milliseconds, also between regions tens of them."""


class Prober:
    """Connects to upstreams in the background, once at a time to each."""

    def __init__(
        self,
        pool: Pool,
        reachability: Reachability,
        on_unreachable: Callable[[UpstreamEntry, ConnectFailure], None],
        on_reachable: Callable[[UpstreamEntry], None],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Probes nothing yet; `close` ends all probes.

        Args:
            pool: Makes and keeps connections.
            reachability: Is told what was found.
            on_away: Told of an upstream that can't be reached any more.
            on_back: Told of one that can be reached again.
            log: Likewise.
            clock: The loop's monotonic clock, in seconds.
        """
        self._pool = pool
        self._reachability = reachability
        self._on_unreachable = on_unreachable
        self._on_reachable = on_reachable
        self._log = log
        self._clock = clock
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
        """Probes an upstream, unless that is being done.

        Returns:
            A task whose result is the failure, or None if it was reached.
        """
        name = entry.incarnation
        probe = self._probes.get(name)
        if probe is None:
            probe = asyncio.create_task(self._probe(entry))
            self._probes[name] = probe
            probe.add_done_callback(lambda _: self._probes.pop(name, None))
        return probe

    def check_all(self, entries: Iterable[UpstreamEntry]) -> None:
        """Probes upstreams that may all have been cut off at once."""
        for entry in entries:
            self.check(entry)

    def failed(self, entry: UpstreamEntry, failure: ConnectFailure) -> None:
        """Notes a connection that could not be made."""
        if not self._reachability.failed(entry, self._clock()):
            return
        self._log.line(
            "unreachable", upstream=entry.incarnation, reason=failure.value
        )
        # What is kept open to it may be silent for good.
        self._pool.drop(entry.incarnation)
        self._on_unreachable(entry, failure)

    async def _probe(self, entry: UpstreamEntry) -> ConnectFailure | None:
        found = await self._pool.open(entry.address, PROBE_TIMEOUT_S)
        if isinstance(found, ConnectFailure):
            self.failed(entry, found)
            return found
        self._pool.release(entry.incarnation, found)
        if self._reachability.succeeded(entry.incarnation, self._clock()):
            self._log.line("reachable", upstream=entry.incarnation)
            self._on_reachable(entry)
        return None
