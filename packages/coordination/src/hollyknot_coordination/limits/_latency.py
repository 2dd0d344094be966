"""How slow an upstream is, measured by what it delivered to this host.

A load report may lag or lie. The time from dispatch to first byte does not,
but classes differ by their inputs. So each sample is divided by what is usual
for its pool and class, and the quotient is averaged for each upstream.
"""

import math

import attrs


@attrs.frozen
class LatencyOptions:
    """How latencies are averaged.

    Attributes:
        median_step: Factor by which the usual latency follows a sample.
        weight: Part of a new sample in an upstream's slowness.
        sample_max: The largest quotient that a sample counts for.
        half_life_s: Time in which a slowness halves its distance from 1
            without samples, so that an upstream which is avoided for being
            slow is tried again.
        straggler: Slowness from which an upstream's limit is cut.
    """

    median_step: float = 0.05
    weight: float = 0.2
    max_ratio: float = 10.0
    half_life_s: float = 10.0
    straggler_ratio: float = 2.5


class MedianLatency:
    """The median first-byte latency of a pool's class, tracked by steps.

    A median, since one straggler's samples would pull a mean up until the
    straggler looks usual.
    """

    def __init__(self, options: LatencyOptions) -> None:
        """Knows nothing at first."""
        self._options = options
        self._median_s = 0.0

    @property
    def median_s(self) -> float:
        """The usual latency in seconds, 0 before the first sample."""
        return self._median_s

    def ratio(self, latency_s: float) -> float:
        """Notes a sample and returns its quotient by the usual one."""
        latency_s = max(latency_s, 1e-6)
        if self._median_s == 0.0:
            self._median_s = latency_s
        ratio = latency_s / self._median_s
        step = 1.0 + self._options.median_step
        self._median_s *= step if ratio > 1.0 else 1.0 / step
        return min(ratio, self._options.max_ratio)


class Slowness:
    """An upstream's latency over the usual one; 1 is usual."""

    def __init__(self, options: LatencyOptions) -> None:
        """Starts as usual."""
        self._options = options
        self._value = 1.0
        self._sampled_s = 0.0

    def at(self, now_s: float) -> float:
        """Returns the slowness, which moves to 1 without samples."""
        if self._value == 1.0:
            return 1.0
        age = max(0.0, now_s - self._sampled_s)
        decay = math.exp2(-age / self._options.half_life_s)
        return 1.0 + (self._value - 1.0) * decay

    def note(self, ratio: float, now_s: float) -> None:
        """Averages one sample in."""
        before = self.at(now_s)
        self._value = before + (ratio - before) * self._options.weight
        self._sampled_s = now_s

    def is_straggler(self, now_s: float) -> bool:
        """Whether the upstream is far slower than its pool."""
        return self.at(now_s) >= self._options.straggler_ratio
