"""Tracks which upstreams exist and which of them may get requests."""

from hollyknot_coordination.forwarding.upstreams._cold_starts import ColdStarts
from hollyknot_coordination.forwarding.upstreams._health import Health
from hollyknot_coordination.forwarding.upstreams._reachability import (
    Reachability,
)
from hollyknot_coordination.forwarding.upstreams._rests import Rests
from hollyknot_coordination.forwarding.upstreams._upstream_registry import (
    Ended,
    UpstreamRegistry,
)

__all__ = [
    "ColdStarts",
    "Ended",
    "Health",
    "Reachability",
    "Rests",
    "UpstreamRegistry",
]
