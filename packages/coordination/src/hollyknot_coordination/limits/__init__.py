"""Limits each upstream's concurrency by the latencies that it delivers."""

from hollyknot_coordination.limits._aimd import ConcurrencyLimit, LimitOptions
from hollyknot_coordination.limits._latency import (
    LatencyOptions,
    MedianLatency,
    Slowness,
)

__all__ = [
    "ConcurrencyLimit",
    "LatencyOptions",
    "LimitOptions",
    "MedianLatency",
    "Slowness",
]
