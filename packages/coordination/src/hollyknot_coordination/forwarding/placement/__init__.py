"""Decides which upstream a request is sent to."""

from hollyknot_coordination.forwarding.placement._cached_parts import (
    CachedParts,
    runs_of,
)
from hollyknot_coordination.forwarding.placement._demand import Demand
from hollyknot_coordination.forwarding.placement._forecasts import Forecasts
from hollyknot_coordination.forwarding.placement._lane_shares import LaneShares
from hollyknot_coordination.forwarding.placement._lanes import Lanes, LaneSize
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
    "LaneShares",
    "LaneSize",
    "Lanes",
    "Load",
    "Loads",
    "NoUpstream",
    "PlacedRequest",
    "Placement",
    "runs_of",
]
