"""Compares an upstream's latency with the median of its pool and class.

A load report may be late or wrong, while the time from dispatch to first byte
is what this host itself observes. Since inputs differ between classes, each
sample is divided by the median latency of its pool and class, and the ratio is
averaged for each upstream.
"""

import math

import attrs


@attrs.frozen
class LatencyOptions:
    """Parameters of the latency averages.

    Attributes:
        median_step: Relative step by which the tracked median moves towards
            each sample.
        weight: Weight of a new sample in an upstream's average, between 0 and
            1.
        max_ratio: Upper bound of the ratio that a sample counts for.
        half_life_s: Seconds in which a slowness without new samples halves
            its distance from 1, so that an upstream which is avoided for
            being slow is tried again.
        straggler_ratio: Slowness from which an upstream is a straggler and
            its concurrency limit is decreased.
    """

    median_step: float = 0.05
    weight: float = 0.2
    max_ratio: float = 10.0
    half_life_s: float = 10.0
    straggler_ratio: float = 2.5


class MedianLatency:
    """Tracks the median first-byte latency of a pool and class by small steps.

    It is a median because the samples of one straggler would raise a mean
    until the straggler looked normal.
    """

    def __init__(self, options: LatencyOptions) -> None:
        """Creates a tracker without samples."""
        self._options = options
        self._median_s = 0.0

    @property
    def median_s(self) -> float:
        """Median latency in seconds, 0 before the first sample."""
        return self._median_s

    def ratio(self, latency_s: float) -> float:
        """Adds a sample and returns its ratio to the median so far."""
        latency_s = max(latency_s, 1e-6)
        if self._median_s == 0.0:
            self._median_s = latency_s
        ratio = latency_s / self._median_s
        step = 1.0 + self._options.median_step
        self._median_s *= step if ratio > 1.0 else 1.0 / step
        return min(ratio, self._options.max_ratio)


class Slowness:
    """Averages the ratio of an upstream's latencies to the median."""

    def __init__(self, options: LatencyOptions) -> None:
        """Creates an average of 1, the ratio of a typical upstream."""
        self._options = options
        self._value = 1.0
        self._sampled_s = 0.0

    def at(self, now_s: float) -> float:
        """Returns the slowness, which decays towards 1 without samples."""
        if self._value == 1.0:
            return 1.0
        age = max(0.0, now_s - self._sampled_s)
        decay = math.exp2(-age / self._options.half_life_s)
        return 1.0 + (self._value - 1.0) * decay

    def note(self, ratio: float, now_s: float) -> None:
        """Adds one ratio to the average."""
        before = self.at(now_s)
        self._value = before + (ratio - before) * self._options.weight
        self._sampled_s = now_s

    def is_straggler(self, now_s: float) -> bool:
        """Returns whether the upstream is far slower than its pool."""
        return self.at(now_s) >= self._options.straggler_ratio
