"""Separates streams that tolerate long gaps between events from others."""

import math
from collections.abc import Iterable

from hollyknot_state.routes import Route, RouteKind

TIGHT_GAP_RATIO = 1.4
"""Ratio to the shortest gap target below which a target still counts as tight.

Streams that tolerate gaps half as long again can share an engine that prefills
all the time, if its prompts are short or wait behind theirs. With such streams
in the loose lane, the shortest targets are met even in a burst."""


class GapTolerance:
    """Separates loose from tight routes of a service by their gap targets."""

    def __init__(self, routes: Iterable[Route], service: str) -> None:
        """Computes the gap target from which streams of a service are loose."""
        targets_s = {
            route.gap_target_s
            for route in routes
            if route.kind is RouteKind.STREAM
            and route.gap_target_s > 0
            and any(share.service == service for share in route.shares)
        }
        self._loose_from_s = min(targets_s, default=math.inf) * TIGHT_GAP_RATIO

    def is_loose(self, route: Route) -> bool:
        """Whether a route's streams tolerate long inter-token gaps."""
        return (
            not route.gap_target_s or route.gap_target_s >= self._loose_from_s
        )
