"""Counts work in flight at upstreams, a host's own and its peers'."""

import math
import operator
from collections.abc import Callable, Iterable, Sequence

import attrs

from hollyknot_coordination.forwarding._route_index import LEAST_URGENT
from hollyknot_state import HostReport, UpstreamUse, short_name

URGENCIES = LEAST_URGENT + 1
"""Number of urgencies, from 0, the most urgent, to the least urgent."""

_MAX_COUNT = 255
"""Largest number of requests per urgency in a report, where each number takes
one byte. No upstream has as many slots for one host."""

TRACKED_S = 0.03
"""Seconds for which a tracker's answer takes precedence over reports: work in
flight changes within tens of milliseconds, and a round trip takes some."""

_MAX_TRACKED = 500
"""Trackers' answers that may be kept before expired ones are dropped."""

_NO_COUNTS = (0,) * URGENCIES


@attrs.frozen
class Load:
    """Work at one upstream.

    Attributes:
        tokens: Prompt tokens at each urgency whose prefill may not be complete.
        waiting: Requests without a first event.
        running: Streams that have begun.
        urgencies: Requests at each urgency, waiting or running.
    """

    tokens: tuple[int, ...] = _NO_COUNTS
    waiting: int = 0
    running: int = 0
    urgencies: tuple[int, ...] = _NO_COUNTS

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens that wait for prefill, at all urgencies."""
        return sum(self.tokens)

    @property
    def requests(self) -> int:
        """Requests in flight."""
        return self.waiting + self.running

    def requests_ahead_of(self, urgency: int) -> int:
        """Returns how many requests are at an urgency or more urgent.

        The upstream does not preempt these for a request of that urgency.
        """
        return sum(self.urgencies[: urgency + 1])

    def behind(self, urgency: int) -> int:
        """Returns how many requests are at an urgency or less urgent."""
        return sum(self.urgencies[urgency:])

    def tokens_ahead_of(self, urgency: int) -> int:
        """Returns the prompt tokens at an urgency or more urgent.

        The upstream prefills these before a prompt of that urgency.
        """
        return sum(self.tokens[: urgency + 1])

    def tokens_in_prefill(self, urgency: int) -> int:
        """Returns the expected rest of a less urgent prompt in prefill.

        An engine defers less urgent prompts, except for the one whose prefill
        has begun: a prompt of 34,000 tokens makes more urgent streams wait for
        half a second. On average half of it is left.
        """
        less_urgent = sum(self.tokens[urgency + 1 :])
        return less_urgent // (2 * max(1, self.waiting))

    def __add__(self, other: "Load") -> "Load":
        return Load(
            _sums(self.tokens, other.tokens),
            self.waiting + other.waiting,
            self.running + other.running,
            _sums(self.urgencies, other.urgencies),
        )


def _sums(some: tuple[int, ...], others: tuple[int, ...]) -> tuple[int, ...]:
    return tuple(map(operator.add, some, others))


_NO_LOAD = Load()


def _zeros() -> list[int]:
    return [0] * URGENCIES


@attrs.define
class _OwnLoad:
    waiting: int = 0
    running: int = 0
    tokens: list[int] = attrs.Factory(_zeros)
    urgencies: list[int] = attrs.Factory(_zeros)

    def load(self) -> Load:
        """Returns a snapshot."""
        return Load(
            tuple(self.tokens),
            self.waiting,
            self.running,
            tuple(self.urgencies),
        )


class Loads:
    """Work in flight of this host and of the peers that report to it.

    Attributes:
        on_change: Called after each change of this host's own work.
    """

    def __init__(self) -> None:
        """Builds loads without any work in flight."""
        self._own: dict[str, _OwnLoad] = {}
        self._peers: dict[int, Load] = {}
        self._tracked: dict[int, tuple[Load, float]] = {}
        self._changed: set[str] = set()
        self.on_change: Callable[[], None] = _ignore

    def begin(self, upstream: str, tokens: int, urgency: int) -> None:
        """Records that a request was sent."""
        own = self._own.setdefault(upstream, _OwnLoad())
        own.waiting += 1
        own.tokens[urgency] += tokens
        own.urgencies[urgency] += 1
        self._note_change(upstream)

    def start(self, upstream: str, tokens: int, urgency: int) -> None:
        """Records that a stream has begun, so that its prefill is complete."""
        own = self._own[upstream]
        own.waiting -= 1
        own.tokens[urgency] -= tokens
        own.running += 1
        self._note_change(upstream)

    def end(
        self, upstream: str, tokens: int, urgency: int, *, has_started: bool
    ) -> None:
        """Records that a request has ended."""
        own = self._own[upstream]
        own.urgencies[urgency] -= 1
        if has_started:
            own.running -= 1
        else:
            own.waiting -= 1
            own.tokens[urgency] -= tokens
        if not own.waiting and not own.running:
            del self._own[upstream]
        self._note_change(upstream)

    def pop_changed(self) -> set[str]:
        """Returns the upstreams whose own work changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def _note_change(self, upstream: str) -> None:
        self._changed.add(upstream)
        self.on_change()

    def replace_reports(self, reports: Iterable[HostReport]) -> None:
        """Replaces the work in the previous reports of peers."""
        sums: dict[int, Load] = {}
        for report in reports:
            for use in report.uses:
                known = sums.get(use.upstream, _NO_LOAD)
                sums[use.upstream] = known + _load_of(use)
        self._peers = sums

    def add_tracked(self, uses: Iterable[UpstreamUse], now_s: float) -> None:
        """Adds trackers' answers: the current work of all other hosts.

        An answer takes precedence over reports of peers. It is kept for a short
        time, since requests that arrive together ask for the same upstreams.
        """
        newest_s = now_s - TRACKED_S
        if len(self._tracked) > _MAX_TRACKED:
            self._tracked = {
                name: kept
                for name, kept in self._tracked.items()
                if kept[1] >= newest_s
            }
        for use in uses:
            self._tracked[use.upstream] = (_load_of(use), now_s)

    def at(self, upstream: str, now_s: float = math.inf) -> Load:
        """Returns the work in flight at an upstream.

        Args:
            upstream: Incarnation of the upstream.
            now_s: Current time in seconds; without it, answers of trackers are
                left out.
        """
        short = short_name(upstream)
        peers = self._peers.get(short, _NO_LOAD)
        tracked = self._tracked.get(short)
        if tracked is not None and now_s - tracked[1] <= TRACKED_S:
            peers = tracked[0]
        own = self._own.get(upstream)
        return peers if own is None else peers + own.load()

    def own_requests(self, upstream: str) -> int:
        """Returns how many requests this host has in flight at an upstream."""
        own = self._own.get(upstream)
        return 0 if own is None else own.waiting + own.running

    def use_of(self, upstream: str) -> UpstreamUse:
        """Returns this host's own work at an upstream, for its tracker."""
        own = self._own.get(upstream)
        return _own_use(upstream, own if own is not None else _OwnLoad())

    def uses(self) -> tuple[UpstreamUse, ...]:
        """Returns this host's own work, for its report."""
        return tuple(_own_use(name, own) for name, own in self._own.items())

    @property
    def busy(self) -> list[str]:
        """Incarnations where this host has work in flight."""
        return list(self._own)


def _ignore() -> None:
    """Does nothing."""


def merged_uses(
    before: Iterable[UpstreamUse], waiting: Iterable[UpstreamUse]
) -> tuple[UpstreamUse, ...]:
    """Returns a host's work as updated by a partial use report.

    A partial use report lists only upstreams where prompts wait. Requests that
    waited at any other upstream are assumed to run by now.

    Args:
        before: Uses of all upstreams with work, as known before the report.
        waiting: Uses in the report.
    """
    reported = {use.upstream: use for use in waiting}
    merged = [
        attrs.evolve(
            use,
            waiting_tokens=(),
            waiting=0,
            running=use.waiting + use.running,
        )
        for use in before
        if use.upstream not in reported
    ]
    return (*merged, *reported.values())


def summed_use(upstream: int, uses: Iterable[UpstreamUse]) -> UpstreamUse:
    """Returns the total work of several hosts at one upstream."""
    total = sum((_load_of(use) for use in uses), _NO_LOAD)
    return UpstreamUse(
        upstream,
        _without_trailing_zeros(total.tokens),
        total.waiting,
        total.running,
        _counts(total.urgencies),
    )


def _own_use(name: str, own: _OwnLoad) -> UpstreamUse:
    return UpstreamUse(
        short_name(name),
        _without_trailing_zeros(own.tokens),
        own.waiting,
        own.running,
        _counts(own.urgencies),
    )


def _counts(urgencies: Sequence[int]) -> bytes:
    return bytes(min(n, _MAX_COUNT) for n in _without_trailing_zeros(urgencies))


def _without_trailing_zeros(counts: Sequence[int]) -> tuple[int, ...]:
    """Returns the counts without trailing zeros."""
    last = max((i for i, count in enumerate(counts) if count), default=-1)
    return tuple(counts[: last + 1])


def _load_of(use: UpstreamUse) -> Load:
    return Load(
        _padded(use.waiting_tokens),
        use.waiting,
        use.running,
        _padded(tuple(use.urgencies)),
    )


def _padded(counts: tuple[int, ...]) -> tuple[int, ...]:
    return (counts + _NO_COUNTS)[:URGENCIES]
