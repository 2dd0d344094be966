"""Puts together the reports that a host sends its peers."""

import random
from collections.abc import Callable, Collection

import attrs

from hollyknot_coordination.forwarding import (
    MIN_INTERVAL_TO_QUERY_S,
    CachedParts,
    CustomerShares,
    Demand,
    Forecasts,
    HostCount,
    LaneShares,
    Loads,
    NamedLimits,
    Peers,
    Permits,
    Speeds,
)
from hollyknot_coordination.suspects import LossRegister, Suspects
from hollyknot_gateway._revision_gossip import RevisionGossip
from hollyknot_gateway._routing_state import RoutingState
from hollyknot_state import HostReport, SuspectRecord, UseReport, short_name
from hollyknot_state.routes import GatewaySettings

MAX_SUSPECTS_IN_USE_REPORT = 4
MAX_SUSPECTS_IN_FULL_REPORT = 12
"""Most records of suspects in a report. They repair lost news and tell hosts
that have just started, for which random ones are enough."""


@attrs.frozen
class SharedState:
    """State of one host that its reports are made from and applied to.

    Attributes:
        loads: In-flight work at the upstreams.
        demand: Prompt tokens that hosts send per second, smoothed.
        cached: Prompt prefixes that each upstream has cached.
        forecasts: Expected durations of streams at the upstreams.
        speeds: How fast the upstreams prefill.
        lane_shares: Sizes of the lanes of upstreams.
        suspects: What may crash upstreams.
        host_count: Number of hosts among which bounds are shared.
        limits: Rate limits that upstreams have named in their answers.
        customers: Work that the customers offer, which answers tell.
        cut_off: Returns the services of which no upstream is reached.
        brittle: How many rejections upstreams can bear, by service.
    """

    loads: Loads
    demand: Demand
    cached: CachedParts
    forecasts: Forecasts
    speeds: Speeds
    lane_shares: LaneShares
    suspects: Suspects
    host_count: HostCount
    limits: NamedLimits
    customers: CustomerShares
    cut_off: Callable[[], Collection[str]] = frozenset
    brittle: NamedLimits = attrs.Factory(NamedLimits)


class ReportContents:
    """The contents of one host's reports, numbered within its incarnation.

    Attributes:
        takes_relays: Whether reports say that the host makes tries for others.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: int,
        shared: SharedState,
        in_force: RoutingState,
        peers: Peers,
        permits: Permits,
        directory_revisions: RevisionGossip,
        rng: random.Random,
    ) -> None:
        """Creates the contents of a host that has sent no report.

        Args:
            settings: The settings of this process.
            incarnation: Number that peers know this process by.
            shared: State that is exchanged with peers.
            in_force: Newest route table.
            peers: The peers, some of whose addresses are passed on.
            permits: Limits that upstreams have named, with their issuers.
            directory_revisions: The directory revisions that were read.
            rng: Chooses the records of suspects.
        """
        self._settings = settings
        self._incarnation = incarnation
        self._shared = shared
        self._routing_state = in_force
        self._peers = peers
        self._permits = permits
        self._directory_revisions = directory_revisions
        self._rng = rng
        self._sequence = 0
        self.takes_relays = False

    def next_sequence(self) -> int:
        """Returns the number of the next reports."""
        self._sequence += 1
        return self._sequence

    def use_report(self, now_s: float, *, is_whole: bool) -> UseReport:
        """Returns a use report.

        Args:
            now_s: Current time, in seconds.
            is_whole: Whether it covers all upstreams with work in flight.
        """
        shared = self._shared
        uses = shared.loads.uses()
        # If reports are rare, complete ones alone are too rare to divide the
        # upstreams between lanes.
        includes_demand = (
            is_whole or self._peers.interval_s >= MIN_INTERVAL_TO_QUERY_S
        )
        return UseReport(
            self._incarnation,
            self._sequence,
            uses if is_whole else tuple(use for use in uses if use.waiting),
            shared.demand.to_report(now_s) if includes_demand else (),
            self._some_records(
                shared.suspects.requests, now_s, MAX_SUSPECTS_IN_USE_REPORT
            )
            if is_whole
            else (),
            shared.cached.to_report(now_s),
            is_whole,
            self._directory_revisions.to_report(now_s, is_whole=is_whole),
            self._permits.to_report(now_s, is_all=is_whole),
            shared.lane_shares.to_tell(now_s, only_news=not is_whole),
            self._cut_off(),
            shared.brittle.to_report(now_s, is_all=is_whole),
            self._some_records(
                shared.suspects.parts, now_s, MAX_SUSPECTS_IN_USE_REPORT
            )
            if is_whole
            else (),
            shared.suspects.parts.convictions(MAX_SUSPECTS_IN_USE_REPORT, now_s)
            if is_whole
            else (),
        )

    def full_report(self, now_s: float) -> HostReport:
        """Returns a full report."""
        index = self._routing_state.index
        use_report = self.use_report(now_s, is_whole=True)
        return HostReport(
            host=self._settings.host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            address=self._settings.peers,
            data_centre=self._settings.data_centre,
            table_version=index.table.version if index is not None else 0,
            uses=use_report.uses,
            demands=use_report.demands,
            suspects=self._some_records(
                self._shared.suspects.requests,
                now_s,
                MAX_SUSPECTS_IN_FULL_REPORT,
            ),
            contacts=self._peers.contacts(),
            held=use_report.held,
            revisions=self._directory_revisions.read,
            limits=use_report.limits,
            takes_relays=self.takes_relays or None,
            cut_off=use_report.cut_off,
            brittle=use_report.brittle,
            parts=self._some_records(
                self._shared.suspects.parts, now_s, MAX_SUSPECTS_IN_FULL_REPORT
            ),
            crashing_parts=self._shared.suspects.parts.convictions(
                MAX_SUSPECTS_IN_FULL_REPORT, now_s
            ),
        )

    def _some_records(
        self, register: LossRegister, now_s: float, most: int
    ) -> tuple[SuspectRecord, ...]:
        """Returns records for a report, those of repeated losses first."""
        records = list(register.records(now_s))
        self._rng.shuffle(records)
        records.sort(
            key=lambda r: not register.is_repeated(r.fingerprint, now_s)
        )
        return tuple(records[:most])

    def _cut_off(self) -> tuple[int, ...]:
        return tuple(sorted(map(short_name, self._shared.cut_off())))
