"""Keeps the newest speed samples of the upstreams that a host tracks."""

from collections import deque

import attrs

MAX_SAMPLES = 12
"""Samples kept for each upstream: a busy one gets as many in about a second, so
that one that turns slow is noticed in that time."""

MIN_SAMPLES = 4
"""Samples from which the speed of an upstream counts as known."""

MAX_AGE_S = 10.0
"""Age in seconds above which a sample no longer counts. An upstream that was
slow and therefore gets few requests becomes unknown again, and is tried again.
"""

_QUARTER = 4


@attrs.frozen
class _Sample:
    token_ns: int
    at_s: float


class SpeedSamples:
    """Time per prompt token until the first event, by upstream.

    A sample contains the time that the request waited for others, which says
    nothing about the upstream's speed. The lower quartile of some samples
    leaves out most of it, and also a single host that is slow itself.
    """

    def __init__(self) -> None:
        """Creates samples of no upstream."""
        self._samples: dict[int, deque[_Sample]] = {}

    def record(self, upstream: int, token_ns: int, now_s: float) -> None:
        """Records a sample.

        Args:
            upstream: Short name of the upstream.
            token_ns: Nanoseconds per prompt token until the first event.
            now_s: Current time in seconds.
        """
        samples = self._samples.setdefault(upstream, deque(maxlen=MAX_SAMPLES))
        samples.append(_Sample(token_ns, now_s))

    def token_ns(self, upstream: int, now_s: float) -> int | None:
        """Returns the speed of an upstream.

        Returns:
            Nanoseconds per prompt token; None if too little is known.
        """
        fresh = sorted(
            sample.token_ns
            for sample in self._samples.get(upstream, ())
            if now_s - sample.at_s <= MAX_AGE_S
        )
        if len(fresh) < MIN_SAMPLES:
            return None
        return fresh[len(fresh) // _QUARTER]

    def expire(self, now_s: float) -> None:
        """Drops upstreams without a sample that still counts."""
        for upstream, samples in list(self._samples.items()):
            if now_s - samples[-1].at_s > MAX_AGE_S:
                del self._samples[upstream]
