"""Which upstreams this host cannot reach at the moment.

In a cut, connections to the far side time out one after the other, and each
request that tries one waits for that. One failure is enough to keep the others
away, and a connection made in the background brings the upstream back.

In a cut all upstreams of a data centre are away at once, and many hosts try
them: some of each data centre are tried in turn, until one is reached.
"""

import math
from collections import Counter
from collections.abc import Sequence

import attrs

from hollyknot_state.routes import UpstreamEntry

FIRST_RETRY_S = 0.25
MAX_RETRY_S = 1.0
"""Between two connections in the background to an upstream that is away."""

MANY_UNREACHABLE = 4
"""Upstreams of one data centre that are away from which they are tried in turn:
so many seldom crash together."""

TURN_INTERVAL_S = 0.5
"""Between two tries in turn."""

RECOVERY_S = 2.0
"""How long after one of them was reached all of them are tried."""


@attrs.define
class _Unreachable:
    entry: UpstreamEntry
    since_s: float
    next_try_s: float
    backoff_s: float = FIRST_RETRY_S


class Reachability:
    """Upstreams that could not be connected to."""

    def __init__(self) -> None:
        """All are taken to be reachable."""
        self._unreachable: dict[str, _Unreachable] = {}
        # By data centre: when the next one is tried in turn, and until when
        # all are tried.
        self._next_turn_s: dict[str, float] = {}
        self._recovering_until_s: dict[str, float] = {}

    def failed(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Notes a connection that failed or fell silent.

        Returns:
            Whether the upstream was taken to be reachable before.
        """
        unreachable = self._unreachable.get(entry.incarnation)
        if unreachable is None:
            next_try_s = now_s + FIRST_RETRY_S
            self._unreachable[entry.incarnation] = _Unreachable(
                entry, now_s, next_try_s
            )
            return True
        unreachable.backoff_s = min(unreachable.backoff_s * 2, MAX_RETRY_S)
        unreachable.next_try_s = now_s + unreachable.backoff_s
        return False

    def succeeded(self, incarnation: str, now_s: float) -> bool:
        """Notes a connection.

        Returns:
            Whether the upstream was taken to be away before.
        """
        unreachable = self._unreachable.pop(incarnation, None)
        if unreachable is None:
            return False
        data_centre = unreachable.entry.data_centre
        self._recovering_until_s[data_centre] = now_s + RECOVERY_S
        return True

    def forget(self, incarnation: str) -> None:
        """Notes that an upstream has left for good."""
        self._unreachable.pop(incarnation, None)

    def unreachable(self, entries: Sequence[UpstreamEntry]) -> frozenset[str]:
        """Returns the incarnations that could not be reached lately."""
        if not self._unreachable:
            return frozenset()
        return frozenset(
            entry.incarnation
            for entry in entries
            if entry.incarnation in self._unreachable
        )

    def has_become_unreachable(
        self, entries: Sequence[UpstreamEntry], since_s: float
    ) -> bool:
        """Whether one of some upstreams is away since a time or later."""
        return any(
            unreachable.since_s >= since_s
            for entry in entries
            if (unreachable := self._unreachable.get(entry.incarnation))
            is not None
        )

    def due(self, now_s: float) -> list[UpstreamEntry]:
        """Returns upstreams to connect to in the background now."""
        counts = Counter(
            a.entry.data_centre for a in self._unreachable.values()
        )
        due = [a for a in self._unreachable.values() if now_s >= a.next_try_s]
        due.sort(key=lambda unreachable: unreachable.next_try_s)
        tried = []
        for unreachable in due:
            data_centre = unreachable.entry.data_centre
            is_many = counts[data_centre] >= MANY_UNREACHABLE
            if is_many and not self._has_turn(data_centre, now_s):
                continue
            # Again only when this one has ended, or if it never does.
            unreachable.next_try_s = now_s + 2 * MAX_RETRY_S
            tried.append(unreachable.entry)
        return tried

    def _has_turn(self, data_centre: str, now_s: float) -> bool:
        """Whether one of many that are away may be tried, and notes it."""
        if now_s < self._recovering_until_s.get(data_centre, -math.inf):
            return True
        if now_s < self._next_turn_s.get(data_centre, -math.inf):
            return False
        self._next_turn_s[data_centre] = now_s + TURN_INTERVAL_S
        return True
