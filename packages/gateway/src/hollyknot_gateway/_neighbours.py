"""Exchanges reports and news with a host's peers."""

import asyncio
import random
from collections.abc import Callable, Sequence

from hollyknot_coordination.forwarding import (
    MIN_INTERVAL_TO_NOTE_S,
    MIN_INTERVAL_TO_QUERY_S,
    PARTS_ASKED,
    PARTS_TOLD,
    SIZER_RESERVE,
    CachedVersions,
    CacheReaders,
    Inquiries,
    Keepers,
    KnownHosts,
    Peers,
    Permits,
    Rendezvous,
    ReportRate,
    Tracker,
    Trackers,
    VersionHistory,
)
from hollyknot_gateway._awaited_routes import AwaitedRoutes
from hollyknot_gateway._cache_searches import CacheSearches
from hollyknot_gateway._evidence_exchange import EvidenceExchange
from hollyknot_gateway._host_queries import HostQueries
from hollyknot_gateway._inquirer import Inquirer
from hollyknot_gateway._list_proof import ALWAYS_NEWEST, ListProof
from hollyknot_gateway._log import Log
from hollyknot_gateway._metrics import Metrics
from hollyknot_gateway._partition_detector import PartitionDetector
from hollyknot_gateway._permit_requester import PermitRequester
from hollyknot_gateway._ports import ReadParts
from hollyknot_gateway._report_contents import ReportContents, SharedState
from hollyknot_gateway._report_receiver import ReportReceiver, without_ages
from hollyknot_gateway._report_sender import ReportSender
from hollyknot_gateway._reports import (
    CacheMessage,
    EvidenceMessage,
    HostsMessage,
    Message,
    PermitMessage,
    ReportSocket,
    TrialMessage,
    VersionMessage,
)
from hollyknot_gateway._revision_gossip import RevisionGossip
from hollyknot_gateway._routing_state import RoutingState
from hollyknot_gateway._standstills import Standstills
from hollyknot_gateway._suspect_exchange import SuspectExchange
from hollyknot_gateway._take_ups import TakeUps
from hollyknot_gateway._trial_requester import TrialRequester
from hollyknot_gateway._version_requester import VersionRequester
from hollyknot_state import (
    Address,
    EvidenceAnswer,
    HostReport,
    SuspectNews,
    UseReport,
)
from hollyknot_state.routes import GatewaySettings, UpstreamEntry

REPORT_INTERVAL_S = 0.1
"""Seconds between two rounds of reports. In-flight work changes within tens of
milliseconds, and a report costs some tens of microseconds."""

_INCARNATION_BITS = 62
"""Length in bits of the random number that distinguishes a restarted host from
its earlier incarnation."""


class Neighbours:
    """Sends reports to a host's peers and handles what the peers send."""

    def __init__(
        self,
        settings: GatewaySettings,
        shared: SharedState,
        in_force: RoutingState,
        partitions: PartitionDetector,
        directory_revisions: RevisionGossip,
        read_parts: ReadParts,
        metrics: Metrics,
        log: Log,
        rng: random.Random,
        clock: Callable[[], float],
        is_current: Callable[[], bool] = lambda: True,
        list_proof: ListProof = ALWAYS_NEWEST,
    ) -> None:
        """Builds the exchange; `open` opens its socket.

        Args:
            settings: The settings of this process.
            shared: State that is exchanged with peers.
            in_force: Newest route table and known upstreams.
            partitions: Told which data centres are silent.
            directory_revisions: Decides when reports carry the directory
                revisions that were read.
            read_parts: Reads the parts of prompts that an upstream holds.
            metrics: Counts what was asked of upstreams and peers.
            log: Logs new and lost peers.
            rng: Chooses the peers to contact.
            clock: The loop's monotonic clock, in seconds.
            is_current: Returns whether the upstreams that this host has listed
                may be taken for the newest.
            list_proof: Proves that these upstreams are the newest.
        """
        self._settings = settings
        self._shared = shared
        self._routing_state = in_force
        self._partitions = partitions
        self._log = log
        self._rng = rng
        self._clock = clock
        self._standstills = Standstills(clock())
        self._is_current = is_current
        self._was_current = False
        self._awaited_routes = AwaitedRoutes(
            in_force, settings.bounds.apply_s, log
        )
        self._peers = Peers(
            settings.peers, settings.data_centre, settings.seeds, rng
        )
        self._socket = ReportSocket(self._handle_message, log)
        self._incarnation = rng.getrandbits(_INCARNATION_BITS)
        self._rate = ReportRate()
        self._suspect_exchange = SuspectExchange(
            shared.suspects, self._send_news, log, rng, clock
        )
        self._own = Tracker(
            self._incarnation, settings.peers, settings.data_centre
        )
        self._evidence_exchange = EvidenceExchange(
            shared.suspects,
            self._own,
            self._send_news,
            log,
            rng,
            clock,
            is_alone=self.is_alone,
        )
        trackers = Trackers(self._own, lambda: self._peers.hosts)
        self._permits = Permits(
            trackers,
            shared.host_count,
            shared.limits,
            in_force.registry.entry_of,
            rng,
        )
        self._report_receiver = ReportReceiver(
            shared,
            self._peers,
            self._permits,
            self._suspect_exchange,
            directory_revisions,
            self._awaited_routes,
            lambda: self.is_informed,
            log,
        )
        self._contents = ReportContents(
            settings,
            self._incarnation,
            shared,
            in_force,
            self._peers,
            self._permits,
            directory_revisions,
            rng,
        )
        self._report_sender = ReportSender(
            self._contents,
            self._peers,
            self._rate,
            self._socket.send,
            log,
            clock(),
        )
        self._permit_requester = PermitRequester(
            self._permits, self._rate, self._socket.send, log, clock
        )
        self._inquirer = Inquirer(
            Inquiries(
                self._incarnation,
                trackers,
                shared.loads,
                shared.cached,
                shared.forecasts,
                shared.demand,
                shared.speeds,
                shared.lane_shares,
                tell=shared.customers.tell,
                hear=shared.customers.hear,
            ),
            self._rate,
            self._socket.send,
            in_force.registry.entry_of,
            log,
            clock,
        )
        self._known_hosts = KnownHosts(self._own, lambda: self._peers.hosts)
        self._host_queries = HostQueries(
            self._known_hosts,
            sorted(set(settings.seeds) - {settings.peers}, key=str),
            self._rate,
            self._socket.send,
            rng,
            clock,
        )
        history = VersionHistory(
            is_current,
            is_first_start=settings.is_first_start,
            longest_stream_s=lambda: (
                in_force.longest_stream_s + settings.bounds.drain_s
            ),
        )
        cached = CachedVersions()
        self._version_requester = VersionRequester(
            history,
            cached,
            Keepers(lambda: self._known_hosts.hosts),
            self._host_queries,
            list_proof,
            self._rate,
            self._socket.send,
            log,
            clock,
        )
        self._cache_searches = CacheSearches(
            cached,
            CacheReaders(
                self._own,
                lambda: self._known_hosts.first,
                lambda: self._known_hosts.is_first,
            ),
            Keepers(lambda: self._known_hosts.first, PARTS_TOLD, PARTS_ASKED),
            read_parts,
            in_force.registry.of_service,
            lambda: self._known_hosts.first,
            self._host_queries.learn,
            self._rate,
            self._socket.send,
            log,
            metrics,
            clock,
        )
        self._take_ups = TakeUps(
            history,
            self._version_requester,
            self._cache_searches,
            list_proof,
            lambda: self._peers.silent_s(clock()),
            log,
            metrics,
            clock,
        )
        self._trial_requester = TrialRequester(
            shared.suspects,
            Rendezvous(lambda: self._peers.hosts),
            self._own,
            lambda: self._evidence_exchange.is_informed,
            self._rate,
            self._socket.send,
            log,
            clock,
        )
        shared.loads.on_change = self._schedule_notes

    async def ask(
        self, entries: Sequence[UpstreamEntry], runs: tuple[int, ...]
    ) -> bool:
        """Asks trackers for the loads of upstreams.

        Args:
            entries: The upstreams.
            runs: Short names of the prefixes of the request's prompt.

        Returns:
            Whether all loads are known from trackers.
        """
        return await self._inquirer.ask(entries, runs)

    async def ask_permit(
        self, entry: UpstreamEntry, *, is_least_urgent: bool
    ) -> bool:
        """Asks for a permit to send a request to a rate-limited upstream.

        Args:
            entry: The upstream.
            is_least_urgent: Whether the request is among the least urgent of
                its service.

        Returns:
            Whether the request may be sent.
        """
        return await self._permit_requester.ask(
            entry, is_least_urgent=is_least_urgent
        )

    @property
    def trials(self) -> TrialRequester:
        """Trials of what may crash upstreams."""
        return self._trial_requester

    @property
    def is_informed(self) -> bool:
        """Whether this host knows what its peers know, or can't learn it."""
        return self._evidence_exchange.is_informed

    def on_suspended(self) -> None:
        """Handles a suspension, in which this host has missed news."""
        self._evidence_exchange.ask_again()

    @property
    def incarnation(self) -> int:
        """Number that peers know this process by."""
        return self._incarnation

    @property
    def versions(self) -> VersionRequester:
        """The versions that began streams."""
        return self._version_requester

    @property
    def take_ups(self) -> TakeUps:
        """The versions at which callers go on with broken streams."""
        return self._take_ups

    @property
    def cache_searches(self) -> CacheSearches:
        """Searches for parts of prompts at upstreams."""
        return self._cache_searches

    @property
    def own(self) -> Tracker:
        """This host, as its peers know it."""
        return self._own

    @property
    def known_peers(self) -> tuple[Tracker, ...]:
        """The peers that send reports; the same object until they change."""
        return self._peers.hosts

    def set_takes_relays(self, takes_relays: bool) -> None:
        """Sets whether reports say that this host makes tries for others."""
        self._contents.takes_relays = takes_relays

    def relays(self, service: str) -> list[Tracker]:
        """Returns the peers that may make tries for this host at a service."""
        return self._peers.relays(service)

    def host_of(self, incarnation: int, ip: str) -> str:
        """Returns the name of a peer, or an empty string if it is unknown."""
        return self._peers.host_of(incarnation, ip)

    def has_ip(self, ip: str) -> bool:
        """Whether a peer has an IP address."""
        return self._peers.has_ip(ip)

    @property
    def permits(self) -> Permits:
        """The permits for rate-limited upstreams."""
        return self._permits

    def should_query_trackers(self, reserve: float) -> bool:
        """Returns whether to ask trackers for loads instead of using reports.

        It is better to ask if reports are rare, as long as the byte budget for
        queries allows it.

        Args:
            reserve: Fraction of that budget to leave to other requests.
        """
        if self._peers.interval_s < MIN_INTERVAL_TO_QUERY_S:
            return False
        now_s = self._clock()
        if self._shared.lane_shares.is_publishing(now_s):
            reserve = SIZER_RESERVE
        return self._rate.may_query(now_s, reserve)

    @property
    def streams_forgotten(self) -> int:
        """Number of streams whose version was forgotten early."""
        return self._version_requester.forgotten

    @property
    def news_dropped(self) -> int:
        """Number of news of lost requests that were never sent."""
        return self._suspect_exchange.dropped + self._evidence_exchange.dropped

    @property
    def has_own_news(self) -> bool:
        """Whether there are peers to be told of losses that this host saw."""
        return self.count > 0 and self._suspect_exchange.has_own_news

    @property
    def count(self) -> int:
        """Number of peers that send reports to this host."""
        return self._peers.count

    @property
    def running_s(self) -> float:
        """Seconds for which this host has run since it last stood still."""
        return self._standstills.running_s(self._clock())

    @property
    def is_alone(self) -> bool:
        """Whether the settings name no other host."""
        return not set(self._settings.seeds) - {self._settings.peers}

    @property
    def hosts(self) -> int:
        """Estimated number of hosts, with this one."""
        return self._peers.estimated_count + 1

    async def open(self) -> None:
        """Opens the socket for reports.

        Raises:
            OSError: The address can't be bound.
        """
        await self._socket.open(self._settings.peers)

    def close(self) -> None:
        """Closes the socket for reports."""
        self._socket.close()

    async def run(self) -> None:
        """Sends and aggregates reports until it is cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            now_s = self._clock()
            self._standstills.on_round(now_s)
            self._aggregate_reports(now_s)
            self._schedule_notes()
            registry = self._routing_state.registry
            self._version_requester.on_listed(registry.by_service(now_s))
            self._known_hosts.expire(now_s)
            self._version_requester.on_round()
            self._check_current()
            self._awaited_routes.check(now_s)
            self._partitions.set_silent(self._peers.silent_data_centres(now_s))
            self._evidence_exchange.run(self._peers.hosts)
            addresses = [host.address for host in self._peers.hosts]
            news_bytes = self._suspect_exchange.send(addresses)
            self._report_sender.send(news_bytes, now_s)

    def _check_current(self) -> None:
        """Tells streams to peers once this host's list may be out of date."""
        is_current = self._is_current()
        if self._was_current and not is_current:
            self._version_requester.tell_all()
        self._was_current = is_current

    def _send_news(self, data: bytes, targets: list[Address]) -> None:
        self._socket.send(data, targets)
        self._rate.spend_on_news(len(data) * len(targets))

    def _aggregate_reports(self, now_s: float) -> None:
        """Sums up the newest reports of the peers and removes silent peers."""
        for host in self._peers.expire(now_s):
            self._log.line("peer_lost", peer=host)
        fresh = self._peers.fresh(now_s)
        shared = self._shared
        shared.loads.replace_reports(fresh)
        shared.demand.apply_reported(
            (d for report in fresh for d in report.demands),
            min(1.0, (len(fresh) + 1) / self.hosts),
            self.hosts,
        )
        shared.host_count.set(
            self.hosts, self.count + 1, now_s, self._peers.by_data_centre
        )

    def _schedule_notes(self) -> None:
        if self._peers.interval_s >= MIN_INTERVAL_TO_NOTE_S:
            self._inquirer.schedule_notes()
        else:
            # Nobody asks trackers. The set of changed upstreams is emptied, or
            # it would grow to the names of all upstreams.
            self._shared.loads.pop_changed()

    def _handle_message(self, message: Message, sender: Address) -> None:
        now_s = self._clock()
        self._peers.on_message(sender, now_s)
        if self._standstills.may_have_waited(now_s):
            if self._is_outdated(message):
                return
            if isinstance(message, HostReport | UseReport):
                message = without_ages(message)
        if isinstance(message, HostReport | UseReport):
            self._report_receiver.handle(message, now_s)
        elif isinstance(message, PermitMessage):
            self._permit_requester.handle(message, sender)
        elif isinstance(message, VersionMessage):
            self._version_requester.handle(message, sender)
        elif isinstance(message, CacheMessage):
            self._cache_searches.handle(message)
        elif isinstance(message, HostsMessage):
            self._host_queries.handle(message, sender)
            self._version_requester.tell_new_keepers()
        elif isinstance(message, TrialMessage):
            self._trial_requester.handle(message, sender)
        elif isinstance(message, EvidenceMessage):
            self._evidence_exchange.handle(message, sender)
        elif isinstance(message, SuspectNews):
            self._suspect_exchange.on_news(message)
        else:
            self._inquirer.handle(message, sender)

    def _is_outdated(self, message: Message) -> bool:
        """Whether a message that may have waited only tells what has an age.

        The answer to a query since this host goes on has not waited.
        """
        if isinstance(message, EvidenceAnswer):
            return not self._evidence_exchange.awaits(message)
        return isinstance(message, SuspectNews)
