"""Sums up the loads that all hosts put on the upstreams tracked by one host.

Hosts send a tracker a note of each change of their in-flight work, and query it
before they choose an upstream. A tracker only advises and grants nothing. While
two hosts both act as the tracker of an upstream, or just after one has started,
their sums are too small; the missing work is reported again within a second.
"""

import statistics
from collections.abc import Iterable, Sequence

import attrs

from hollyknot_coordination.forwarding.placement._cached_parts import (
    CachedParts,
)
from hollyknot_coordination.forwarding.placement._loads import summed_use
from hollyknot_coordination.forwarding.speeds import SpeedSamples
from hollyknot_state import (
    HeldRun,
    LoadAnswer,
    LoadNote,
    LoadQuery,
    UpstreamPace,
    UpstreamSpeed,
    UpstreamUse,
)

RENEW_S = 1.0
"""Seconds between two notes of unchanged work to the tracker of an upstream.
It bounds how long a lost note or a new tracker leaves a sum wrong."""

EXPIRE_S = 2.5
"""Age in seconds above which reported work is no longer counted: its host has
gone, or two notes in a row were lost."""


@attrs.frozen
class _HostLoad:
    """Load that one host puts on one upstream, from its newest note.

    Attributes:
        use: In-flight work of the host at the upstream.
        pace: Pace of the upstream's streams as seen by the host; None if it
            sees no stream.
        sequence: Sequence number of the note; older notes are ignored.
        received_s: Time at which the note was received.
    """

    use: UpstreamUse
    pace: UpstreamPace | None
    sequence: int
    received_s: float


class TrackedLoads:
    """The load that hosts report for the upstreams tracked here."""

    def __init__(self, cached: CachedParts) -> None:
        """Creates a table without any loads.

        Args:
            cached: Keeps which prompt prefixes upstreams have cached, as far
                as notes report it.
        """
        self._cached = cached
        self._speeds = SpeedSamples()
        self._host_loads: dict[int, dict[int, _HostLoad]] = {}

    def __len__(self) -> int:
        """Returns the number of upstreams with recently reported load."""
        return len(self._host_loads)

    def apply_note(self, note: LoadNote, now_s: float) -> None:
        """Applies a host's note; for each upstream only a newer one counts."""
        paces = {pace.upstream: pace for pace in note.paces}
        for use in note.uses:
            hosts = self._host_loads.setdefault(use.upstream, {})
            before = hosts.get(note.incarnation)
            if before is None or before.sequence < note.sequence:
                pace = paces.get(use.upstream)
                host_load = _HostLoad(use, pace, note.sequence, now_s)
                hosts[note.incarnation] = host_load
        for speed in note.speeds:
            self._speeds.record(speed.upstream, speed.token_ns, now_s)
        self._cached.apply_reported(note.held, now_s)

    def expire(self, now_s: float) -> None:
        """Drops loads that are too old to be counted.

        Upstreams and hosts are replaced all the time. Without this a tracker's
        memory would grow with each one that was ever reported.
        """
        for upstream, hosts in list(self._host_loads.items()):
            for incarnation, host_load in list(hosts.items()):
                if now_s - host_load.received_s > EXPIRE_S:
                    del hosts[incarnation]
            if not hosts:
                del self._host_loads[upstream]
        self._speeds.expire(now_s)

    def answer(self, query: LoadQuery, now_s: float) -> LoadAnswer:
        """Returns the in-flight work of all hosts except the one that asks."""
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
        speeds = tuple(
            UpstreamSpeed(name, token_ns)
            for name in query.upstreams
            if (token_ns := self._speeds.token_ns(name, now_s)) is not None
        )
        return LoadAnswer(query.number, uses, held, known_paces, speeds=speeds)

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
    """Returns the mean pace that hosts see; None if none sees a stream."""
    seen = [
        host_load.pace.interval_ms
        for host_load in known
        if host_load.pace is not None
    ]
    if not seen:
        return None
    return UpstreamPace(upstream, round(statistics.fmean(seen)))
