"""Reads what upstreams say about themselves in the heads of their answers.

A notice belongs to the incarnation that gave it. It is learnt as soon as the
head arrives, whether the answer is a success, a refusal or one that the caller
no longer waits for.
"""

from collections.abc import Callable

from hollyknot_coordination.forwarding import (
    NamedLimits,
    Rests,
    UpstreamRegistry,
)
from hollyknot_gateway._log import Log
from hollyknot_state.routes import (
    AnswerTraits,
    NoLimit,
    NoRest,
    UpstreamEntry,
)


class AnswerNotices:
    """Reads rate limits, rests and shutdowns, and logs their changes."""

    def __init__(
        self,
        limits: NamedLimits,
        brittle: NamedLimits,
        rests: Rests,
        registry: UpstreamRegistry,
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Builds the reader of notices.

        Args:
            limits: Stores the rate limit of each upstream.
            brittle: Stores how many rejections upstreams can bear, by service.
            rests: Stores the rests that upstreams ask for.
            registry: Stores which upstreams are leaving.
            log: Logs notices that are new, changed or withdrawn.
            clock: The loop's monotonic clock, in seconds.
        """
        self._limits = limits
        self._brittle = brittle
        self._rests = rests
        self._registry = registry
        self._log = log
        self._clock = clock
        self._unreadable: set[tuple[str, str]] = set()

    def rate(self, entry: UpstreamEntry) -> float | None:
        """Returns an upstream's limit in requests per second; None for none."""
        return self._limits.rate(entry.incarnation)

    def is_leaving(self, entry: UpstreamEntry) -> bool:
        """Whether an upstream has said that it is shutting down."""
        return self._registry.is_leaving(entry.incarnation)

    def rest_left_s(self, entry: UpstreamEntry) -> float:
        """Returns the seconds until an upstream's rest ends; 0 for none."""
        return self._rests.left_s(entry.incarnation, self._clock())

    def observe(
        self, entry: UpstreamEntry, traits: AnswerTraits, sent_s: float
    ) -> None:
        """Records the notices in the head of an answer.

        Args:
            entry: The upstream that the request was sent to.
            traits: Values parsed from the answer's head.
            sent_s: Time at which the request was sent, on the loop's clock.
        """
        if traits.is_other_upstream:
            # Another upstream has answered at the address.
            return
        self._observe_limit(entry, traits, sent_s)
        self._observe_brittle(entry, traits, sent_s)
        self._observe_leaving(entry, traits)
        self._observe_rest(entry, traits, sent_s)

    def forget(self, incarnation: str) -> None:
        """Discards the rate limit of an upstream that has left for good."""
        self._limits.forget(incarnation)
        self._unreadable = {
            (name, event)
            for name, event in self._unreadable
            if name != incarnation
        }

    def _observe_limit(
        self, entry: UpstreamEntry, traits: AnswerTraits, sent_s: float
    ) -> None:
        rate = traits.rate_limit
        if rate is NoLimit.UNREADABLE:
            self._log_unreadable("limit_unreadable", entry)
            return
        self._unreadable.discard((entry.incarnation, "limit_unreadable"))
        if rate is NoLimit.NOT_NAMED and not traits.is_sealed:
            return
        limit = None if isinstance(rate, NoLimit) else rate
        is_change = self._limits.observe(
            entry.incarnation, limit, sent_s, self._clock()
        )
        if is_change:
            self._log_limit(entry, limit)

    def _observe_brittle(
        self, entry: UpstreamEntry, traits: AnswerTraits, sent_s: float
    ) -> None:
        max_rejections = traits.brittle
        if max_rejections is NoLimit.UNREADABLE:
            self._log_unreadable("brittle_unreadable", entry)
            return
        self._unreadable.discard((entry.incarnation, "brittle_unreadable"))
        if max_rejections is NoLimit.NOT_NAMED and not traits.is_sealed:
            return
        named = None if isinstance(max_rejections, NoLimit) else max_rejections
        # All upstreams of a service are brittle at the same time.
        if self._brittle.observe(entry.service, named, sent_s, self._clock()):
            self._log.line(
                "brittle_withdrawn" if named is None else "brittle_named",
                service=entry.service,
                rejections=named,
            )

    def _observe_leaving(
        self, entry: UpstreamEntry, traits: AnswerTraits
    ) -> None:
        if not traits.is_leaving:
            return
        if self._registry.mark_leaving(entry.incarnation):
            self._log.line("upstream_leaving", upstream=entry.incarnation)

    def _observe_rest(
        self, entry: UpstreamEntry, traits: AnswerTraits, sent_s: float
    ) -> None:
        rest_s = traits.rest_s
        if rest_s is NoRest.UNREADABLE:
            self._log_unreadable("rest_unreadable", entry)
        if isinstance(rest_s, NoRest):
            self._rests.on_answer(entry.incarnation, sent_s)
            return
        self._unreadable.discard((entry.incarnation, "rest_unreadable"))
        if self._rests.observe(entry.incarnation, rest_s, self._clock()):
            self._log.line(
                "rest_asked", upstream=entry.incarnation, rest_s=rest_s
            )

    def _log_limit(self, entry: UpstreamEntry, rate: float | None) -> None:
        if rate is None:
            self._log.line("limit_withdrawn", upstream=entry.incarnation)
        else:
            self._log.line("limit_named", upstream=entry.incarnation, rate=rate)

    def _log_unreadable(self, event: str, entry: UpstreamEntry) -> None:
        """Logs an unreadable value, once until a readable one follows."""
        key = entry.incarnation, event
        if key not in self._unreadable:
            self._unreadable.add(key)
            self._log.line(event, upstream=entry.incarnation)
