"""The loads of the upstreams that one host tracks for all others.

Hosts tell a tracker of each change of their own work, and ask it before they
choose. A tracker advises and grants nothing: two that both take themselves for
the tracker of an upstream, or one that has just begun, give smaller sums, and
what they lack is told again within a second.
"""

import statistics
from collections.abc import Iterable, Sequence

import attrs

from hollyknot_coordination.forwarding._cached_parts import CachedParts
from hollyknot_coordination.forwarding._loads import summed_use
from hollyknot_state import (
    HeldRun,
    LoadAnswer,
    LoadNote,
    LoadQuery,
    UpstreamPace,
    UpstreamUse,
)

RENEW_S = 1.0
"""Between two notes of a host to the tracker of an upstream where it has work
that did not change: a lost note, or a new tracker, is wrong for no longer."""

EXPIRE_S = 2.5
"""Age from which work that was told is no longer counted: its host has gone, or
two notes in a row were lost."""


@attrs.frozen
class _HostLoad:
    use: UpstreamUse
    pace: UpstreamPace | None
    sequence: int
    received_s: float


class TrackedLoads:
    """Work of all hosts at some upstreams, as they have told it."""

    def __init__(self, cached: CachedParts) -> None:
        """Tracks nothing yet.

        Args:
            cached: Where to keep which upstream has which parts.
        """
        self._cached = cached
        self._host_loads: dict[int, dict[int, _HostLoad]] = {}

    def __len__(self) -> int:
        """Returns how many upstreams it was told of lately."""
        return len(self._host_loads)

    def take(self, note: LoadNote, now_s: float) -> None:
        """Takes what a host tells; an older note tells nothing."""
        paces = {pace.upstream: pace for pace in note.paces}
        for use in note.uses:
            hosts = self._host_loads.setdefault(use.upstream, {})
            before = hosts.get(note.incarnation)
            if before is None or before.sequence < note.sequence:
                pace = paces.get(use.upstream)
                host_load = _HostLoad(use, pace, note.sequence, now_s)
                hosts[note.incarnation] = host_load
        self._cached.take(note.held, now_s)

    def expire(self, now_s: float) -> None:
        """Forgets what is too old to be counted.

        Upstreams and hosts come and go all day; without this a tracker keeps
        something of each that it was ever told of.
        """
        for upstream, hosts in list(self._host_loads.items()):
            for incarnation, host_load in list(hosts.items()):
                if now_s - host_load.received_s > EXPIRE_S:
                    del hosts[incarnation]
            if not hosts:
                del self._host_loads[upstream]

    def answer(self, query: LoadQuery, now_s: float) -> LoadAnswer:
        """Returns what all hosts but the asker have in flight."""
        others = {
            name: list(self._others(name, query.incarnation, now_s))
            for name in query.upstreams
        }
        uses = tuple(
            summed_use(name, (host_load.use for host_load in known))
            for name, known in others.items()
        )
        paces = (_mean_pace(name, known) for name, known in others.items())
        held = tuple(
            HeldRun(name, run)
            for name in query.upstreams
            for run in query.runs
            if self._cached.has(HeldRun(name, run), now_s)
        )
        known_paces = tuple(pace for pace in paces if pace is not None)
        return LoadAnswer(query.number, uses, held, known_paces)

    def _others(
        self, upstream: int, asker: int, now_s: float
    ) -> Iterable[_HostLoad]:
        for incarnation, host_load in self._host_loads.get(
            upstream, {}
        ).items():
            is_fresh = now_s - host_load.received_s <= EXPIRE_S
            if is_fresh and incarnation != asker:
                yield host_load


def _mean_pace(
    upstream: int, known: Sequence[_HostLoad]
) -> UpstreamPace | None:
    """Returns the mean of what hosts see; None where none sees a stream."""
    seen = [
        host_load.pace.interval_ms
        for host_load in known
        if host_load.pace is not None
    ]
    if not seen:
        return None
    return UpstreamPace(upstream, round(statistics.fmean(seen)))
