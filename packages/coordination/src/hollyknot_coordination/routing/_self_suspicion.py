"""Detects that a host itself, and not its upstreams, is likely to be at fault.

A host whose own network fails sees all upstreams fail. If it relied on that,
it would serve no requests and make its peers distrust the whole pool. So when
more than a fraction of a pool's upstreams fail within a short window, the host
sends no signs to peers for the length of that window and tries upstreams that
it ejected as well.
"""

from collections.abc import Iterable

from hollyknot_coordination.routing._messages import UpstreamState
from hollyknot_coordination.routing._options import RoutingOptions
from hollyknot_coordination.routing._pools import Pool
from hollyknot_coordination.routing._upstream import Upstream

MIN_NEWLY_FAILING = 2
"""Minimum number of newly failing upstreams. If only one fails, it is as
likely to be at fault as the host."""

_FAILING = frozenset({UpstreamState.CHECKING, UpstreamState.EJECTED})
"""Excludes draining, as upstreams of a pool may well drain together."""


class SelfSuspicion:
    """Tracks whether the host suspects itself, and until when."""

    def __init__(self, options: RoutingOptions) -> None:
        """Creates the state of a host that does not suspect itself."""
        self._options = options
        self._until_s = float("-inf")

    def is_on(self, now_s: float) -> bool:
        """Returns whether the host suspects itself."""
        return now_s < self._until_s

    def on_failing(self, pools: Iterable[Pool], now_s: float) -> None:
        """Handles that an upstream of these pools has just begun to fail."""
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
