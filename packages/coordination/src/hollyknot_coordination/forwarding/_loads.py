"""Work in flight at upstreams: a host's own, exactly, and what peers tell."""

import math
import operator
from collections.abc import Callable, Iterable, Sequence

import attrs

from hollyknot_coordination.forwarding._route_index import LEAST_URGENT
from hollyknot_state import HostReport, UpstreamUse, short_name

URGENCIES = LEAST_URGENT + 1
"""How many urgencies there are: 0, the first, to the least urgent."""

_MAX_COUNT = 255
"""What fits into a byte; no upstream has as many slots for one host."""

TRACKED_S = 0.03
"""How long a tracker's answer goes before reports: work changes within tens of
milliseconds, and a round trip takes some."""

_MAX_TRACKED = 500
"""Answers that are kept before those that no longer count are dropped."""

_NO_COUNTS = (0,) * URGENCIES


@attrs.frozen
class Load:
    """Work at one upstream.

    Attributes:
        tokens: Of prompts that may not have been read in yet, at each urgency.
        waiting: Requests that have not been answered.
        running: Streams that have begun.
        urgencies: All of these at each urgency.
    """

    tokens: tuple[int, ...] = _NO_COUNTS
    waiting: int = 0
    running: int = 0
    urgencies: tuple[int, ...] = _NO_COUNTS

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens at all urgencies."""
        return sum(self.tokens)

    @property
    def requests(self) -> int:
        """All that is in flight."""
        return self.waiting + self.running

    def requests_ahead_of(self, urgency: int) -> int:
        """Returns how many requests an upstream does not put back for one."""
        return sum(self.urgencies[: urgency + 1])

    def behind(self, urgency: int) -> int:
        """Returns how many requests are of an urgency or less urgent."""
        return sum(self.urgencies[urgency:])

    def tokens_ahead_of(self, urgency: int) -> int:
        """Returns the prompt tokens that it reads in before those of one."""
        return sum(self.tokens[: urgency + 1])

    def tokens_in_prefill(self, urgency: int) -> int:
        """Returns what is left, on average, of a less urgent prompt in work.

        An engine puts less urgent prompts back, but for the one that it has
        begun to read: a prompt of 34,000 tokens made more urgent streams wait
        for half a second.
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
        """Returns it as it is now."""
        return Load(
            tuple(self.tokens),
            self.waiting,
            self.running,
            tuple(self.urgencies),
        )


class Loads:
    """Work in flight of all hosts that are heard of.

    Attributes:
        on_change: Told of each change of own work.
    """

    def __init__(self) -> None:
        """Starts with none."""
        self._own: dict[str, _OwnLoad] = {}
        self._peers: dict[int, Load] = {}
        self._tracked: dict[int, tuple[Load, float]] = {}
        self._changed: set[str] = set()
        self.on_change: Callable[[], None] = _ignore

    def begin(self, upstream: str, tokens: int, urgency: int) -> None:
        """Notes that a request was sent."""
        own = self._own.setdefault(upstream, _OwnLoad())
        own.waiting += 1
        own.tokens[urgency] += tokens
        own.urgencies[urgency] += 1
        self._note_change(upstream)

    def start(self, upstream: str, tokens: int, urgency: int) -> None:
        """Notes that a stream has begun: its prompt has been read in."""
        own = self._own[upstream]
        own.waiting -= 1
        own.tokens[urgency] -= tokens
        own.running += 1
        self._note_change(upstream)

    def end(
        self, upstream: str, tokens: int, urgency: int, *, has_started: bool
    ) -> None:
        """Notes the end of a request."""
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
        """Returns where own work has changed since this was last asked."""
        changed, self._changed = self._changed, set()
        return changed

    def _note_change(self, upstream: str) -> None:
        self._changed.add(upstream)
        self.on_change()

    def replace_reports(self, reports: Iterable[HostReport]) -> None:
        """Replaces what peers told before."""
        sums: dict[int, Load] = {}
        for report in reports:
            for use in report.uses:
                known = sums.get(use.upstream, _NO_LOAD)
                sums[use.upstream] = known + _load_of(use)
        self._peers = sums

    def add_tracked(self, uses: Iterable[UpstreamUse], now_s: float) -> None:
        """Takes what trackers have answered: others' work at this moment.

        It goes before what peers have reported, and is kept for a short while:
        several requests that arrive together ask for the same upstreams.
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
            upstream: Its incarnation.
            now_s: The time; without it, what trackers answered is left out.
        """
        short = short_name(upstream)
        peers = self._peers.get(short, _NO_LOAD)
        tracked = self._tracked.get(short)
        if tracked is not None and now_s - tracked[1] <= TRACKED_S:
            peers = tracked[0]
        own = self._own.get(upstream)
        return peers if own is None else peers + own.load()

    def use_of(self, upstream: str) -> UpstreamUse:
        """Returns a host's own work at an upstream, for its tracker."""
        own = self._own.get(upstream)
        return _own_use(upstream, own if own is not None else _OwnLoad())

    def uses(self) -> tuple[UpstreamUse, ...]:
        """Returns a host's own work, for its report."""
        return tuple(_own_use(name, own) for name, own in self._own.items())

    @property
    def busy(self) -> list[str]:
        """The incarnations where this host has work in flight."""
        return list(self._own)


def _ignore() -> None:
    """Nobody wants to know of changes."""


def merged_uses(
    before: Iterable[UpstreamUse], waiting: Iterable[UpstreamUse]
) -> tuple[UpstreamUse, ...]:
    """Returns a host's work from its last whole report and a short one.

    Where no prompt waits any more, those that did are taken to run.

    Args:
        before: All upstreams with work, some reports ago.
        waiting: Those where prompts wait now.
    """
    told = {use.upstream: use for use in waiting}
    merged = [
        attrs.evolve(
            use,
            waiting_tokens=(),
            waiting=0,
            running=use.waiting + use.running,
        )
        for use in before
        if use.upstream not in told
    ]
    return (*merged, *told.values())


def summed_use(upstream: int, uses: Iterable[UpstreamUse]) -> UpstreamUse:
    """Returns the work of several hosts at one upstream."""
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
    """Returns counts without the zeros at their end."""
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
