"""Which upstreams this host cannot reach at the moment.

In a cut, connections to the far side time out one after the other, and each
request that tries one waits for that. One failure is enough to keep the others
away, and a connection made in the background brings the upstream back.
"""

from collections.abc import Sequence

import attrs

from hollyknot_state.routes import UpstreamEntry

FIRST_RETRY_S = 0.25
LONGEST_RETRY_S = 1.0
"""Between two connections in the background to an upstream that is away."""


@attrs.define
class _Away:
    entry: UpstreamEntry
    next_try_s: float
    pause_s: float = FIRST_RETRY_S


class Reachability:
    """Upstreams that could not be connected to."""

    def __init__(self) -> None:
        """All are taken to be reachable."""
        self._away: dict[str, _Away] = {}

    def failed(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Notes a connection that failed or fell silent.

        Returns:
            Whether the upstream was taken to be reachable before.
        """
        away = self._away.get(entry.incarnation)
        if away is None:
            next_try_s = now_s + FIRST_RETRY_S
            self._away[entry.incarnation] = _Away(entry, next_try_s)
            return True
        away.pause_s = min(away.pause_s * 2, LONGEST_RETRY_S)
        away.next_try_s = now_s + away.pause_s
        return False

    def succeeded(self, incarnation: str) -> bool:
        """Notes a connection.

        Returns:
            Whether the upstream was taken to be away before.
        """
        return self._away.pop(incarnation, None) is not None

    def forget(self, incarnation: str) -> None:
        """Notes that an upstream has left for good."""
        self._away.pop(incarnation, None)

    def away(self, entries: Sequence[UpstreamEntry]) -> frozenset[str]:
        """Returns the incarnations that could not be reached lately."""
        if not self._away:
            return frozenset()
        return frozenset(
            entry.incarnation
            for entry in entries
            if entry.incarnation in self._away
        )

    def due(self, now_s: float) -> list[UpstreamEntry]:
        """Returns upstreams to connect to in the background now."""
        due = [a for a in self._away.values() if now_s >= a.next_try_s]
        for away in due:
            # Again only when this one has ended, or if it never does.
            away.next_try_s = now_s + 2 * LONGEST_RETRY_S
        return [away.entry for away in due]
