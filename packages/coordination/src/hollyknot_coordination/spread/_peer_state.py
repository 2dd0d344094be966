"""Combines the documents, the liveness and the signals of one host.

The host's task passes events and the time to `PeerState` and executes the
commands that it returns. The result is deterministic for given events, times
and random source.
"""

import random
from collections.abc import Iterable, Mapping

from hollyknot_coordination._peer_commands import (
    Apply,
    PeerCommand,
    ReportMember,
    Send,
)
from hollyknot_coordination.membership import Membership, choose_readers
from hollyknot_coordination.signals import SignalStore
from hollyknot_coordination.spread._document import Check, DocumentState
from hollyknot_coordination.spread._polling import Polling
from hollyknot_coordination.spread._readiness import MIN_CONTACTS, Readiness
from hollyknot_coordination.spread._topology import Topology, sample_hosts
from hollyknot_state import (
    DocumentDelta,
    DocumentKind,
    DocumentPage,
    DocumentVersion,
    FetchDocument,
    Gossip,
    HostList,
    IndirectProbe,
    MemberState,
    PeerMessage,
    Probe,
    ProbeAck,
    SuspectRecord,
    TierPressure,
    UpstreamSign,
)

TICK_S = 0.2
"""Seconds between the calls of `on_tick`."""

UPDATE_ROUND_S = 0.5
"""Mean seconds between rounds of gossip while updates wait to be sent."""

IDLE_ROUND_S = 1.0
"""Mean seconds between rounds of gossip while no updates wait."""

FANOUT = 2
"""Number of peers of the data centre that receive gossip in each round."""

ANNOUNCE_FANOUT = 4
"""Number of peers that are notified at once of a version put in force."""

PAUSE_GAP_S = 2.0
"""Seconds between two calls above which this process counts as paused."""

AFTER_PAUSE_S = 1.0
"""Seconds after a pause during which messages count as old as the pause."""


class PeerState:
    """Holds what a host knows about documents, peers and signals."""

    def __init__(
        self,
        host: str,
        data_centre: str,
        checks: Mapping[DocumentKind, Check],
        rng: random.Random,
        now_s: float,
    ) -> None:
        """Creates the state of a host that has no documents or peers yet.

        Args:
            host: Name of this host in the host list.
            data_centre: Data centre in which this host runs.
            checks: Check function for each document. The check of the host
                list returns a `HostList` or `Invalid`.
            rng: Random source for all random choices.
            now_s: Current time in monotonic seconds.
        """
        self._host = host
        self._data_centre = data_centre
        self._rng = rng
        self._documents = {
            d: DocumentState(d, checks[d], rng) for d in DocumentKind
        }
        self._topology = Topology(host, data_centre)
        self._membership = Membership(host, rng, now_s)
        self._signals = SignalStore(rng, now_s)
        self._readiness = Readiness()
        self._polling = Polling(rng, now_s)
        self._next_round_s = now_s
        self._last_call_s = now_s
        self._pause_s = 0.0
        self._resumed_s = now_s
        self._readers: tuple[str, ...] = (host,)

    @property
    def is_ready(self) -> bool:
        """Whether the host may serve. Once true, it stays true."""
        return self._readiness.is_ready

    def is_caught_up(self, now_s: float) -> bool:
        """Returns whether all documents are in force and none is outdated."""
        return all(d.is_caught_up(now_s) for d in self._documents.values())

    @property
    def is_partition_suspected(self) -> bool:
        """Whether so many peers are unreachable that a partition is likely."""
        return self._membership.is_partition_suspected

    @property
    def is_reader(self) -> bool:
        """Whether this host reads from the platform for its data centre."""
        return self._host in self._readers

    @property
    def readers(self) -> tuple[str, ...]:
        """Readers of this data centre as this host sees them."""
        return self._readers

    @property
    def signals(self) -> SignalStore:
        """Advisory signals that this host knows, for reading."""
        return self._signals

    @property
    def versions(self) -> tuple[DocumentVersion, ...]:
        """Versions in force, one for each document."""
        return tuple(d.version for d in self._documents.values())

    def version_in_force(self, document: DocumentKind) -> int:
        """Returns a document's version in force; 0 before there is one."""
        return self._documents[document].version.version

    def read_after(self, document: DocumentKind) -> int:
        """Returns the version above which to ask the platform."""
        return self._documents[document].read_after

    def alive_peers(self, data_centre: str) -> tuple[str, ...]:
        """Returns the hosts of a data centre that are believed alive.

        For this data centre probes decide. For others all live entries of the
        host list are returned, since hosts do not probe across data centres.
        """
        if data_centre == self._data_centre:
            return self._membership.alive
        return self._topology.hosts_of(data_centre)

    def on_tick(self, now_s: float) -> list[PeerCommand]:
        """Returns the commands that are due; call it every `TICK_S` seconds."""
        self._detect_pause(now_s)
        commands = self._follow_up(self._membership.on_tick(now_s), now_s)
        for document in self._documents.values():
            commands += self._follow_up(document.on_tick(now_s), now_s)
        if now_s >= self._next_round_s:
            commands += self._gossip_round(now_s)
        held = frozenset(
            d for d, s in self._documents.items() if s.version.version > 0
        )
        commands += self._polling.on_tick(held, self.is_reader, now_s)
        self._check_ready(now_s)
        return commands

    def on_message(
        self, peer: str, message: PeerMessage, now_s: float
    ) -> list[PeerCommand]:
        """Handles a message of an authenticated peer."""
        self._detect_pause(now_s)
        commands = self._follow_up(self._dispatch(peer, message, now_s), now_s)
        self._check_ready(now_s)
        return commands

    def on_platform_document(
        self, document: DocumentKind, version: int, body: bytes, now_s: float
    ) -> list[PeerCommand]:
        """Handles a document that was read from the platform.

        Args:
            document: Document that was read.
            version: Version of the declarations, or revision of the host list.
            body: Document as JSON: the declarations without their version, or
                the host list.
            now_s: Current time in monotonic seconds.
        """
        self._detect_pause(now_s)
        state = self._documents[document]
        commands = self._follow_up(
            state.on_platform(version, body, now_s), now_s
        )
        self._check_ready(now_s)
        return commands

    def note_signals(
        self,
        now_s: float,
        *,
        pressures: Iterable[TierPressure] = (),
        signs: Iterable[UpstreamSign] = (),
        suspects: Iterable[SuspectRecord] = (),
    ) -> None:
        """Adds signals that this host observed itself, to gossip them."""
        for pressure in pressures:
            self._signals.note_pressure(pressure, now_s)
        for sign in signs:
            self._signals.note_sign(sign, now_s)
        for record in suspects:
            self._signals.note_suspect(record, now_s)

    def _dispatch(
        self, peer: str, message: PeerMessage, now_s: float
    ) -> list[PeerCommand]:
        match message:
            case Gossip():
                return self._on_gossip(peer, message, now_s)
            case Probe():
                return list(self._membership.on_probe(peer, message))
            case ProbeAck():
                return list(self._membership.on_ack(message))
            case IndirectProbe():
                return list(
                    self._membership.on_indirect_probe(peer, message, now_s)
                )
            case FetchDocument():
                return self._on_fetch(peer, message, now_s)
            case DocumentDelta():
                document = self._documents[message.target.document]
                return document.on_delta(peer, message, now_s)
            case DocumentPage():
                document = self._documents[message.version.document]
                return document.on_page(peer, message, now_s)

    def _on_gossip(
        self, peer: str, gossip: Gossip, now_s: float
    ) -> list[PeerCommand]:
        commands: list[PeerCommand] = []
        is_behind = False
        for version in gossip.versions:
            document = self._documents[version.document]
            is_behind |= version.version < document.version.version
            commands += document.on_version(peer, version, now_s)
        self._readiness.add_contact(peer)
        commands += self._membership.on_updates(peer, gossip.members, now_s)
        delay_s = self._pause_s if self._has_just_resumed(now_s) else 0.0
        commands += self._signals.on_gossip(gossip, delay_s, now_s)
        if is_behind or gossip.reply:
            commands.append(Send(peer, self._make_gossip(peer, False, now_s)))
        return commands

    def _on_fetch(
        self, peer: str, request: FetchDocument, now_s: float
    ) -> list[PeerCommand]:
        document = self._documents[request.document]
        answer = document.on_fetch(peer, request, now_s)
        if answer:
            return list(answer)
        return [Send(peer, self._make_gossip(peer, False, now_s))]

    def _follow_up(
        self, commands: list[PeerCommand], now_s: float
    ) -> list[PeerCommand]:
        """Handles applied documents and changed peers; adds what follows."""
        followed = list(commands)
        for command in commands:
            match command:
                case Apply(document=document, value=value):
                    if document is DocumentKind.HOSTS:
                        assert isinstance(value, HostList)
                        self._set_hosts(value, now_s)
                    followed += self._announce()
                case ReportMember(host=host, state=state):
                    if state is MemberState.DEAD:
                        for document_state in self._documents.values():
                            document_state.drop_source(host)
                    self._choose_readers()
        return followed

    def _set_hosts(self, host_list: HostList, now_s: float) -> None:
        self._topology.set_host_list(host_list)
        self._membership.set_hosts(self._topology.own_ranked, now_s)
        for document in self._documents.values():
            document.retain_sources(self._topology.hosts)
        self._choose_readers()
        self._next_round_s = min(self._next_round_s, now_s)

    def _choose_readers(self) -> None:
        alive = frozenset((*self._membership.alive, self._host))
        self._readers = choose_readers(self._topology.own_ranked, alive)

    def _announce(self) -> list[PeerCommand]:
        """Sends the versions in force to a few peers at once."""
        targets = set(
            sample_hosts(self._membership.targets, ANNOUNCE_FANOUT, self._rng)
        )
        if self.is_reader:
            targets.update(self._readers)
            targets.update(self._topology.remote_readers(self._rng))
        targets.discard(self._host)
        # Sorted, because the order of a set differs between Python processes.
        return [
            Send(peer, Gossip(versions=self.versions))
            for peer in sorted(targets)
        ]

    def _gossip_round(self, now_s: float) -> list[PeerCommand]:
        has_updates = self._signals.has_updates or self._membership.has_updates
        pause_s = UPDATE_ROUND_S if has_updates else IDLE_ROUND_S
        self._next_round_s = now_s + pause_s * self._rng.uniform(0.9, 1.1)
        fanout = FANOUT if self.is_ready else max(FANOUT, MIN_CONTACTS)
        targets = sample_hosts(self._membership.targets, fanout, self._rng)
        # A suspect that receives gossip can refute the suspicion. Otherwise a
        # single lost probe would get it declared dead, since nobody would
        # gossip to it any more.
        targets += sample_hosts(self._membership.suspects, 1, self._rng)
        if self.is_reader:
            targets += self._topology.next_remote(self._rng)
        reply = not self.is_ready
        return [
            Send(peer, self._make_gossip(peer, reply, now_s))
            for peer in targets
        ]

    def _make_gossip(self, peer: str, reply: bool, now_s: float) -> Gossip:
        if peer not in self._topology.own_ranked:
            return Gossip(reply=reply, versions=self.versions)
        hosts = len(self._topology.own_ranked)
        updates = self._signals.next_updates(hosts, now_s)
        return Gossip(
            reply=reply,
            versions=self.versions,
            members=self._membership.updates_for(peer),
            pressures=updates.pressures,
            signs=updates.signs,
            suspects=updates.suspects,
        )

    def _check_ready(self, now_s: float) -> None:
        peers = len(self._topology.own_ranked) - 1
        self._readiness.check(self._documents.values(), peers, now_s)

    def _detect_pause(self, now_s: float) -> None:
        gap_s = now_s - self._last_call_s
        self._last_call_s = now_s
        if gap_s > PAUSE_GAP_S:
            self._pause_s = gap_s
            self._resumed_s = now_s

    def _has_just_resumed(self, now_s: float) -> bool:
        return self._pause_s > 0 and now_s - self._resumed_s < AFTER_PAUSE_S
