"""Tracks the upstreams to which this host cannot connect at present.

In a network partition connections to the other side time out, and each request
that tries such an upstream waits for the timeout. A single failure is therefore
enough to stop sending to an upstream, and a probe in the background that
connects ends this state.

A partition makes all upstreams of a data centre unreachable at once, and many
hosts probe them. To limit the probes, each host probes the upstreams of such a
data centre one at a time, until one of them is reached.
"""

import math
from collections import Counter
from collections.abc import Sequence

import attrs

from hollyknot_state.routes import UpstreamEntry

FIRST_RETRY_S = 0.25
MAX_RETRY_S = 1.0
"""Shortest and longest time, in seconds, between two probes of an unreachable
upstream; it doubles after each failure."""

MANY_UNREACHABLE = 4
"""Number of unreachable upstreams in one data centre from which they are probed
one at a time, as in a partition. So many seldom crash together."""

TURN_INTERVAL_S = 0.5
"""Seconds between two probes in a data centre that is probed one at a time."""

RECOVERY_S = 2.0
"""Seconds for which all upstreams of a data centre are probed after one of them
was reached again."""


@attrs.define
class _Unreachable:
    """An upstream that could not be reached.

    Attributes:
        entry: Entry of the upstream.
        since_s: Time of the first failure, in seconds.
        next_try_s: Time from which it may be probed next.
        backoff_s: Time between two probes.
        is_refusing: Whether the last connection attempt was refused.
    """

    entry: UpstreamEntry
    since_s: float
    next_try_s: float
    backoff_s: float = FIRST_RETRY_S
    is_refusing: bool = False


class Reachability:
    """The upstreams to which one host could not connect."""

    def __init__(self) -> None:
        """Creates an instance that assumes all upstreams to be reachable."""
        self._unreachable: dict[str, _Unreachable] = {}
        # By data centre: time of the next single probe, and time until which
        # all its upstreams are probed.
        self._next_turn_s: dict[str, float] = {}
        self._recovering_until_s: dict[str, float] = {}

    @property
    def has_unreachable(self) -> bool:
        """Whether any upstream is unreachable at present."""
        return bool(self._unreachable)

    @property
    def refusing(self) -> list[str]:
        """The incarnations that refuse new connections."""
        return [
            incarnation
            for incarnation, unreachable in self._unreachable.items()
            if unreachable.is_refusing
        ]

    def failed(
        self, entry: UpstreamEntry, now_s: float, *, is_refusal: bool = False
    ) -> bool:
        """Records that a connection was refused or timed out.

        Args:
            entry: The upstream.
            now_s: Current time, in seconds.
            is_refusal: Whether it was refused.

        Returns:
            Whether the upstream counted as reachable before, or only as one
            that refuses connections if it doesn't answer now.
        """
        unreachable = self._unreachable.get(entry.incarnation)
        if unreachable is None:
            next_try_s = now_s + FIRST_RETRY_S
            self._unreachable[entry.incarnation] = _Unreachable(
                entry, now_s, next_try_s, is_refusing=is_refusal
            )
            return True
        was_refusing = unreachable.is_refusing
        unreachable.is_refusing = is_refusal
        unreachable.backoff_s = min(unreachable.backoff_s * 2, MAX_RETRY_S)
        unreachable.next_try_s = now_s + unreachable.backoff_s
        return was_refusing and not is_refusal

    def succeeded(self, incarnation: str, now_s: float) -> bool:
        """Records that a connection was established.

        Returns:
            Whether the upstream counted as unreachable before.
        """
        unreachable = self._unreachable.pop(incarnation, None)
        if unreachable is None:
            return False
        data_centre = unreachable.entry.data_centre
        self._recovering_until_s[data_centre] = now_s + RECOVERY_S
        return True

    def forget(self, incarnation: str) -> None:
        """Drops the state of an upstream that has left for good."""
        self._unreachable.pop(incarnation, None)

    def unreachable(self, entries: Sequence[UpstreamEntry]) -> frozenset[str]:
        """Returns the incarnations that are unreachable at present."""
        if not self._unreachable:
            return frozenset()
        return frozenset(
            entry.incarnation
            for entry in entries
            if entry.incarnation in self._unreachable
        )

    def is_refusing(self, incarnation: str) -> bool:
        """Whether an upstream refuses new connections.

        Connections to it that are open then are alive: those of a process that
        has ended were reset.
        """
        unreachable = self._unreachable.get(incarnation)
        return unreachable is not None and unreachable.is_refusing

    def first_unreachable_since(
        self, entries: Sequence[UpstreamEntry], since_s: float
    ) -> str:
        """Returns which of some upstreams became unreachable since a time.

        Returns:
            The first such incarnation in the given order, or an empty string.
        """
        for entry in entries:
            unreachable = self._unreachable.get(entry.incarnation)
            if unreachable is not None and unreachable.since_s >= since_s:
                return entry.incarnation
        return ""

    def due(self, now_s: float) -> list[UpstreamEntry]:
        """Returns the upstreams to probe now, and records the probes."""
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
            # Not probed again until this probe has ended; the bound matters
            # only if its end is never reported.
            unreachable.next_try_s = now_s + 2 * MAX_RETRY_S
            tried.append(unreachable.entry)
        return tried

    def _has_turn(self, data_centre: str, now_s: float) -> bool:
        """Returns whether a data centre's next single probe is due.

        Records it if so.
        """
        if now_s < self._recovering_until_s.get(data_centre, -math.inf):
            return True
        if now_s < self._next_turn_s.get(data_centre, -math.inf):
            return False
        self._next_turn_s[data_centre] = now_s + TURN_INTERVAL_S
        return True
