"""Limits an upstream's concurrency by AIMD.

AIMD stands for additive increase, multiplicative decrease. A limit of n grows
by one for each n requests that met their target while the limit was in use. It
decreases when the upstream refuses requests, queues them or answers late.
Decreases are spaced in time, since requests that were sent together all reflect
the same overload.
"""

import attrs


@attrs.frozen
class LimitOptions:
    """Parameters of concurrency limits.

    Attributes:
        start: Limit before any load report states the upstream's slots.
        share: Factor on a host's equal share of the upstream's slots that
            gives the starting limit, which is at most all slots. It is above
            1, since hosts are never equally busy.
        max_limit: Upper bound of every limit.
        decrease_factor: Factor by which a limit is multiplied when it
            decreases, between 0 and 1.
        min_decrease_interval_s: Shortest time between two decreases, in
            seconds.
        late_floor_fraction: Fraction of the starting limit below which late
            answers don't decrease the limit. An answer may be late because of
            its length, which no limit changes, and a lower limit would only
            leave the upstream idle.
        min_used_fraction: Fraction of the limit that must be in flight for
            the limit to grow: requests that meet their target at a low load
            say nothing about a higher load.
    """

    start: int = 8
    share: float = 2.0
    max_limit: int = 256
    decrease_factor: float = 0.7
    min_decrease_interval_s: float = 1.0
    late_floor_fraction: float = 0.25
    min_used_fraction: float = 0.5


class ConcurrencyLimit:
    """The concurrency limit of one upstream, never below 1."""

    def __init__(self, options: LimitOptions) -> None:
        """Creates a limit at `options.start`."""
        self._options = options
        self._start = float(options.start)
        self._limit = self._start
        self._was_adjusted = False
        self._slow_start_threshold = 0.0
        self._last_decrease_s = float("-inf")

    @property
    def value(self) -> int:
        """Number of requests that may be in flight."""
        return int(self._limit)

    @property
    def is_restarting(self) -> bool:
        """Whether the limit is still in slow start after `restart`."""
        return self._limit < self._slow_start_threshold

    def on_slots(self, slots: int, sharers: int) -> None:
        """Sets the starting limit from the slots in a load report.

        It does nothing once requests have adjusted the limit.

        Args:
            slots: Slots that the upstream reports; 0 if it reports none.
            sharers: Number of hosts that use the upstream.
        """
        if self._was_adjusted or slots <= 0:
            return
        share = self._options.share * slots / max(1, sharers)
        self._start = self._clamp(min(share, slots))
        self._limit = self._start

    def on_met_target(self, in_flight: int) -> None:
        """Grows the limit for a request that met its target.

        Args:
            in_flight: Requests in flight at the upstream just before this one
                ended, itself included.
        """
        if in_flight < self._limit * self._options.min_used_fraction:
            return
        self._was_adjusted = True
        step = 1.0 if self.is_restarting else 1.0 / self._limit
        self._limit = self._clamp(self._limit + step)

    def on_refused(self, now_s: float) -> None:
        """Decreases the limit for a refusal or a straggler's latency."""
        self._decrease(1.0, now_s)

    def on_late(self, now_s: float) -> None:
        """Decreases the limit for a late answer or a queue in the upstream."""
        self._decrease(self._start * self._options.late_floor_fraction, now_s)

    def restart(self) -> None:
        """Resets the limit to 1 after an ejection and begins a slow start.

        The limit doubles for each limit's worth of requests that meet their
        target until it is half of what it was, and then grows additively. A
        crashed engine restarts with a cold cache, and all hosts return to it
        at the same time.
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
