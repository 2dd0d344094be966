"""Liveness of the hosts of one data centre, after the SWIM protocol.

It decides who is gossiped to and who reads from the platform. It does not
decide who holds claims: the host list alone does that.
"""

import math
import random
from collections.abc import Sequence

from hollyknot_coordination._peer_commands import (
    PeerCommand,
    ReportMember,
    Send,
)
from hollyknot_coordination._transmit_queue import TransmitQueue
from hollyknot_coordination.membership._neighbours import choose_neighbours
from hollyknot_coordination.membership._prober import ROUND_S, Prober
from hollyknot_coordination.membership._table import MemberChange, MemberTable
from hollyknot_state import (
    Gossip,
    IndirectProbe,
    MemberState,
    MemberUpdate,
    Probe,
    ProbeAck,
)

SUSPICION_ROUNDS = 4
"""Rounds of suspicion, for each power of ten of the hosts."""

MIN_NEIGHBOURS = 3
"""Alive neighbours below which a host gossips with any peer."""

MAX_UPDATES = 8
"""Updates in one message."""

PAUSE_GAP_S = 2 * ROUND_S
"""A gap between ticks above this means that this process was paused."""


class Membership:
    """Probes peers, takes and gives updates, and keeps the view of peers."""

    def __init__(self, host: str, rng: random.Random, now_s: float) -> None:
        self._host = host
        self._table = MemberTable(host)
        self._prober = Prober(rng, now_s)
        self._unsent: TransmitQueue[str] = TransmitQueue()
        self._changed_s: dict[str, float] = {}
        self._reports: list[PeerCommand] = []
        self._last_tick_s = now_s
        self._alive: tuple[str, ...] = ()
        self._neighbours: frozenset[str] = frozenset()
        self._probe_targets: tuple[str, ...] = ()

    @property
    def alive(self) -> tuple[str, ...]:
        """Peers that are neither suspect nor dead."""
        return self._alive

    @property
    def suspects(self) -> tuple[str, ...]:
        """Peers that are suspect."""
        return self._table.in_state(MemberState.SUSPECT)

    @property
    def is_partition_suspected(self) -> bool:
        """Whether too many peers are unreachable to have died."""
        return self._table.is_partition_suspected

    @property
    def has_updates(self) -> bool:
        """Whether updates wait to be told."""
        return bool(self._unsent)

    @property
    def targets(self) -> tuple[str, ...]:
        """Whom to gossip with: neighbours that are alive, else all alive."""
        near = tuple(h for h in self._alive if h in self._neighbours)
        return near if len(near) >= MIN_NEIGHBOURS else self._alive

    def set_hosts(self, ranked: Sequence[str], now_s: float) -> None:
        """Takes the live hosts of this data centre in the host list.

        Args:
            ranked: From `rank_hosts`, this host among them.
            now_s: Monotonic seconds.
        """
        self._neighbours = choose_neighbours(self._host, ranked)
        self._probe_targets = tuple(sorted(self._neighbours))
        hosts = frozenset(ranked) - {self._host}
        self._table.set_hosts(hosts, self._neighbours, now_s)
        listed = {self._host, *self._table.hosts}
        for host in [h for h in self._changed_s if h not in listed]:
            del self._changed_s[host]
            self._unsent.discard(host)
        self._refresh_alive()

    def on_tick(self, now_s: float) -> list[PeerCommand]:
        """Probes, suspects and buries; call it several times a round."""
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if gap_s > PAUSE_GAP_S:
            # This process was paused: the answers to its probe lie unread in
            # its sockets, and everyone would look dead to it. One would
            # notice suspicions of healthy hosts right after each long pause.
            self._prober.abandon_probe(now_s)
            self._table.extend_suspicions(gap_s)
        sends = self._prober.on_tick(
            self._probe_targets,
            self._alive,
            lambda host: self._record_change(
                host, self._table.suspect(host, now_s), now_s
            ),
            now_s,
        )
        for host in self._table.expire(self._suspicion_s, now_s):
            self._record_change(host, MemberChange.CHANGED, now_s)
        return [
            *self._pop_reports(),
            *sends,
            *self._notify_suspect_or_dead(sends),
        ]

    def on_updates(
        self, peer: str, updates: tuple[MemberUpdate, ...], now_s: float
    ) -> list[PeerCommand]:
        """Takes what a peer believes, and refutes that this host is gone."""
        commands: list[PeerCommand] = []
        for update in updates:
            change = self._table.merge(update, now_s)
            self._record_change(update.host, change, now_s)
            if change is MemberChange.REFUTED:
                refutation = Gossip(members=(self._table.own_update,))
                commands.append(Send(peer, refutation))
        return [*self._pop_reports(), *commands]

    def on_probe(self, peer: str, probe: Probe) -> list[Send]:
        """Answers a probe."""
        return self._prober.on_probe(peer, probe)

    def on_indirect_probe(
        self, peer: str, probe: IndirectProbe, now_s: float
    ) -> list[Send]:
        """Probes a listed host on behalf of a peer."""
        if probe.target not in self._table:
            return []
        return self._prober.on_indirect_probe(peer, probe, now_s)

    def on_ack(self, ack: ProbeAck) -> list[Send]:
        """Takes an answer to a probe."""
        return self._prober.on_ack(ack)

    def updates_for(self, peer: str) -> tuple[MemberUpdate, ...]:
        """Returns the updates of one message to a peer and counts them.

        A peer that is not believed alive is told so, whatever else is news:
        it can then refute it, also when it was cut off while it was buried.
        """
        recency = self._changed_s
        hosts = self._unsent.next_keys(
            MAX_UPDATES, len(self._table), lambda h: recency.get(h, 0.0)
        )
        if self.is_suspect_or_dead(peer) and peer not in hosts:
            hosts.append(peer)
        return tuple(self._table.update_of(h) for h in hosts)

    def is_suspect_or_dead(self, peer: str) -> bool:
        """Whether a listed peer is believed suspect or dead."""
        if peer not in self._table:
            return False
        return self._table.state_of(peer) is not MemberState.ALIVE

    def _notify_suspect_or_dead(self, probes: list[Send]) -> list[Send]:
        """Tells a probed peer that it is blamed, so that it can refute it.

        After a cut has healed nobody would otherwise ever gossip to the hosts
        of the other side, and each side would hold the other for dead.
        """
        return [
            Send(send.peer, Gossip(members=(self._table.update_of(send.peer),)))
            for send in probes
            if isinstance(send.message, Probe)
            and self.is_suspect_or_dead(send.peer)
        ]

    @property
    def _suspicion_s(self) -> float:
        scale = max(1.0, math.log10(len(self._table) + 1))
        return SUSPICION_ROUNDS * ROUND_S * scale

    def _record_change(
        self, host: str, change: MemberChange, now_s: float
    ) -> None:
        if change is MemberChange.UNCHANGED:
            return
        self._unsent.add(host)
        self._changed_s[host] = now_s
        if change is MemberChange.CHANGED:
            self._reports.append(ReportMember(host, self._table.state_of(host)))
            self._refresh_alive()

    def _pop_reports(self) -> list[PeerCommand]:
        reports, self._reports = self._reports, []
        return reports

    def _refresh_alive(self) -> None:
        self._alive = self._table.in_state(MemberState.ALIVE)
