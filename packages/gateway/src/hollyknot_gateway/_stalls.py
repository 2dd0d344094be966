"""Ends silent tries early enough for a retry to succeed in time.

An upstream that hangs holds its connection open, so that nothing ends the try
before the request's own timeout. Only requests that may be repeated are ended
early: if any other is silent, it may still have run, so its answer is awaited.

A try is ended only while a retry can follow. A request that waits in the queue
of a busy engine is silent too; if its last try is ended, or if the retry budget
is spent, it gets no answer, although it would have got one later.
"""

from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from hollyknot_gateway._exchange import Exchange
from hollyknot_state.routes import Route, RouteKind, UpstreamEntry

FIRST_TIMEOUT_FACTOR = 3.0
"""Multiple of the route's target after which a try whose answer has not begun
is ended."""

MIN_FIRST_TIMEOUT_S = 0.5
"""Least time before a try whose answer has not begun is ended: a busy engine
answers after some hundreds of milliseconds, and its prefill would be lost."""

GAP_TIMEOUT_FACTOR = 5.0
"""Multiple of the route's gap target after which a silent stream is ended."""

MIN_GAP_TIMEOUT_S = 0.8
"""Least silence before a stream is ended: callers leave a silent stream after
two seconds, which leaves time to resume it at another upstream."""

UNREACHABLE_SILENCE_S = 0.2
"""Silence after which a try at an unreachable upstream is ended: a connection
that still carries data is better than a new try."""


@attrs.frozen
class _Watched:
    exchange: Exchange
    incarnation: str
    service: str
    retries_left: Callable[[], float]
    first_s: float
    gap_s: float

    def is_stalled(self, now_s: float) -> bool:
        limit_s = self.gap_s if self.exchange.has_head else self.first_s
        return now_s - self.exchange.last_byte_s > limit_s


class Stalls:
    """Watches the tries in flight that may be ended early."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Builds a watch over no tries.

        Args:
            clock: The loop's monotonic clock, in seconds.
        """
        self._clock = clock
        self._watched: dict[Exchange, _Watched] = {}

    def add(
        self,
        exchange: Exchange,
        upstream: str,
        service: str,
        route: Route,
        retries_left: Callable[[], float],
    ) -> None:
        """Starts to watch a try if its request may be sent again.

        Args:
            exchange: The try.
            upstream: Incarnation of the upstream that the request is sent to;
                empty if a peer chooses it.
            service: Name of the request's service.
            route: The request's route.
            retries_left: Returns how many retries the service's budget still
                allows; 0 if this request can't be sent to another upstream.
        """
        if not route.is_repeatable or route.max_attempts <= 1:
            return
        gap_s = max(GAP_TIMEOUT_FACTOR * route.gap_target_s, MIN_GAP_TIMEOUT_S)
        first_s = max(
            FIRST_TIMEOUT_FACTOR * route.target_s, MIN_FIRST_TIMEOUT_S
        )
        if route.kind is not RouteKind.STREAM:
            gap_s = first_s
        self._watched[exchange] = _Watched(
            exchange,
            upstream,
            service,
            retries_left,
            first_s,
            gap_s,
        )

    def discard(self, exchange: Exchange) -> None:
        """Stops watching a try."""
        self._watched.pop(exchange, None)

    def on_upstream_unreachable(self, incarnation: str) -> int:
        """Ends the silent tries at an upstream that can't answer any more.

        Returns:
            How many tries were ended.
        """
        cut_off = self._silent_at(incarnation)
        for watched in cut_off:
            watched.exchange.fail_as_silent()
        return len(cut_off)

    def on_upstream_silent(self, incarnation: str) -> int:
        """Ends the silent tries at an upstream that may answer later.

        Returns:
            How many tries were ended: those that a retry can follow.
        """
        return self._end(self._silent_at(incarnation))

    def hears_others(self, entry: UpstreamEntry) -> bool:
        """Whether other upstreams of the same service sent bytes just now.

        If none did, they may be as silent as this one.
        """
        since_s = self._clock() - UNREACHABLE_SILENCE_S
        return any(
            watched.service == entry.service
            and watched.incarnation != entry.incarnation
            and watched.exchange.last_byte_s >= since_s
            and watched.exchange.has_head
            for watched in self._watched.values()
        )

    def _silent_at(self, incarnation: str) -> list[_Watched]:
        since_s = self._clock() - UNREACHABLE_SILENCE_S
        return [
            watched
            for watched in self._watched.values()
            if watched.incarnation == incarnation
            and watched.exchange.last_byte_s < since_s
        ]

    def sweep(self) -> int:
        """Ends the tries that have been silent for too long.

        Returns:
            How many tries were ended.
        """
        now_s = self._clock()
        return self._end(
            watched
            for watched in list(self._watched.values())
            if watched.is_stalled(now_s)
        )

    def _end(self, stalled: Iterable[_Watched]) -> int:
        """Ends those of some tries that a retry can follow."""
        # The budget is charged only when the retries are sent, so the tries
        # ended here are subtracted.
        ended: Counter[str] = Counter()
        for watched in stalled:
            if watched.retries_left() - ended[watched.service] >= 1.0:
                ended[watched.service] += 1
                watched.exchange.fail_as_silent()
        return ended.total()
