"""How fast upstreams of one service are, learnt from the streams they send.

Upstreams of one service differ. On one that is a third slower each pause is a
third longer, which is late for streams that bear short pauses only, and does
not matter to the others. The usual interval between two events tells the
speed, but only while no long prompt is read in beside and not many streams run:
else it tells the load, and a busy upstream would be taken for a slow one.
"""

import heapq
import statistics
from collections import deque
from collections.abc import Iterable, Sequence

from hollyknot_coordination.forwarding._loads import Load
from hollyknot_state import UpstreamPace
from hollyknot_state.routes import UpstreamEntry

QUIET_STREAMS = 24
"""Streams at an upstream up to which an interval counts."""

STREAM_SHARE = 0.007
"""By how much each of them makes an engine's step longer, which is taken off: a
step of 3.88 ms takes 0.0276 ms more for each on the engines met so far."""

QUIET_TOKENS = 1500
"""Tokens waiting to be read in up to which an interval counts. With none
allowed, a busy upstream that was a third slower was found after 29 s; one short
prompt lengthens some intervals, and the shortest ones are what counts."""

KEPT_INTERVALS = 96
"""The newest quiet intervals of an upstream, from which its pace is taken."""

LEAST_INTERVALS = 48
"""Before an estimate counts."""

RANK = 4
"""Which of the shortest intervals is the pace. Half of them are twice as long,
since the first event comes sooner; the very shortest are events that were held
up on the way and arrive together. Measured on upstreams that differ by 1.3:
12 and 15 ms at this rank, and 25 ms against 31 at the median."""

SLOW_FROM = 1.22
SLOW_UNTIL = 1.10
"""Against the fastest of the service: from where an upstream counts as slow,
and until where it keeps doing so. Between the two hosts may differ for a while
without an upstream changing its lane all the time."""


class _Estimate:
    """The pace of one upstream, as this host has seen it."""

    def __init__(self) -> None:
        self._kept: deque[float] = deque(maxlen=KEPT_INTERVALS)
        self._new = 0
        self._pace: float | None = None

    @property
    def pace(self) -> float | None:
        return self._pace

    def add(self, interval_s: float) -> None:
        self._kept.append(interval_s)
        self._new += 1
        if self._new * 4 < LEAST_INTERVALS or len(self._kept) < LEAST_INTERVALS:
            return
        self._new = 0
        self._pace = heapq.nsmallest(RANK + 1, self._kept)[RANK]


class Paces:
    """Estimates of one host, and of the peers that tell theirs."""

    def __init__(self) -> None:
        """Has seen nothing."""
        self._own: dict[str, _Estimate] = {}
        self._peers: dict[str, list[float]] = {}
        self._slow: set[str] = set()

    @property
    def slow(self) -> frozenset[str]:
        """The upstreams that count as slow."""
        return frozenset(self._slow)

    def note(self, upstream: str, interval_s: float, load: Load) -> None:
        """Notes the time between two events of one stream.

        Args:
            upstream: Who sent them.
            interval_s: Seconds.
            load: What was in flight there.
        """
        is_quiet = load.waiting_tokens <= QUIET_TOKENS
        if not is_quiet or load.running > QUIET_STREAMS:
            return
        interval_s /= 1 + STREAM_SHARE * load.running
        estimate = self._own.get(upstream)
        if estimate is None:
            estimate = self._own[upstream] = _Estimate()
        estimate.add(interval_s)

    def told(self) -> tuple[UpstreamPace, ...]:
        """Returns this host's estimates, for its report."""
        return tuple(
            UpstreamPace(upstream, round(estimate.pace * 1e6))
            for upstream, estimate in self._own.items()
            if estimate.pace is not None
        )

    def take(self, reported: Iterable[UpstreamPace]) -> None:
        """Replaces what peers told before."""
        self._peers = {}
        for pace in reported:
            seconds = pace.interval_us / 1e6
            self._peers.setdefault(pace.upstream, []).append(seconds)

    def forget(self, upstream: str) -> None:
        """Notes that an upstream has left for good."""
        self._own.pop(upstream, None)
        self._slow.discard(upstream)

    def ratios(self, entries: Sequence[UpstreamEntry]) -> dict[str, float]:
        """Returns how much slower each upstream is than the fastest of them.

        One that nothing is known of is taken to be as fast.
        """
        known = {
            entry.incarnation: pace
            for entry in entries
            if (pace := self._pace(entry.incarnation)) is not None
        }
        fastest = min(known.values(), default=0.0)
        if fastest <= 0.0:
            return {}
        ratios = {name: pace / fastest for name, pace in known.items()}
        for name, ratio in ratios.items():
            if ratio >= SLOW_FROM:
                self._slow.add(name)
            elif ratio < SLOW_UNTIL:
                self._slow.discard(name)
        return ratios

    def is_slow(self, upstream: str) -> bool:
        """Whether an upstream was clearly slower when last looked at."""
        return upstream in self._slow

    def _pace(self, upstream: str) -> float | None:
        paces = list(self._peers.get(upstream, ()))
        own = self._own.get(upstream)
        if own is not None and own.pace is not None:
            paces.append(own.pace)
        return statistics.median(paces) if paces else None
