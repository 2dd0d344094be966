"""Forecasts how long a stream will take at an upstream.

An engine that prefills all the time produces one token of each running stream
per step, and each step takes as long as a chunk of a prompt: 75 ms where 4 are
usual. A stream of 50 tokens that takes a third of a second on an idle engine
then takes four seconds and times out when nearly done. The slots in use do not
show this, since only a few streams run at a time. The intervals between events
of other streams at the upstream show it at once, whatever the reason is: a slow
engine, a long prompt or many streams.
"""

import math
from collections.abc import Iterable

import attrs

from hollyknot_state import UpstreamPace, short_name

SMOOTHING_S = 0.3
"""Time constant in seconds of the average of intervals at an upstream: a few
events of a busy one, and shorter than the time in which a queue builds up."""

FRESH_S = 1.0
"""Seconds without an event after which the pace of an upstream is unknown."""

MIN_ANSWERS = 5
"""Complete answers of a route before its usual length is known."""

_NEWEST = 0.02
"""Weight of the newest value in an average of lengths: it is small, since
lengths of answers differ by a factor of ten."""


@attrs.define
class _Pace:
    interval_s: float
    at_s: float


@attrs.define
class _Average:
    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        # A plain mean at first, so that no single early value dominates.
        weight = max(_NEWEST, 1 / self.count)
        self.value += weight * (value - self.value)


@attrs.define
class _Route:
    """Average lengths of a route's answers.

    Attributes:
        estimates: Tokens that callers expect, over all requests.
        whole_estimates: Tokens that callers expected, over requests with a
            complete answer.
        whole_intervals: Intervals between events, over complete answers.
    """

    estimates: _Average = attrs.Factory(_Average)
    whole_estimates: _Average = attrs.Factory(_Average)
    whole_intervals: _Average = attrs.Factory(_Average)


class Forecasts:
    """Paces of upstreams and lengths of answers, as one host knows them."""

    def __init__(self) -> None:
        """Builds forecasts without any observation."""
        self._paces: dict[str, _Pace] = {}
        # Reported by trackers, keyed by short name.
        self._tracked_paces: dict[int, _Pace] = {}
        self._routes: dict[str, _Route] = {}

    def note_interval(
        self, upstream: str, interval_s: float, now_s: float
    ) -> None:
        """Records the time between two events of a stream.

        The longer an interval, the greater its weight: a second of a busy
        engine has two intervals, a second of an idle engine fifty.
        """
        pace = self._paces.get(upstream)
        if pace is None or now_s - pace.at_s > FRESH_S:
            self._paces[upstream] = _Pace(interval_s, now_s)
            return
        weight = 1 - math.exp(-interval_s / SMOOTHING_S)
        pace.interval_s += weight * (interval_s - pace.interval_s)
        pace.at_s = now_s

    def pace(self, upstream: str, now_s: float) -> UpstreamPace | None:
        """Returns the average interval that this host observes, for reports.

        Returns:
            The interval in milliseconds; None without a recent event.
        """
        pace = self._paces.get(upstream)
        if pace is None or now_s - pace.at_s > FRESH_S:
            return None
        interval_ms = max(1, round(pace.interval_s * 1000))
        return UpstreamPace(short_name(upstream), interval_ms)

    def apply_reported(
        self, paces: Iterable[UpstreamPace], now_s: float
    ) -> None:
        """Adds paces that trackers reported, from streams of other hosts.

        In a large fleet each host relays few streams at a time and observes
        none at most upstreams.
        """
        for pace in paces:
            self._tracked_paces[pace.upstream] = _Pace(
                pace.interval_ms / 1000, now_s
            )

    def note_request(self, route: str, tokens: int) -> None:
        """Records how many tokens a caller expects its answer to have."""
        self._route(route).estimates.add(max(tokens, 1))

    def note_answer(self, route: str, tokens: int, intervals: int) -> None:
        """Records the length of a complete answer.

        While engines are busy only short answers complete, so that the mean
        length falls just when it matters, from 10 intervals to 5. The forecast
        therefore scales it by the ratio of the lengths that callers of all
        requests expected to those that callers of complete answers expected.

        Args:
            route: Name of the route.
            tokens: Tokens that the caller expected.
            intervals: Intervals between events of the answer.
        """
        known = self._route(route)
        known.whole_estimates.add(max(tokens, 1))
        known.whole_intervals.add(intervals)

    def forget(self, upstream: str) -> None:
        """Removes an upstream that has left for good."""
        self._paces.pop(upstream, None)
        self._tracked_paces.pop(short_name(upstream), None)

    def duration_s(
        self, upstream: str, route: str, now_s: float
    ) -> float | None:
        """Returns the expected time from first event to end of an answer.

        Returns:
            Seconds; None if too little is known.
        """
        pace = self._tracked_paces.get(short_name(upstream))
        if pace is None or now_s - pace.at_s > FRESH_S:
            pace = self._paces.get(upstream)
        if pace is None or now_s - pace.at_s > FRESH_S:
            return None
        known = self._route(route)
        if known.whole_intervals.count < MIN_ANSWERS:
            return None
        length_ratio = known.estimates.value / known.whole_estimates.value
        return pace.interval_s * known.whole_intervals.value * length_ratio

    def _route(self, name: str) -> _Route:
        return self._routes.setdefault(name, _Route())
