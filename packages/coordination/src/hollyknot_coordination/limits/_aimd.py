"""A concurrency limit for one upstream: additive increase, multiplicative cut.

It grows by one for each limit's worth of requests in target while it is in
use, and is cut when the upstream refuses, queues or is late. Cuts are spaced,
since requests that were sent together tell of the same moment.
"""

import attrs


@attrs.frozen
class LimitOptions:
    """How limits move.

    Attributes:
        start: The limit before any report names slots.
        share: Part of the slots, shared out over the hosts that use the
            upstream, at which a limit starts. Above 1, since hosts are never
            equally busy.
        largest: No limit grows beyond it.
        cut: Factor of a cut.
        cut_every_s: Least time between two cuts.
        late_floor: Part of the start below which late answers do not cut: an
            answer may be late for its length, which no limit mends, and
            cutting on would only waste the upstream.
        used_share: Part of the limit that must be in flight for it to grow:
            requests in target at a low load say nothing of a higher one.
    """

    start: int = 8
    share: float = 2.0
    max_limit: int = 256
    decrease_factor: float = 0.7
    min_decrease_interval_s: float = 1.0
    late_floor_fraction: float = 0.25
    min_used_fraction: float = 0.5


class ConcurrencyLimit:
    """The limit of one upstream, never below 1."""

    def __init__(self, options: LimitOptions) -> None:
        """Starts at the options' constant."""
        self._options = options
        self._start = float(options.start)
        self._limit = self._start
        self._was_adjusted = False
        self._slow_start_threshold = 0.0
        self._last_decrease_s = float("-inf")

    @property
    def value(self) -> int:
        """How many requests may be in flight."""
        return int(self._limit)

    @property
    def is_restarting(self) -> bool:
        """Whether it still grows back after `restart`."""
        return self._limit < self._slow_start_threshold

    def on_slots(self, slots: int, sharers: int) -> None:
        """Starts from a report's slots, as long as nothing was delivered."""
        if self._was_adjusted or slots <= 0:
            return
        share = self._options.share * slots / max(1, sharers)
        self._start = self._clamp(min(share, slots))
        self._limit = self._start

    def on_met_target(self, in_flight: int) -> None:
        """Notes a request that ended in target.

        Args:
            in_flight: Requests there just before it ended, itself included.
        """
        if in_flight < self._limit * self._options.min_used_fraction:
            return
        self._was_adjusted = True
        step = 1.0 if self.is_restarting else 1.0 / self._limit
        self._limit = self._clamp(self._limit + step)

    def on_refused(self, now_s: float) -> None:
        """Notes a refusal or a latency far above the pool's."""
        self._decrease(1.0, now_s)

    def on_late(self, now_s: float) -> None:
        """Notes an answer that missed its target, or a queue inside."""
        self._decrease(self._start * self._options.late_floor_fraction, now_s)

    def restart(self) -> None:
        """Starts again at 1 after an ejection.

        It doubles for each limit's worth of good requests up to half of what
        it was, then grows as usual: a crashed engine comes back with a cold
        cache, and all hosts come back to it at once.
        """
        self._was_adjusted = True
        self._slow_start_threshold = max(
            self._slow_start_threshold, self._limit / 2
        )
        self._limit = 1.0

    def _decrease(self, floor: float, now_s: float) -> None:
        if (
            now_s - self._last_decrease_s
            < self._options.min_decrease_interval_s
        ):
            return
        if self._limit <= floor:
            return
        self._was_adjusted = True
        self._last_decrease_s = now_s
        self._slow_start_threshold = 0.0
        self._limit = self._clamp(
            max(floor, self._limit * self._options.decrease_factor)
        )

    def _clamp(self, limit: float) -> float:
        return min(max(1.0, limit), float(self._options.max_limit))
