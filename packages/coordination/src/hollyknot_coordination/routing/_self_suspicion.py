"""When a host holds itself, and not its upstreams, to be at fault.

A host whose own network fails sees all upstreams fail. Were it to believe
that, it would serve nobody and tell its peers to distrust the whole pool. So
when more than a share of a pool's upstreams go bad within a short time, it
tells peers nothing for that time and tries ejected upstreams as well.
"""

from collections.abc import Iterable

from hollyknot_coordination.routing._messages import UpstreamState
from hollyknot_coordination.routing._options import RoutingOptions
from hollyknot_coordination.routing._pools import Pool
from hollyknot_coordination.routing._upstream import Upstream

MIN_NEWLY_FAILING = 2
"""Upstreams that must be newly bad: one alone is as likely at fault."""

_FAILING = frozenset({UpstreamState.CHECKING, UpstreamState.EJECTED})
"""Draining is left out: upstreams of a pool may well drain together."""


class SelfSuspicion:
    """Whether the host suspects itself, and until when."""

    def __init__(self, options: RoutingOptions) -> None:
        """Does not at first."""
        self._options = options
        self._until_s = float("-inf")

    def is_on(self, now_s: float) -> bool:
        """Whether the host suspects itself."""
        return now_s < self._until_s

    def on_failing(self, pools: Iterable[Pool], now_s: float) -> None:
        """Takes in that an upstream of these pools has just gone bad."""
        window_s = self._options.self_suspicion_window_s
        for pool in pools:
            members = pool.members
            failing = sum(
                _is_newly_failing(u, now_s - window_s) for u in members
            )
            threshold = self._options.self_suspicion_fraction * len(members)
            if failing >= MIN_NEWLY_FAILING and failing > threshold:
                self._until_s = now_s + window_s


def _is_newly_failing(upstream: Upstream, since_s: float) -> bool:
    return upstream.state in _FAILING and upstream.unusable_since_s >= since_s
