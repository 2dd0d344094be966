"""What a host and its peers tell each other, and what follows from silence."""

import asyncio
import random
from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import (
    CachedParts,
    Demand,
    Loads,
    Peers,
    Reachability,
    ReportRate,
    RetryBudget,
)
from hollyknot_coordination.suspects import SuspectRegister
from hollyknot_gateway._in_force import InForce
from hollyknot_gateway._log import Log
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._reports import (
    Report,
    ReportSocket,
    encode_report,
)
from hollyknot_state import Address, HostReport, UseReport
from hollyknot_state.routes import GatewaySettings, UpstreamEntry

REPORT_S = 0.1
"""Between two rounds of reports. Work in flight changes within tens of
milliseconds, and a report costs some tens of microseconds."""

WHOLE_EVERY = 6
"""One of so many short reports tells of all upstreams with work in flight; the
others only of those where prompts wait, which change the soonest."""

_INCARNATION_BITS = 62
"""Of the random number that tells a restarted host from the one before it."""


@attrs.frozen
class Shared:
    """What hosts tell each other of.

    Attributes:
        loads: Work in flight.
        demand: Prompt tokens that are sent.
        cached: Which upstream has which parts of prompts.
        suspects: Which requests may crash upstreams.
        budget: Retries, whose slack is divided among the hosts.
    """

    loads: Loads
    demand: Demand
    cached: CachedParts
    suspects: SuspectRegister
    budget: RetryBudget


class Neighbours:
    """The peers of one host, told and heard several times a second."""

    def __init__(
        self,
        settings: GatewaySettings,
        shared: Shared,
        in_force: InForce,
        reachability: Reachability,
        prober: Prober,
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
            log: Told of peers met and lost.
            rng: Chooses peers.
            clock: The loop's monotonic clock, in seconds.
        """
        self._settings = settings
        self._shared = shared
        self._in_force = in_force
        self._reachability = reachability
        self._prober = prober
        self._log = log
        self._clock = clock
        self._peers = Peers(
            settings.peers, settings.data_centre, settings.seeds, rng
        )
        self._socket = ReportSocket(self._take_report, log)
        self._incarnation = rng.getrandbits(_INCARNATION_BITS)
        self._sequence = 0
        self._rate = ReportRate()
        self._size = 0
        self._silent: frozenset[str] = frozenset()

    @property
    def count(self) -> int:
        """Peers that are heard."""
        return self._peers.count

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
            self._look_at_silence(now_s)
            self._tell(now_s)

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
        shared.demand.take(d for report in fresh for d in report.demands)
        shared.budget.set_hosts(self._peers.estimated + 1)

    def _changes(self, now_s: float, *, is_whole: bool) -> UseReport:
        shared = self._shared
        uses = shared.loads.uses()
        return UseReport(
            self._incarnation,
            self._sequence,
            uses if is_whole else tuple(use for use in uses if use.waiting),
            shared.demand.told(now_s) if is_whole else (),
            shared.suspects.records(now_s),
            shared.cached.told(now_s),
            is_whole,
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
        )

    def _take_report(self, report: Report) -> None:
        now = self._clock()
        self._shared.suspects.on_records(report.suspects, now)
        self._shared.cached.take(report.held, now)
        if isinstance(report, UseReport):
            self._peers.take_uses(report, now)
        elif self._peers.take(report, now):
            self._log.line(
                "peer_met", peer=report.host, data_centre=report.data_centre
            )

    def _look_at_silence(self, now_s: float) -> None:
        """Probes the upstreams of data centres that have just gone silent."""
        silent = self._peers.silent_data_centres(now_s)
        for data_centre in silent - self._silent:
            self._log.line("data_centre_silent", silent=data_centre)
            self._prober.check_all(
                entry
                for entry in self._in_force.fleet.all_usable(now_s)
                if entry.data_centre == data_centre
            )
        self._silent = silent

    def may_be_cut_off(self, entry: UpstreamEntry) -> bool:
        """Whether an upstream that refuses may only be behind a cut.

        Two upstreams that crash within a second in one data centre are taken
        for a cut too: their requests are spared, which costs one more crash.
        """
        if entry.data_centre in self._silent:
            return True
        return bool(self._reachability.away(self._beside(entry)))

    def check_beside(self, entry: UpstreamEntry) -> None:
        """Probes the upstreams of a data centre that one was lost in."""
        beside = self._beside(entry)
        known = self._reachability.away(beside)
        self._prober.check_all(
            other for other in beside if other.incarnation not in known
        )

    def _beside(self, entry: UpstreamEntry) -> list[UpstreamEntry]:
        return [
            other
            for other in self._in_force.fleet.all_usable(self._clock())
            if other.data_centre == entry.data_centre
            and other.incarnation != entry.incarnation
        ]
