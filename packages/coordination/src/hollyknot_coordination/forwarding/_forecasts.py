"""How long a stream will take at an upstream, by how long streams take there.

An engine that reads prompts all the time makes one token of each running
stream in each step, and a step takes as long as a piece of a prompt: 75 ms
where 4 are usual. A stream of 50 tokens that takes a third of a second on an
idle engine then takes four, and times out when nearly done. Slots tell nothing
of it: a few streams run at a time. The intervals between events of other
streams there do, at once and whatever the reason is: a slow engine, a long
prompt, or many streams.
"""

import math
from collections.abc import Iterable

import attrs

from hollyknot_state import UpstreamPace, short_name

SMOOTHING_S = 0.3
"""Over which intervals at an upstream are averaged: a few events of a busy one,
and shorter than the time that a queue takes to build up."""

FRESH_S = 1.0
"""Without an event for so long nothing is known of an upstream."""

MIN_ANSWERS = 5
"""Of a route, before its usual length is known."""

_NEWEST = 0.02
"""Weight of the newest value: lengths of answers differ by ten times."""


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
        # A plain mean at first, so that no single value stands alone.
        weight = max(_NEWEST, 1 / self.count)
        self.value += weight * (value - self.value)


@attrs.define
class _Route:
    """Lengths of a route's answers.

    Attributes:
        estimates: Tokens, as callers expect them; of all requests.
        whole_estimates: The same of those that were answered whole.
        whole_intervals: Between the events of those answers.
    """

    estimates: _Average = attrs.Factory(_Average)
    whole_estimates: _Average = attrs.Factory(_Average)
    whole_intervals: _Average = attrs.Factory(_Average)


class Forecasts:
    """What one host has seen of the streams that it relays."""

    def __init__(self) -> None:
        """Has seen none."""
        self._paces: dict[str, _Pace] = {}
        # By short names, as trackers have told.
        self._tracked_paces: dict[int, _Pace] = {}
        self._routes: dict[str, _Route] = {}

    def note_interval(
        self, upstream: str, interval_s: float, now_s: float
    ) -> None:
        """Notes the time between two events of a stream.

        Long intervals weigh as much more as they are longer: a second of a busy
        engine shows in two of them, one of an idle engine in fifty.
        """
        pace = self._paces.get(upstream)
        if pace is None or now_s - pace.at_s > FRESH_S:
            self._paces[upstream] = _Pace(interval_s, now_s)
            return
        weight = 1 - math.exp(-interval_s / SMOOTHING_S)
        pace.interval_s += weight * (interval_s - pace.interval_s)
        pace.at_s = now_s

    def pace(self, upstream: str, now_s: float) -> UpstreamPace | None:
        """Returns the interval that this host sees, to be told."""
        pace = self._paces.get(upstream)
        if pace is None or now_s - pace.at_s > FRESH_S:
            return None
        interval_ms = max(1, round(pace.interval_s * 1000))
        return UpstreamPace(short_name(upstream), interval_ms)

    def take(self, paces: Iterable[UpstreamPace], now_s: float) -> None:
        """Takes what trackers have told of the streams of other hosts.

        One of many hosts relays a few streams at a time, so that it has seen
        none at most upstreams.
        """
        for pace in paces:
            self._tracked_paces[pace.upstream] = _Pace(
                pace.interval_ms / 1000, now_s
            )

    def note_request(self, route: str, tokens: int) -> None:
        """Notes how long a caller expects its answer to be."""
        self._route(route).estimates.add(max(tokens, 1))

    def note_answer(self, route: str, tokens: int, intervals: int) -> None:
        """Notes how many intervals a whole answer had.

        Only short answers are whole while engines are busy: their mean falls
        when it matters, from 10 intervals to 5. So it is set against what the
        callers of just these expected, and of all requests.
        """
        known = self._route(route)
        known.whole_estimates.add(max(tokens, 1))
        known.whole_intervals.add(intervals)

    def forget(self, upstream: str) -> None:
        """Notes that an upstream has left for good."""
        self._paces.pop(upstream, None)
        self._tracked_paces.pop(short_name(upstream), None)

    def duration_s(
        self, upstream: str, route: str, now_s: float
    ) -> float | None:
        """Returns how long an answer will take from its first event on.

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
