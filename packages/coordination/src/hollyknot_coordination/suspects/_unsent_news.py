"""Collects what a host tells its peers about suspects, until it is sent.

Bytes for news are limited, so the news that stop a crashing request soonest go
first: a loss that no other host may know of, then those that add up to several
losses of one request. The others wait for the next message; they are dropped
only if they are too old to matter or too many, and each drop is counted.
"""

import enum
import heapq
from collections import defaultdict
from collections.abc import Callable, Sequence

import attrs

from hollyknot_coordination.suspects._evidence import Crash
from hollyknot_coordination.suspects._messages import SuspectOptions
from hollyknot_state import LossNews, SuspectNews, SuspectRecord


class _Rank(enum.IntEnum):
    """The order in which news are sent."""

    OWN = 0
    """This host saw the loss; perhaps no other host knows of it."""
    REPEATED = 1
    """The request was lost at several upstreams."""
    CLEARED = 2
    """An upstream has answered the request."""
    PASSED_ON = 3
    """Another host told it, perhaps to others too."""


@attrs.frozen
class Loss:
    """The loss of one request at one upstream.

    Attributes:
        fingerprint: The request.
        upstream: The upstream.
        at_s: Time of the loss in seconds of this host's monotonic clock.
        companions: Number of other requests that were lost with it.
        is_own: Whether this host saw the loss itself.
        crash: The crash that it was judged to be; None while that is pending.
    """

    fingerprint: int
    upstream: str
    at_s: float
    companions: int
    is_own: bool
    crash: Crash | None = attrs.field(default=None, eq=id)


@attrs.frozen
class _Cleared:
    """A suspect that an upstream has answered."""

    fingerprint: int
    at_s: float


_Item = Loss | _Cleared


@attrs.frozen
class Dropped:
    """News that are not sent any more.

    Attributes:
        reason: "old" or "full".
        fingerprints: The requests that they were about.
    """

    reason: str
    fingerprints: tuple[int, ...]


class UnsentNews:
    """News that were not sent yet, bounded in number and age."""

    def __init__(self, options: SuspectOptions) -> None:
        """Creates a store without news."""
        self._options = options
        self._losses: dict[tuple[int, str], Loss] = {}
        self._cleared: dict[int, _Cleared] = {}
        self._dropped: dict[str, list[int]] = defaultdict(list)

    @property
    def waiting(self) -> int:
        """Number of news that wait to be sent."""
        return len(self._losses) + len(self._cleared)

    @property
    def has_own(self) -> bool:
        """Whether a loss waits that this host saw itself."""
        return any(loss.is_own for loss in self._losses.values())

    def add_loss(self, loss: Loss) -> None:
        """Adds a loss; a verdict replaces the same loss without one."""
        key = (loss.fingerprint, loss.upstream)
        self._losses.pop(key, None)
        self._losses[key] = loss
        if len(self._losses) > self._options.max_waiting_news:
            oldest = self._losses.pop(next(iter(self._losses)))
            self._dropped["full"].append(oldest.fingerprint)

    def add_cleared(self, fingerprint: int, at_s: float) -> None:
        """Adds a suspect that was answered, in place of its earlier losses."""
        until_s = at_s + self._options.proof_s
        for loss in list(self._losses.values()):
            if loss.fingerprint == fingerprint and loss.at_s <= until_s:
                self._remove(loss)
        self._cleared[fingerprint] = _Cleared(fingerprint, at_s)
        if len(self._cleared) > self._options.max_waiting_news:
            del self._cleared[next(iter(self._cleared))]
            self._dropped["full"].append(fingerprint)

    def pop_dropped(self) -> tuple[Dropped, ...]:
        """Returns the news that were dropped since the last call."""
        dropped, self._dropped = self._dropped, defaultdict(list)
        return tuple(
            Dropped(reason, tuple(fingerprints))
            for reason, fingerprints in dropped.items()
        )

    def pop(
        self,
        now_s: float,
        count_losses: Callable[[int], int],
        fits: Callable[[SuspectNews], bool],
    ) -> SuspectNews:
        """Returns as many news as fit into a message; the others stay.

        Args:
            now_s: Current time in seconds of the host's monotonic clock.
            count_losses: Returns at how many upstreams a request was lost.
            fits: Whether a message is short enough to be sent.
        """
        self._drop_obsolete(now_s)
        if not self.waiting:
            return SuspectNews(())
        items = heapq.nsmallest(
            self._options.max_news,
            self._items(),
            key=lambda item: _order(item, count_losses),
        )

        def message(count: int) -> SuspectNews:
            return _message(
                items[:count], now_s, self._options.refuse_crashes, count_losses
            )

        count = _largest(len(items), lambda count: fits(message(count)))
        for item in items[:count]:
            self._remove(item)
        return message(count)

    def _items(self) -> list[_Item]:
        return [*self._losses.values(), *self._cleared.values()]

    def _drop_obsolete(self, now_s: float) -> None:
        """Drops news that peers would ignore, and counts those that are old."""
        for item in self._items():
            if self._is_refuted(item):
                self._remove(item)
            elif now_s - item.at_s >= self._max_age_s(item):
                self._remove(item)
                self._dropped["old"].append(item.fingerprint)

    def _is_refuted(self, item: _Item) -> bool:
        """Whether the request was cleared of the crash since."""
        if not isinstance(item, Loss) or item.crash is None:
            return False
        return item.fingerprint not in item.crash.suspects

    def _max_age_s(self, item: _Item) -> float:
        is_pending = isinstance(item, Loss) and item.crash is None
        if is_pending:
            return self._options.pending_s
        return self._options.retention_s

    def _remove(self, item: _Item) -> None:
        if isinstance(item, Loss):
            del self._losses[item.fingerprint, item.upstream]
        else:
            del self._cleared[item.fingerprint]


def _order(
    item: _Item, count_losses: Callable[[int], int]
) -> tuple[int, int, int]:
    """Returns a sort key: rank, number of losses, number of other suspects."""
    if isinstance(item, _Cleared):
        return _Rank.CLEARED, 0, 0
    losses = count_losses(item.fingerprint)
    rank = _Rank.PASSED_ON
    if item.is_own:
        rank = _Rank.OWN
    elif losses > 1:
        rank = _Rank.REPEATED
    return rank, -losses, item.companions


def _largest(most: int, fits: Callable[[int], bool]) -> int:
    """Returns the largest count that fits, at least 1, by bisection."""
    if fits(most):
        return most
    least = 1
    while most - least > 1:
        middle = (least + most) // 2
        if fits(middle):
            least = middle
        else:
            most = middle
    return least


def _message(
    items: Sequence[_Item],
    now_s: float,
    refuse_crashes: int,
    count_losses: Callable[[int], int],
) -> SuspectNews:
    losses = [item for item in items if isinstance(item, Loss)]
    cleared = [item for item in items if isinstance(item, _Cleared)]
    first_s = min((item.at_s for item in cleared), default=now_s)
    return SuspectNews(
        suspects=tuple(
            record_of(loss.fingerprint, loss.crash, now_s)
            for loss in losses
            if loss.crash is not None
            and count_losses(loss.fingerprint) >= refuse_crashes
        ),
        losses=grouped(losses, now_s),
        cleared=tuple(item.fingerprint for item in cleared),
        cleared_age_ms=_age_ms(first_s, now_s),
    )


def record_of(fingerprint: int, crash: Crash, now_s: float) -> SuspectRecord:
    """Returns the evidence against one request of a crash."""
    age_ms = _age_ms(crash.at_s, now_s)
    return SuspectRecord(fingerprint, crash.upstream, crash.companions, age_ms)


def grouped(losses: Sequence[Loss], now_s: float) -> tuple[LossNews, ...]:
    """Returns one item for each loss of several requests."""
    groups: dict[tuple[str, float | None], list[Loss]] = defaultdict(list)
    for loss in losses:
        crash_s = loss.crash.at_s if loss.crash else None
        groups[loss.upstream, crash_s].append(loss)
    return tuple(
        LossNews(
            upstream=upstream,
            age_ms=_age_ms(min(loss.at_s for loss in group), now_s),
            is_crash=crash_s is not None,
            companions=group[0].crash.companions if group[0].crash else 0,
            fingerprints=tuple(loss.fingerprint for loss in group),
        )
        for (upstream, crash_s), group in groups.items()
    )


def _age_ms(at_s: float, now_s: float) -> int:
    return max(0, int((now_s - at_s) * 1000))
