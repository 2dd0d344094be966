"""Exchanges documents, health signals and claims with the other hosts."""

import asyncio
import contextlib
import random
from typing import Any

import attrs

from hollyknot_coordination.claims import ClaimOptions
from hollyknot_coordination.spread import ReportSignals
from hollyknot_daemon._claiming import Grant
from hollyknot_daemon._claims_task import ClaimsTask
from hollyknot_daemon._delisted import Delisted
from hollyknot_daemon._dispatch import Dispatcher
from hollyknot_daemon._documents import Documents
from hollyknot_daemon._documents_view import DocumentsView
from hollyknot_daemon._peers_task import PeersTask
from hollyknot_state import (
    ClaimMessage,
    EntryState,
    HostList,
    HostListEntry,
    PeerMessage,
    Role,
    Settings,
    Verdict,
)
from hollyknot_transport import (
    LinkCounters,
    LinkPool,
    LinkServer,
    NoReply,
    PeerIdentity,
    Tracing,
    get_logger,
    make_link_credentials,
)

_LOG = get_logger("daemon")


class ControlPlane:
    """Connects this host to its peers and to the platform's services."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        documents: Documents,
        dispatcher: Dispatcher,
        claim_options: ClaimOptions,
        tracing: Tracing,
    ) -> None:
        """Creates the links and tasks; nothing listens yet.

        Args:
            settings: This host's settings.
            rng: Source of all random choices.
            documents: Receives each newly adopted document.
            dispatcher: Receives peers' signals and supplies this host's own.
            claim_options: Timeouts and limits of claims.
            tracing: Records a span for each hop of a claim to its holders.

        Raises:
            OSError: A TLS certificate or key file can't be read.
        """
        self._settings = settings
        self._dispatcher = dispatcher
        self._tracing = tracing
        self._documents = documents
        self._peers: dict[str, HostListEntry] = {}
        self._delisted = Delisted()
        # Cached, since every request checks whether the host is ready, and a
        # host list names about 12,500 hosts and upstreams.
        self._is_listed = False
        self._listed_revision = 0
        self._stack = contextlib.AsyncExitStack()
        self._counters = LinkCounters()
        credentials = make_link_credentials(settings)
        self._pool = LinkPool(credentials, rng, counters=self._counters)
        self._server = LinkServer(
            settings.links, credentials, self._receive, counters=self._counters
        )
        self._claims = ClaimsTask(settings, rng, self._send, claim_options)
        self._peers_task = PeersTask(
            settings, rng, documents, self._send, self._on_signals
        )

    @property
    def is_ready(self) -> bool:
        """Whether this host has the documents and claims it needs to serve.

        A host list that does not name this host may also predate the upstreams
        that this host should use. A host that has not learnt its claim slots
        would refuse new idempotency keys as too old.
        """
        view = self._documents.view
        if not self._claims.may_serve:
            return False
        is_caught_up = self._peers_task.state.is_ready
        return view.is_complete and self._is_listed and is_caught_up

    @property
    def links_port(self) -> int:
        """Port that accepts links from other hosts."""
        return self._server.port

    @property
    def counters(self) -> LinkCounters:
        """Counters of the traffic over links to other hosts."""
        return self._counters

    async def __aenter__(self) -> "ControlPlane":
        """Starts to listen for links from other hosts.

        Raises:
            OSError: The address can't be bound.
        """
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._pool)
            await stack.enter_async_context(self._server)
            stack.push_async_callback(self._peers_task.close)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Closes all links."""
        await self._stack.aclose()

    def on_view(self, view: DocumentsView) -> None:
        """Applies a change of the documents in force."""
        if view.hosts.revision != self._listed_revision:
            self._listed_revision = view.hosts.revision
            self._on_hosts(view.hosts)
        self._claims.on_view(view, self._is_listed)

    def _on_hosts(self, hosts: HostList) -> None:
        listed = {e.name: e for e in hosts.entries if e.role is Role.HOST}
        self._is_listed = listed.pop(self._settings.host, None) is not None
        self._peers = listed
        self._delisted.note(listed)

    def tick(self) -> None:
        """Runs gossip and claim timers; called about every 0.1 s."""
        self._peers_task.tick(
            self._dispatcher.local_pressure(),
            self._dispatcher.local_signs(),
            self._dispatcher.local_suspects(),
        )
        self._claims.tick()

    def forget(self) -> None:
        """Drops claims past their retention; called about every minute."""
        self._claims.forget()

    async def claim(
        self, customer: str, service: str, idempotency_key: str
    ) -> Grant | Verdict:
        """Requests the claim for a non-idempotent request."""
        return await self._claims.claim(customer, service, idempotency_key)

    async def hand_over(self) -> None:
        """Waits until other hosts have learnt this host's claims.

        They start to learn once the host list marks this host as leaving,
        which may happen after the signal to stop. Meanwhile this host
        answers their questions. If it stopped too early, together with most
        of a slot's other holders, the slot would stay closed and its keys
        could never be claimed again. The wait is limited to `handover_s`.
        """
        if not self._has_successors():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.handover_s):
                await self._claims.wait_handed_over()
        left = self._claims.pending_handovers
        _LOG.info("claims-handed-over", slots_left=left)

    def _has_successors(self) -> bool:
        here = self._settings.data_centre
        return any(
            e.data_centre == here and e.state is EntryState.LIVE
            for e in self._peers.values()
        )

    def view(self) -> dict[str, object]:
        """Returns what the status page shows of peers, claims and links."""
        state = self._peers_task.state
        alive = set(state.alive_peers(self._settings.data_centre))
        return {
            "peers": [
                {
                    "name": e.name,
                    "data_centre": e.data_centre,
                    "state": _state_of(e, alive, self._settings.data_centre),
                }
                for e in self._peers.values()
            ],
            "is_reader": state.is_reader,
            "suspects_partition": state.is_partition_suspected,
            "claims": {
                "records": self._claims.records,
                "learning_slots": self._claims.learning_slots,
            },
            "links": self._traffic(),
        }

    def _traffic(self) -> dict[str, object]:
        return {t.kind: attrs.asdict(t) for t in self._counters.traffic()}

    def _send(self, host: str, message: PeerMessage | ClaimMessage) -> None:
        entry = self._peers.get(host) or self._delisted.find(host)
        if entry is not None:
            self._pool.post(
                entry.ip,
                entry.port,
                message,
                traceparent=self._tracing.current_traceparent(),
                expected_host=host,
            )

    async def _receive(
        self, peer: PeerIdentity, message: Any, traceparent: str
    ) -> NoReply:
        if isinstance(message, PeerMessage):
            self._peers_task.on_message(peer.host, message)
        elif isinstance(message, ClaimMessage):
            self._on_claim(peer, message, traceparent)
        return NoReply.NO_REPLY

    def _on_claim(
        self, peer: PeerIdentity, message: ClaimMessage, traceparent: str
    ) -> None:
        if not traceparent:
            self._claims.on_message(peer.host, message)
            return
        name = type(message).__name__
        with self._tracing.span("claim-hop", traceparent, message=name):
            self._claims.on_message(peer.host, message)

    def _on_signals(self, signals: ReportSignals) -> None:
        self._dispatcher.on_peer_signals(
            signals.pressures, signals.signs, signals.suspects
        )


def _state_of(entry: HostListEntry, alive: set[str], here: str) -> str:
    if entry.data_centre != here:
        return "not-probed"
    return "alive" if entry.name in alive else "unreachable"
