"""Ends tries that have fallen silent, while another one can still be in time.

An upstream that hangs holds its connection open, so that nothing ends the try
before the request's own timeout. Only what may be repeated is ended early: the
silence of a request that can't be proves nothing and is waited for.

And only while a retry can follow. A request that waits in the queue of a busy
engine is silent too; ended on its last try, or with the budget of retries
spent, it gets nothing at all, though it would have been answered later.
"""

from collections import Counter
from collections.abc import Callable

import attrs

from hollyknot_gateway._exchange import Exchange
from hollyknot_state.routes import Route, RouteKind, UpstreamEntry

FIRST_TIMEOUT_FACTOR = 3.0
"""Of a route's target, before an answer that has not begun is given up."""

MIN_FIRST_TIMEOUT_S = 0.5
"""A busy engine answers after some hundreds of milliseconds; ending its work
then would throw away what it has read in."""

GAP_TIMEOUT_FACTOR = 5.0
"""Of a route's pause target, before a stream is taken to hang."""

MIN_GAP_TIMEOUT_S = 0.8
"""Callers leave a silent stream after two seconds; this leaves time to go on
with it elsewhere."""

UNREACHABLE_SILENCE_S = 0.2
"""Silence after which a try at an upstream that can't be reached is cut off
too: a connection that still carries bytes is better than a new try."""


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
    """All tries that may be ended early."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Watches none.

        Args:
            clock: The loop's monotonic clock, in seconds.
        """
        self._clock = clock
        self._watched: dict[Exchange, _Watched] = {}

    def add(
        self,
        exchange: Exchange,
        entry: UpstreamEntry,
        route: Route,
        retries_left: Callable[[], float],
    ) -> None:
        """Watches a try, if its request may be sent again.

        Args:
            exchange: The try.
            entry: Its upstream.
            route: Of its request.
            retries_left: How many retries the service's budget still allows;
                0 if this request can't be sent to another upstream.
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
            entry.incarnation,
            entry.service,
            retries_left,
            first_s,
            gap_s,
        )

    def discard(self, exchange: Exchange) -> None:
        """Watches a try no longer."""
        self._watched.pop(exchange, None)

    def upstream_away(self, incarnation: str) -> int:
        """Ends the silent tries at an upstream that can't be reached.

        Returns:
            How many.
        """
        since_s = self._clock() - UNREACHABLE_SILENCE_S
        cut_off = [
            watched.exchange
            for watched in self._watched.values()
            if watched.incarnation == incarnation
            and watched.exchange.last_byte_s < since_s
        ]
        for exchange in cut_off:
            exchange.fail_as_silent()
        return len(cut_off)

    def sweep(self) -> int:
        """Ends the tries that have been silent for too long.

        Returns:
            How many.
        """
        now_s = self._clock()
        stalled = [
            watched
            for watched in self._watched.values()
            if watched.is_stalled(now_s)
        ]
        # Retries are spent only when the ended tries' requests go on.
        ended: Counter[str] = Counter()
        for watched in stalled:
            if watched.retries_left() - ended[watched.service] >= 1.0:
                ended[watched.service] += 1
                watched.exchange.fail_as_silent()
        return ended.total()
