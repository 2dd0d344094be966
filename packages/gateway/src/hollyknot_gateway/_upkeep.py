"""The work that a host repeats at fixed intervals."""

import asyncio
from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import Placement, Reachability
from hollyknot_coordination.suspects import Suspects
from hollyknot_gateway._caller_server import CallerServer
from hollyknot_gateway._cut_off_services import CutOffServices
from hollyknot_gateway._log import Log
from hollyknot_gateway._loss_classifier import LossClassifier
from hollyknot_gateway._neighbours import Neighbours
from hollyknot_gateway._operator_servers import OperatorServers
from hollyknot_gateway._placement_log import PlacementLog
from hollyknot_gateway._pool import Pool
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._readiness import Readiness
from hollyknot_gateway._relay_server import RelayServer
from hollyknot_gateway._stalls import Stalls
from hollyknot_gateway._suspension import Suspension

SWEEP_S = 0.25
"""Seconds between two checks of timers that need no precision."""

PROBE_S = 0.125
"""Seconds between two looks for unreachable upstreams that are due."""

FLUSH_S = 0.1
"""Seconds between two writes of buffered log lines."""


@attrs.frozen
class UpkeepParts:
    """The components that are swept, probed or flushed.

    Attributes:
        callers: Connections of callers.
        operators: Connections of the balancer and of scrapers.
        relays: Connections of peers.
        pools: Connections to upstreams, the directory and peers.
        stalls: Silent tries.
        placement: Divides upstreams into lanes.
        placement_log: Logs lanes and slow upstreams.
        readiness: Logs when the host becomes ready.
        neighbours: Told of suspensions.
        prober: Probes unreachable upstreams.
        reachability: Knows which of them are due.
        cut_off_services: Services of which no upstream is reached.
        losses: Losses that await proof.
        suspects: Evidence that expires.
        log: Buffered lines.
        clock: The loop's monotonic clock, in seconds.
    """

    callers: CallerServer
    operators: OperatorServers
    relays: RelayServer
    pools: tuple[Pool, ...]
    stalls: Stalls
    placement: Placement
    placement_log: PlacementLog
    readiness: Readiness
    neighbours: Neighbours
    prober: Prober
    reachability: Reachability
    cut_off_services: CutOffServices
    losses: LossClassifier
    suspects: Suspects
    log: Log
    clock: Callable[[], float]


class Upkeep:
    """Closes, probes and writes what is due, until it is cancelled."""

    def __init__(self, parts: UpkeepParts) -> None:
        """Creates the upkeep of these components."""
        self._parts = parts
        self._suspension = Suspension()

    async def sweep(self) -> None:
        """Ends what has lasted too long."""
        parts = self._parts
        while True:
            await asyncio.sleep(SWEEP_S)
            now_s = parts.clock()
            self._check_suspension()
            parts.readiness.check()
            parts.stalls.sweep()
            for server in (parts.callers, parts.operators, parts.relays):
                server.sweep(now_s)
            for pool in parts.pools:
                pool.sweep()
            parts.placement.refresh_lanes(now_s)
            parts.placement_log.check()

    async def probe_unreachable(self) -> None:
        """Probes unreachable upstreams that are due and settles losses."""
        parts = self._parts
        while True:
            await asyncio.sleep(PROBE_S)
            now_s = parts.clock()
            parts.prober.check_all(parts.reachability.due(now_s))
            parts.cut_off_services.check()
            parts.losses.settle()
            parts.suspects.expire(now_s)

    async def flush_log(self) -> None:
        """Writes buffered log lines."""
        while True:
            await asyncio.sleep(FLUSH_S)
            self._parts.log.flush()

    def _check_suspension(self) -> None:
        """Closes idle connections and learns of news after a suspension.

        The monotonic clock does not advance during a suspension. Connections
        seem to have been idle only briefly, although their other ends may have
        closed them long ago.
        """
        suspended_s = self._suspension.suspended_s()
        if not suspended_s:
            return
        self._parts.log.line("suspended", seconds=round(suspended_s, 2))
        self._parts.neighbours.on_suspended()
        for pool in self._parts.pools:
            pool.close()
