"""Which data centres have just fallen silent, by how often they report."""

from collections.abc import Container

import attrs

from hollyknot_coordination.forwarding._smoothing import smoothed

SILENT_S = 0.4
"""Silence of a data centre after which it is looked at, at the least."""

SILENT_REPORTS = 4
"""The same, in usual times between two reports of it: reports come unevenly,
and some in a hundred datagrams are lost."""

_LEARNT_S = 1.0
"""The most that one silence counts for in the usual time between two reports
of a data centre: a cut that lasted seconds was not usual."""


@attrs.define
class _LastHeard:
    """When a data centre was heard last, and how often it usually is."""

    heard_s: float
    interval_s: float = 0.0

    def note(self, now_s: float) -> None:
        """Notes a report."""
        passed_s = min(now_s - self.heard_s, _LEARNT_S)
        self.interval_s = smoothed(self.interval_s, passed_s)
        self.heard_s = now_s

    def is_silent(self, now_s: float) -> bool:
        """Whether it has been silent for unusually long."""
        bound_s = max(SILENT_S, SILENT_REPORTS * self.interval_s)
        return now_s - self.heard_s > bound_s


class Silences:
    """When each data centre was heard."""

    def __init__(self, own: str) -> None:
        """Has heard none.

        Args:
            own: This host's data centre; it can't be cut off from there.
        """
        self._own = own
        self._last_heard: dict[str, _LastHeard] = {}

    def note(self, data_centre: str, now_s: float) -> None:
        """Notes a report from a data centre."""
        heard = self._last_heard.setdefault(data_centre, _LastHeard(now_s))
        heard.note(now_s)

    def silent(self, known: Container[str], now_s: float) -> frozenset[str]:
        """Returns other data centres that have just fallen silent.

        Such a data centre may have been cut off, which its upstreams' open
        connections would tell seconds later.

        Args:
            known: Data centres of the peers that are not forgotten yet.
            now_s: The time.
        """
        return frozenset(
            name
            for name, heard in self._last_heard.items()
            if name in known and name != self._own and heard.is_silent(now_s)
        )
