"""Ends the tries at an upstream that falls silent, if a retry can succeed."""

import asyncio
import random
from collections.abc import Callable

from hollyknot_coordination.forwarding import Reachability, UpstreamRegistry
from hollyknot_gateway._prober import PROBE_TIMEOUT_S, Prober
from hollyknot_gateway._stalls import Stalls
from hollyknot_state.routes import UpstreamEntry

MAX_PROBED = 8
"""Most upstreams that are probed to see whether others of a silent upstream's
service are silent too."""

WAIT_S = 2 * PROBE_TIMEOUT_S
"""Seconds after which the results of these probes are known."""


class SilentUpstreams:
    """Decides when the tries at a silent upstream are ended.

    A sound upstream may be silent for a second and go on. If all upstreams of
    its service are silent, a retry would only spend the retry budget.
    """

    def __init__(
        self,
        stalls: Stalls,
        registry: UpstreamRegistry,
        reachability: Reachability,
        prober: Prober,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Builds the decision.

        Args:
            stalls: The tries in flight that may be ended.
            registry: Known upstreams.
            reachability: Records which upstreams can't be connected to.
            prober: Probes other upstreams of the service.
            rng: Chooses the upstreams to probe.
            clock: The loop's monotonic clock, in seconds.
        """
        self._stalls = stalls
        self._registry = registry
        self._reachability = reachability
        self._prober = prober
        self._rng = rng
        self._clock = clock

    def on_timeout(self, entry: UpstreamEntry) -> None:
        """Ends the silent tries at an upstream that answers no connection.

        If no other upstream of its service is known to be alive, others are
        probed before.
        """
        if self._stalls.hears_others(entry):
            self._stalls.on_upstream_silent(entry.incarnation)
            return
        usable = self._registry.usable(entry.service, self._clock())
        others = [e for e in usable if e.incarnation != entry.incarnation]
        count = min(MAX_PROBED, len(others))
        self._prober.check_all(self._rng.sample(others, count))
        loop = asyncio.get_running_loop()
        loop.call_later(WAIT_S, self._end_tries, entry)

    def _end_tries(self, entry: UpstreamEntry) -> None:
        if self._reachability.unreachable([entry]):
            self._stalls.on_upstream_silent(entry.incarnation)
