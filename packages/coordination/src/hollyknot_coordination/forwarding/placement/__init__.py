"""Decides which upstream a request is sent to."""

from hollyknot_coordination.forwarding.placement._cached_parts import (
    CachedParts,
    runs_of,
)
from hollyknot_coordination.forwarding.placement._forecasts import Forecasts
from hollyknot_coordination.forwarding.placement._lanes import (
    Demand,
    Lanes,
)
from hollyknot_coordination.forwarding.placement._loads import Load, Loads
from hollyknot_coordination.forwarding.placement._placement import (
    Choice,
    NoUpstream,
    PlacedRequest,
    Placement,
)

__all__ = [
    "CachedParts",
    "Choice",
    "Demand",
    "Forecasts",
    "Lanes",
    "Load",
    "Loads",
    "NoUpstream",
    "PlacedRequest",
    "Placement",
    "runs_of",
]
