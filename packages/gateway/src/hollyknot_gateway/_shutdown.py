"""Stops a host gracefully."""

import asyncio
from collections.abc import Callable

from hollyknot_gateway._caller_server import CallerServer
from hollyknot_gateway._grace import Grace
from hollyknot_gateway._log import Log
from hollyknot_gateway._loss_classifier import LossClassifier
from hollyknot_gateway._neighbours import Neighbours
from hollyknot_gateway._readiness import Readiness
from hollyknot_gateway._relay_server import RelayServer

BALANCER_DELAY_S = 3.0
"""Seconds for which a stopping host still accepts connections. The balancer
checks readiness once a second and removes a host after two failed checks."""

STOP_MARGIN_S = 0.8
"""Seconds before the end of the grace period, when the host is killed, at which
it ends the remaining requests itself. Half of it is left to send their answers,
the rest to end the process."""

CHECK_INTERVAL_S = 0.125
"""Seconds between two checks whether everything has ended."""


class Shutdown:
    """Lets requests in flight end, and tells peers what they don't know yet."""

    def __init__(
        self,
        readiness: Readiness,
        grace: Grace,
        callers: CallerServer,
        relay_server: RelayServer,
        losses: LossClassifier,
        neighbours: Neighbours,
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Creates a shutdown that has not begun.

        Args:
            readiness: Ends first, so that no new callers are sent.
            grace: Ends requests that are not answered in time.
            callers: Connections and requests of callers.
            relay_server: Tries that this host makes for peers.
            losses: Losses that await a verdict.
            neighbours: Peers to be told of them.
            log: Logs the beginning, and what peers were not told.
            clock: The loop's monotonic clock, in seconds.
        """
        self._readiness = readiness
        self._grace = grace
        self._callers = callers
        self._relay_server = relay_server
        self._losses = losses
        self._neighbours = neighbours
        self._log = log
        self._clock = clock

    @property
    def _has_evidence(self) -> bool:
        """Whether this host alone knows of a loss, which peers need to know."""
        return self._losses.is_judging or self._neighbours.has_own_news

    @property
    def _is_serving(self) -> bool:
        """Whether a request is in flight."""
        return bool(self._callers.in_work or self._relay_server.in_work)

    async def run(self, grace_s: float) -> None:
        """Waits until nothing is left to do, or the grace period is over.

        Args:
            grace_s: Seconds after which the process is killed.
        """
        margin_s = min(STOP_MARGIN_S, grace_s / 2)
        ends_s = self._clock() + grace_s - margin_s
        last_s = ends_s + margin_s / 2
        self._readiness.stop()
        self._grace.begin(ends_s)
        self._log.line("stop", in_work=self._callers.in_work)
        self._callers.announce_close()
        self._relay_server.announce_close()
        await asyncio.sleep(min(BALANCER_DELAY_S, grace_s / 2))
        while self._clock() < last_s:
            self._callers.close_idle()
            self._relay_server.close_idle()
            if not (self._is_serving or self._has_evidence):
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
        if self._has_evidence:
            self._log.line("evidence_lost", judging=self._losses.is_judging)
