"""Tracks the liveness of a data centre's hosts with the SWIM protocol.

Liveness decides which peers receive gossip and which hosts read from the
platform. It does not decide which hosts hold claims: the host list alone does
that.
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
"""Probe rounds after which a suspect is declared dead.

The number is multiplied by the decimal logarithm of the number of hosts.
"""

MIN_NEIGHBOURS = 3
"""Number of alive neighbours below which a host gossips with any alive peer."""

MAX_UPDATES = 8
"""Maximum number of member updates in one message.

One update about a receiver that is not believed alive may be added.
"""

PAUSE_GAP_S = 2 * ROUND_S
"""Seconds between two ticks above which this process counts as paused."""


class Membership:
    """Probes peers, exchanges updates and keeps the list of alive peers."""

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
        """Peers that are believed neither suspect nor dead."""
        return self._alive

    @property
    def suspects(self) -> tuple[str, ...]:
        """Peers that are suspected of being down."""
        return self._table.in_state(MemberState.SUSPECT)

    @property
    def is_partition_suspected(self) -> bool:
        """Whether so many peers are unreachable that a partition is likely."""
        return self._table.is_partition_suspected

    @property
    def has_updates(self) -> bool:
        """Whether member updates wait to be sent to peers."""
        return bool(self._unsent)

    @property
    def targets(self) -> tuple[str, ...]:
        """Peers to gossip with: alive neighbours, or all alive if too few."""
        near = tuple(h for h in self._alive if h in self._neighbours)
        return near if len(near) >= MIN_NEIGHBOURS else self._alive

    def set_hosts(self, ranked: Sequence[str], now_s: float) -> None:
        """Replaces the hosts by those that the host list has now.

        Args:
            ranked: Live hosts of this data centre including this one, in the
                order of `rank_hosts`.
            now_s: Current time in monotonic seconds.
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
        """Probes peers, expires suspicions; call it several times a round."""
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if gap_s > PAUSE_GAP_S:
            # This process was paused, and the answer to its probe may lie
            # unread in a socket. Without this, healthy hosts would be
            # suspected right after each long pause.
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
        """Merges a peer's updates; refutes any that says this host is down."""
        commands: list[PeerCommand] = []
        for update in updates:
            change = self._table.merge(update, now_s)
            self._record_change(update.host, change, now_s)
            if change is MemberChange.REFUTED:
                refutation = Gossip(members=(self._table.own_update,))
                commands.append(Send(peer, refutation))
        return [*self._pop_reports(), *commands]

    def on_probe(self, peer: str, probe: Probe) -> list[Send]:
        """Answers a probe of a peer."""
        return self._prober.on_probe(peer, probe)

    def on_indirect_probe(
        self, peer: str, probe: IndirectProbe, now_s: float
    ) -> list[Send]:
        """Probes a host on behalf of a peer, if the host is listed."""
        if probe.target not in self._table:
            return []
        return self._prober.on_indirect_probe(peer, probe, now_s)

    def on_ack(self, ack: ProbeAck) -> list[Send]:
        """Handles the answer to a probe."""
        return self._prober.on_ack(ack)

    def updates_for(self, peer: str) -> tuple[MemberUpdate, ...]:
        """Returns the updates for one message to a peer and counts the sends.

        A peer that is not believed alive always receives the update about
        itself. It can then refute it, also if it was partitioned while it was
        declared dead.
        """
        recency = self._changed_s
        hosts = self._unsent.next_keys(
            MAX_UPDATES, len(self._table), lambda h: recency.get(h, 0.0)
        )
        if self.is_suspect_or_dead(peer) and peer not in hosts:
            hosts.append(peer)
        return tuple(self._table.update_of(h) for h in hosts)

    def is_suspect_or_dead(self, peer: str) -> bool:
        """Whether a peer is listed and believed suspect or dead."""
        if peer not in self._table:
            return False
        return self._table.state_of(peer) is not MemberState.ALIVE

    def _notify_suspect_or_dead(self, probes: list[Send]) -> list[Send]:
        """Sends probed peers that are not believed alive that belief.

        They can then refute it. Otherwise, after a network partition has
        healed, no host would gossip to the other side, and each side would go
        on believing the other dead.
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
