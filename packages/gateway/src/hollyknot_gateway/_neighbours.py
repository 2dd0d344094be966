"""What a host and its peers tell each other, and what follows from silence."""

import asyncio
import random
from collections.abc import Callable, Sequence

import attrs

from hollyknot_coordination.forwarding import (
    MIN_INTERVAL_TO_NOTE_S,
    MIN_INTERVAL_TO_QUERY_S,
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
from hollyknot_gateway._read_news import ReadNews
from hollyknot_gateway._reports import (
    Message,
    PermitMessage,
    Report,
    ReportSocket,
    encode_news,
    encode_report,
)
from hollyknot_state import (
    Address,
    HostReport,
    SuspectNews,
    SuspectRecord,
    UseReport,
)
from hollyknot_state.routes import GatewaySettings, UpstreamEntry

REPORT_S = 0.1
"""Between two rounds of reports. Work in flight changes within tens of
milliseconds, and a report costs some tens of microseconds."""

WHOLE_EVERY = 6
"""One of so many short reports tells of all upstreams with work in flight; the
others only of those where prompts wait, which change the soonest."""

NEWS_TARGETS = 5
"""Peers to which each host passes on new evidence of a crash, once: all hosts
but one in a hundred then have it after a few rounds, however many they are."""

CUT_SPREAD_S = 1.5
"""Within which upstreams behind one cut are found to be away, one by one."""

_INCARNATION_BITS = 62
"""Of the random number that tells a restarted host from the one before it."""


@attrs.frozen
class Shared:
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
    size: FleetSize
    limits: NamedLimits


class Neighbours:
    """The peers of one host, told and heard several times a second."""

    def __init__(
        self,
        settings: GatewaySettings,
        shared: Shared,
        in_force: InForce,
        reachability: Reachability,
        prober: Prober,
        news: ReadNews,
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
        self._news = news
        self._log = log
        self._rng = rng
        self._clock = clock
        self._peers = Peers(
            settings.peers, settings.data_centre, settings.seeds, rng
        )
        self._socket = ReportSocket(self._take, log)
        self._incarnation = rng.getrandbits(_INCARNATION_BITS)
        self._sequence = 0
        self._rate = ReportRate()
        self._size = 0
        own = Tracker(self._incarnation, settings.peers, settings.data_centre)
        trackers = Trackers(own, lambda: self._peers.hosts)
        self._permits = Permits(
            trackers,
            shared.size,
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
        shared.loads.on_change = self._note_soon
        self._silent: frozenset[str] = frozenset()

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
    def asks(self) -> bool:
        """Whether a choice had better ask trackers than believe reports.

        It had where reports come seldom, as long as the budget allows.
        """
        is_old = self._peers.interval_s >= MIN_INTERVAL_TO_QUERY_S
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
            await asyncio.sleep(REPORT_S)
            now_s = self._clock()
            self._count(now_s)
            self._note_soon()
            self._look_at_silence(now_s)
            self._pass_on(now_s)
            self._tell(now_s)

    def _pass_on(self, now_s: float) -> None:
        """Passes on new evidence of crashes, before anything else is told.

        Where bytes are short, only that against requests that were in more
        than one crash: an upstream that crashes takes many with it.
        """
        suspects = self._shared.suspects
        news = suspects.take_news(now_s)
        if news and not self._rate.affordable(self._size, now_s):
            news = tuple(r for r in news if suspects.is_repeated(r.fingerprint))
        if not news:
            return
        addresses = [host.address for host in self._peers.hosts]
        most = min(NEWS_TARGETS, len(addresses))
        self._send(encode_news(news), self._rng.sample(addresses, most))

    def _tell(self, now_s: float) -> None:
        """Sends as many reports as the budget of bytes allows."""
        if not self._rate.affordable(self._size, now_s):
            return
        self._sequence += 1
        is_whole = self._sequence % WHOLE_EVERY == 0
        data = encode_report(self._changes(now_s, is_whole=is_whole))
        self._size = len(data)
        most = self._rate.affordable(self._size, now_s)
        targets = self._peers.targets(now_s, most)
        detailed = [t for t in targets if self._peers.wants_details(t, now_s)]
        brief = [target for target in targets if target not in detailed]
        self._send(data, brief)
        if detailed:
            self._send(encode_report(self._own_report(now_s)), detailed)

    def _send(self, data: bytes, targets: list[Address]) -> None:
        self._socket.send(data, targets)
        self._rate.spend(len(data) * len(targets))

    def _count(self, now_s: float) -> None:
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
        shared.size.set(
            self.hosts, self.count + 1, now_s, self._peers.by_centre
        )

    def _changes(self, now_s: float, *, is_whole: bool) -> UseReport:
        shared = self._shared
        uses = shared.loads.uses()
        # Where reports come seldom, whole ones come too seldom for the lanes.
        tells_demand = (
            is_whole or self._peers.interval_s >= MIN_INTERVAL_TO_QUERY_S
        )
        return UseReport(
            self._incarnation,
            self._sequence,
            uses if is_whole else tuple(use for use in uses if use.waiting),
            shared.demand.told(now_s) if tells_demand else (),
            shared.suspects.records(now_s),
            shared.cached.told(now_s),
            is_whole,
            self._news.told(now_s, is_whole=is_whole),
            self._permits.told(now_s, is_all=is_whole),
        )

    def _own_report(self, now_s: float) -> HostReport:
        index = self._in_force.index
        changes = self._changes(now_s, is_whole=True)
        return HostReport(
            host=self._settings.host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            address=self._settings.peers,
            data_centre=self._settings.data_centre,
            table_version=index.table.version if index is not None else 0,
            uses=changes.uses,
            demands=changes.demands,
            suspects=changes.suspects,
            contacts=self._peers.contacts(),
            held=changes.held,
            revisions=self._news.read,
            limits=changes.limits,
        )

    def _note_soon(self) -> None:
        if self._peers.interval_s >= MIN_INTERVAL_TO_NOTE_S:
            self._inquirer.tell_soon()
        else:
            # Nobody asks; the names of all upstreams would pile up.
            self._shared.loads.take_changed()

    def _take(self, message: Message, sender: Address) -> None:
        if isinstance(message, HostReport | UseReport):
            self._take_report(message)
        elif isinstance(message, PermitMessage):
            self._permit_requester.take(message, sender)
        elif isinstance(message, SuspectNews):
            self._take_suspects(message.suspects, self._clock())
        else:
            self._inquirer.take(message, sender)

    def _take_report(self, report: Report) -> None:
        now = self._clock()
        self._take_suspects(report.suspects, now)
        self._shared.cached.take(report.held, now)
        for limit in self._permits.take(report.limits, now):
            self._log.line(
                "limit_told", upstream=limit.upstream, rate=limit.rate
            )
        if report.revisions is not None:
            self._news.take(report.revisions)
        if isinstance(report, UseReport):
            self._peers.take_uses(report, now)
        elif self._peers.take(report, now):
            self._log.line(
                "peer_met", peer=report.host, data_centre=report.data_centre
            )

    def _take_suspects(
        self, records: tuple[SuspectRecord, ...], now_s: float
    ) -> None:
        for record in self._shared.suspects.on_records(records, now_s):
            self._log.line(
                "suspect_told",
                fingerprint=f"{record.fingerprint:016x}",
                upstream=record.upstream,
                age_ms=record.age_ms,
            )

    def _look_at_silence(self, now_s: float) -> None:
        """Probes an upstream of each data centre that has just gone silent.

        One of them tells whether it is cut off; the others are probed only if
        it is. A silence may come by chance, and each probe is a connection.
        """
        silent = self._peers.silent_data_centres(now_s)
        for data_centre in silent - self._silent:
            self._log.line("data_centre_silent", silent=data_centre)
            self._probe_one(self._in(data_centre))
        self._silent = silent

    def may_be_cut_off(self, entry: UpstreamEntry) -> bool:
        """Whether an upstream that refuses may only be behind a cut.

        Two upstreams that crash within a second in one data centre are taken
        for a cut too: their requests are spared, which costs one more crash.
        One that has been away for longer tells nothing: where upstreams take
        minutes to start, no crash beside it would be held against anybody.
        """
        if entry.data_centre in self._silent:
            return True
        since_s = self._clock() - CUT_SPREAD_S
        return self._reachability.has_lost(self._beside(entry), since_s)

    def upstream_away(
        self, entry: UpstreamEntry, failure: ConnectFailure
    ) -> None:
        """Probes upstreams of a data centre that may be cut off.

        A refused connection is a crash mostly, so that one other upstream is
        asked; it refuses too where the network does. All are probed where the
        data centre is silent or a connection hung: in a cut, requests would
        wait at each of them in turn.
        """
        beside = self._beside(entry)
        is_silent = entry.data_centre in self._silent
        if failure is ConnectFailure.REFUSED and not is_silent:
            self._probe_one(beside)
            return
        self._prober.check_all(self._reachable(beside))

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

    def _beside(self, entry: UpstreamEntry) -> list[UpstreamEntry]:
        return [
            other
            for other in self._in(entry.data_centre)
            if other.incarnation != entry.incarnation
        ]

    def _in(self, data_centre: str) -> list[UpstreamEntry]:
        """Returns the upstreams of a data centre that may get work."""
        return [
            entry
            for entry in self._in_force.fleet.all_usable(self._clock())
            if entry.data_centre == data_centre
        ]
