"""Learns how fast each upstream prefills, from the first events of streams."""

from hollyknot_coordination.forwarding.speeds._speed_samples import (
    SpeedSamples,
)
from hollyknot_coordination.forwarding.speeds._speeds import Speeds

__all__ = ["SpeedSamples", "Speeds"]
