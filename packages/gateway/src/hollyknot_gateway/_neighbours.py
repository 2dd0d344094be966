"""What a host and its peers tell each other, and what follows from silence."""

import asyncio
import random
from collections.abc import Callable, Sequence

import attrs

from hollyknot_coordination.forwarding import (
    ASK_FROM_S,
    NOTE_FROM_S,
    CachedParts,
    Demand,
    FleetSize,
    Forecasts,
    Inquiries,
    Loads,
    NamedLimits,
    Peers,
    Permits,
    Reachability,
    ReportRate,
    Tracker,
    Trackers,
)
from hollyknot_coordination.suspects import SuspectRegister
from hollyknot_gateway._in_force import InForce
from hollyknot_gateway._inquirer import Inquirer
from hollyknot_gateway._log import Log
from hollyknot_gateway._permit_requester import PermitRequester
from hollyknot_gateway._pool import ConnectFailure
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._reports import (
    Message,
    PermitMessage,
    Report,
    ReportSocket,
    encode_report,
    encode_suspect_news,
)
from hollyknot_gateway._revision_gossip import RevisionGossip
from hollyknot_state import (
    Address,
    HostReport,
    SuspectNews,
    SuspectRecord,
    UseReport,
)
from hollyknot_state.routes import GatewaySettings, UpstreamEntry

REPORT_INTERVAL_S = 0.1
"""Between two rounds of reports. Work in flight changes within tens of
milliseconds, and a report costs some tens of microseconds."""

COMPLETE_REPORT_EVERY = 6
"""One of so many short reports tells of all upstreams with work in flight; the
others only of those where prompts wait, which change the soonest."""

SUSPECT_NEWS_FANOUT = 5
"""Peers to which each host passes on new evidence of a crash, once: all hosts
but one in a hundred then have it after a few rounds, however many they are."""

PARTITION_DETECTION_S = 1.5
"""Within which upstreams behind one cut are found to be away, one by one."""

_INCARNATION_BITS = 62
"""Of the random number that tells a restarted host from the one before it."""


@attrs.frozen
class SharedState:
    """What hosts tell each other of.

    Attributes:
        loads: Work in flight.
        demand: Prompt tokens that are sent.
        cached: Which upstream has which parts of prompts.
        forecasts: How long streams take at upstreams.
        suspects: Which requests may crash upstreams.
        size: How many hosts there are.
        limits: Rate limits that upstreams have named.
    """

    loads: Loads
    demand: Demand
    cached: CachedParts
    forecasts: Forecasts
    suspects: SuspectRegister
    host_count: FleetSize
    limits: NamedLimits


class Neighbours:
    """The peers of one host, told and heard several times a second."""

    def __init__(
        self,
        settings: GatewaySettings,
        shared: SharedState,
        in_force: InForce,
        reachability: Reachability,
        prober: Prober,
        directory_revisions: RevisionGossip,
        log: Log,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Wires the parts.

        Args:
            settings: Of this process.
            shared: What is told.
            in_force: Routes and upstreams.
            reachability: Which upstreams can't be connected to.
            prober: Looks at upstreams of a silent data centre.
            news: What was read from the directory.
            log: Told of peers met and lost.
            rng: Chooses peers, and which upstream is probed.
            clock: The loop's monotonic clock, in seconds.
        """
        self._settings = settings
        self._shared = shared
        self._in_force = in_force
        self._reachability = reachability
        self._prober = prober
        self._directory_revisions = directory_revisions
        self._log = log
        self._rng = rng
        self._clock = clock
        self._peers = Peers(
            settings.peers, settings.data_centre, settings.seeds, rng
        )
        self._socket = ReportSocket(self._handle_message, log)
        self._incarnation = rng.getrandbits(_INCARNATION_BITS)
        self._sequence = 0
        self._rate = ReportRate()
        self._report_bytes = 0
        own = Tracker(self._incarnation, settings.peers, settings.data_centre)
        trackers = Trackers(own, lambda: self._peers.hosts)
        self._permits = Permits(
            trackers,
            shared.host_count,
            shared.limits,
            in_force.fleet.entry_of,
            rng,
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
            ),
            self._rate,
            self._socket.send,
            in_force.fleet.entry_of,
            log,
            clock,
        )
        shared.loads.on_change = self._schedule_notes
        self._silent_data_centres: frozenset[str] = frozenset()

    async def ask(
        self, entries: Sequence[UpstreamEntry], runs: tuple[int, ...]
    ) -> bool:
        """Asks trackers for loads.

        Returns:
            Whether all answers are known.
        """
        return await self._inquirer.ask(entries, runs)

    async def ask_permit(
        self, entry: UpstreamEntry, *, is_least_urgent: bool
    ) -> bool:
        """Asks for a permit to send a request to an upstream with a limit.

        Returns:
            Whether it may be sent.
        """
        return await self._permit_requester.ask(
            entry, is_least_urgent=is_least_urgent
        )

    @property
    def permits(self) -> Permits:
        """What is known of permits for upstreams with a limit."""
        return self._permits

    @property
    def should_query_trackers(self) -> bool:
        """Whether a choice had better ask trackers than believe reports.

        It had where reports come seldom, as long as the budget allows.
        """
        is_old = self._peers.interval_s >= ASK_FROM_S
        return is_old and self._rate.may_ask(self._clock())

    @property
    def count(self) -> int:
        """Peers that are heard."""
        return self._peers.count

    @property
    def hosts(self) -> int:
        """How many hosts there are, as far as this one can tell."""
        return self._peers.estimated + 1

    async def open(self) -> None:
        """Opens the socket of reports.

        Raises:
            OSError: The address can't be bound.
        """
        await self._socket.open(self._settings.peers)

    def close(self) -> None:
        """Closes the socket of reports."""
        self._socket.close()

    async def run(self) -> None:
        """Tells and counts until it is cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            now_s = self._clock()
            self._aggregate_reports(now_s)
            self._schedule_notes()
            self._check_silent_data_centres(now_s)
            self._forward_suspect_news(now_s)
            self._send_reports(now_s)

    def _forward_suspect_news(self, now_s: float) -> None:
        """Passes on new evidence of crashes, before anything else is told.

        Where bytes are short, only that against requests that were in more
        than one crash: an upstream that crashes takes many with it.
        """
        suspects = self._shared.suspects
        directory_revisions = suspects.take_news(now_s)
        if directory_revisions and not self._rate.affordable(
            self._report_bytes, now_s
        ):
            directory_revisions = tuple(
                r
                for r in directory_revisions
                if suspects.is_repeated(r.fingerprint)
            )
        if not directory_revisions:
            return
        addresses = [host.address for host in self._peers.hosts]
        max_targets = min(SUSPECT_NEWS_FANOUT, len(addresses))
        self._send(
            encode_suspect_news(directory_revisions),
            self._rng.sample(addresses, max_targets),
        )

    def _send_reports(self, now_s: float) -> None:
        """Sends as many reports as the budget of bytes allows."""
        if not self._rate.affordable(self._report_bytes, now_s):
            return
        self._sequence += 1
        is_whole = self._sequence % COMPLETE_REPORT_EVERY == 0
        data = encode_report(self._use_report(now_s, is_whole=is_whole))
        self._report_bytes = len(data)
        max_targets = self._rate.affordable(self._report_bytes, now_s)
        targets = self._peers.targets(now_s, max_targets)
        full_report_targets = [
            t for t in targets if self._peers.wants_details(t, now_s)
        ]
        use_report_targets = [
            target for target in targets if target not in full_report_targets
        ]
        self._send(data, use_report_targets)
        if full_report_targets:
            self._send(
                encode_report(self._full_report(now_s)), full_report_targets
            )

    def _send(self, data: bytes, targets: list[Address]) -> None:
        self._socket.send(data, targets)
        self._rate.spend(len(data) * len(targets))

    def _aggregate_reports(self, now_s: float) -> None:
        """Counts what peers have told, and forgets those that are silent."""
        for host in self._peers.expire(now_s):
            self._log.line("peer_lost", peer=host)
        fresh = self._peers.fresh(now_s)
        shared = self._shared
        shared.loads.take_reports(fresh)
        shared.demand.take(
            (d for report in fresh for d in report.demands),
            min(1.0, (len(fresh) + 1) / self.hosts),
        )
        shared.host_count.set(
            self.hosts, self.count + 1, now_s, self._peers.by_centre
        )

    def _use_report(self, now_s: float, *, is_whole: bool) -> UseReport:
        shared = self._shared
        uses = shared.loads.uses()
        # Where reports come seldom, whole ones come too seldom for the lanes.
        includes_demand = is_whole or self._peers.interval_s >= ASK_FROM_S
        return UseReport(
            self._incarnation,
            self._sequence,
            uses if is_whole else tuple(use for use in uses if use.waiting),
            shared.demand.told(now_s) if includes_demand else (),
            shared.suspects.records(now_s),
            shared.cached.told(now_s),
            is_whole,
            self._directory_revisions.told(now_s, is_whole=is_whole),
            self._permits.told(now_s, is_all=is_whole),
        )

    def _full_report(self, now_s: float) -> HostReport:
        index = self._in_force.index
        use_report = self._use_report(now_s, is_whole=True)
        return HostReport(
            host=self._settings.host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            address=self._settings.peers,
            data_centre=self._settings.data_centre,
            table_version=index.table.version if index is not None else 0,
            uses=use_report.uses,
            demands=use_report.demands,
            suspects=use_report.suspects,
            contacts=self._peers.contacts(),
            held=use_report.held,
            revisions=self._directory_revisions.read,
            limits=use_report.limits,
        )

    def _schedule_notes(self) -> None:
        if self._peers.interval_s >= NOTE_FROM_S:
            self._inquirer.schedule_notes()
        else:
            # Nobody asks; the names of all upstreams would pile up.
            self._shared.loads.take_changed()

    def _handle_message(self, message: Message, sender: Address) -> None:
        if isinstance(message, HostReport | UseReport):
            self._handle_report(message)
        elif isinstance(message, PermitMessage):
            self._permit_requester.take(message, sender)
        elif isinstance(message, SuspectNews):
            self._handle_suspects(message.suspects, self._clock())
        else:
            self._inquirer.take(message, sender)

    def _handle_report(self, report: Report) -> None:
        now = self._clock()
        self._handle_suspects(report.suspects, now)
        self._shared.cached.take(report.held, now)
        for limit in self._permits.take(report.limits, now):
            self._log.line(
                "limit_told", upstream=limit.upstream, rate=limit.rate
            )
        if report.revisions is not None:
            self._directory_revisions.take(report.revisions)
        if isinstance(report, UseReport):
            self._peers.take_uses(report, now)
        elif self._peers.take(report, now):
            self._log.line(
                "peer_met", peer=report.host, data_centre=report.data_centre
            )

    def _handle_suspects(
        self, records: tuple[SuspectRecord, ...], now_s: float
    ) -> None:
        for record in self._shared.suspects.on_records(records, now_s):
            self._log.line(
                "suspect_told",
                fingerprint=f"{record.fingerprint:016x}",
                upstream=record.upstream,
                age_ms=record.age_ms,
            )

    def _check_silent_data_centres(self, now_s: float) -> None:
        """Probes an upstream of each data centre that has just gone silent.

        One of them tells whether it is cut off; the others are probed only if
        it is. A silence may come by chance, and each probe is a connection.
        """
        silent = self._peers.silent_data_centres(now_s)
        for data_centre in silent - self._silent_data_centres:
            self._log.line("data_centre_silent", silent=data_centre)
            self._probe_one(self._usable_in(data_centre))
        self._silent_data_centres = silent

    def may_be_partitioned(self, entry: UpstreamEntry) -> bool:
        """Whether an upstream that refuses may only be behind a cut.

        Two upstreams that crash within a second in one data centre are taken
        for a cut too: their requests are spared, which costs one more crash.
        One that has been away for longer tells nothing: where upstreams take
        minutes to start, no crash beside it would be held against anybody.
        """
        if entry.data_centre in self._silent_data_centres:
            return True
        since_s = self._clock() - PARTITION_DETECTION_S
        return self._reachability.has_lost(
            self._others_in_data_centre(entry), since_s
        )

    def on_upstream_unreachable(
        self, entry: UpstreamEntry, failure: ConnectFailure
    ) -> None:
        """Probes upstreams of a data centre that may be cut off.

        A refused connection is a crash mostly, so that one other upstream is
        asked; it refuses too where the network does. All are probed where the
        data centre is silent or a connection hung: in a cut, requests would
        wait at each of them in turn.
        """
        others = self._others_in_data_centre(entry)
        is_silent = entry.data_centre in self._silent_data_centres
        if failure is ConnectFailure.REFUSED and not is_silent:
            self._probe_one(others)
            return
        self._prober.check_all(self._reachable(others))

    def _probe_one(self, entries: Sequence[UpstreamEntry]) -> None:
        reachable = self._reachable(entries)
        if reachable:
            self._prober.check(self._rng.choice(reachable))

    def _reachable(
        self, entries: Sequence[UpstreamEntry]
    ) -> list[UpstreamEntry]:
        """Returns those that are not known to be away."""
        away = self._reachability.away(entries)
        return [entry for entry in entries if entry.incarnation not in away]

    def _others_in_data_centre(
        self, entry: UpstreamEntry
    ) -> list[UpstreamEntry]:
        return [
            other
            for other in self._usable_in(entry.data_centre)
            if other.incarnation != entry.incarnation
        ]

    def _usable_in(self, data_centre: str) -> list[UpstreamEntry]:
        """Returns the upstreams of a data centre that may get work."""
        return [
            entry
            for entry in self._in_force.fleet.all_usable(self._clock())
            if entry.data_centre == data_centre
        ]
