"""Reads the rate limits that upstreams announce in their answers."""

from collections.abc import Callable

from hollyknot_coordination.forwarding import NamedLimits
from hollyknot_gateway._log import Log
from hollyknot_state.routes import AnswerTraits, NoLimit, UpstreamEntry


class RateLimits:
    """Reads rate limits from answers and logs their changes."""

    def __init__(
        self, named: NamedLimits, log: Log, clock: Callable[[], float]
    ) -> None:
        """Builds the reader of rate limits.

        Args:
            named: Stores the limit of each upstream.
            log: Logs limits that are announced, changed or withdrawn.
            clock: The loop's monotonic clock, in seconds.
        """
        self._named = named
        self._log = log
        self._clock = clock
        self._unreadable: set[str] = set()

    def rate(self, entry: UpstreamEntry) -> float | None:
        """Returns an upstream's limit in requests per second; None for none."""
        return self._named.rate(entry.incarnation)

    def observe(
        self, entry: UpstreamEntry, traits: AnswerTraits, sent_s: float
    ) -> None:
        """Records the rate limit that the head of an answer announces.

        Args:
            entry: The upstream that the request was sent to.
            traits: Values parsed from the answer's head.
            sent_s: Time at which the request was sent, on the loop's clock.
        """
        if traits.is_other_upstream:
            return
        rate = traits.rate_limit
        if rate is NoLimit.UNREADABLE:
            self._log_unreadable(entry)
            return
        self._unreadable.discard(entry.incarnation)
        if rate is NoLimit.NOT_NAMED and not traits.is_sealed:
            return
        limit = None if isinstance(rate, NoLimit) else rate
        if self._named.observe(entry.incarnation, limit, sent_s, self._clock()):
            self._log_limit(entry, limit)

    def forget(self, incarnation: str) -> None:
        """Discards the limit of an upstream that has left for good."""
        self._named.forget(incarnation)
        self._unreadable.discard(incarnation)

    def _log_limit(self, entry: UpstreamEntry, rate: float | None) -> None:
        if rate is None:
            self._log.line("limit_withdrawn", upstream=entry.incarnation)
        else:
            self._log.line("limit_named", upstream=entry.incarnation, rate=rate)

    def _log_unreadable(self, entry: UpstreamEntry) -> None:
        if entry.incarnation not in self._unreadable:
            self._unreadable.add(entry.incarnation)
            self._log.line("limit_unreadable", upstream=entry.incarnation)
