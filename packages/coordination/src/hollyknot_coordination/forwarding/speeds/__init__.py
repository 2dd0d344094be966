"""Learns how fast upstreams prefill and how long tries of a route take."""

from hollyknot_coordination.forwarding.speeds._durations import Durations
from hollyknot_coordination.forwarding.speeds._speed_samples import (
    SpeedSamples,
)
from hollyknot_coordination.forwarding.speeds._speeds import Speeds

__all__ = ["Durations", "SpeedSamples", "Speeds"]
