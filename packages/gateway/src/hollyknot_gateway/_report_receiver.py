"""Applies the reports of peers to what a host knows."""

from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import Peers, Permits
from hollyknot_gateway._awaited_routes import AwaitedRoutes
from hollyknot_gateway._log import Log
from hollyknot_gateway._report_contents import SharedState
from hollyknot_gateway._reports import Report
from hollyknot_gateway._revision_gossip import RevisionGossip
from hollyknot_gateway._suspect_exchange import SuspectExchange
from hollyknot_state import HostReport, UseReport


class ReportReceiver:
    """Hands each part of a report to the component that it is for."""

    def __init__(
        self,
        shared: SharedState,
        peers: Peers,
        permits: Permits,
        suspects: SuspectExchange,
        directory_revisions: RevisionGossip,
        awaited_routes: AwaitedRoutes,
        is_informed: Callable[[], bool],
        log: Log,
    ) -> None:
        """Builds the receiver of one host.

        Args:
            shared: State that is exchanged with peers.
            peers: The peers that send reports.
            permits: Told the rate limits of upstreams.
            suspects: Told what may crash upstreams.
            directory_revisions: Told what peers have read of the directory.
            awaited_routes: Told the versions of the peers' routes.
            is_informed: Whether this host knows what its peers know. Until
                then it may have to wait for their routes.
            log: Logs new peers and what they tell.
        """
        self._shared = shared
        self._peers = peers
        self._permits = permits
        self._suspects = suspects
        self._directory_revisions = directory_revisions
        self._awaited_routes = awaited_routes
        self._is_informed = is_informed
        self._log = log

    def handle(self, report: Report, now_s: float) -> None:
        """Applies a report that was received now."""
        self._suspects.on_report(report)
        self._shared.cached.apply_reported(report.held, now_s)
        self._apply_limits(report, now_s)
        if report.revisions is not None:
            self._directory_revisions.on_peer_read(report.revisions)
        if isinstance(report, HostReport) and not self._is_informed():
            self._awaited_routes.on_report(report, now_s)
        if isinstance(report, UseReport):
            self._shared.lane_shares.apply_told(report.lane_shares, now_s)
            self._peers.apply_use_report(report, now_s)
        elif self._peers.apply_report(report, now_s):
            self._log.line(
                "peer_met",
                peer=report.host,
                data_centre=report.data_centre,
                suspects=len(report.suspects),
                parts=len(report.parts),
            )

    def _apply_limits(self, report: Report, now_s: float) -> None:
        for limit in self._permits.apply_reported(report.limits, now_s):
            self._log.line(
                "limit_told", upstream=limit.upstream, rate=limit.rate
            )
        brittle = self._shared.brittle
        for service in brittle.apply_reported(report.brittle, now_s):
            self._log.line(
                "brittle_told",
                service=service.upstream,
                rejections=service.rate,
            )


def without_ages(report: Report) -> Report:
    """Returns a report without what is as old as it says when it is sent."""
    if isinstance(report, UseReport):
        report = attrs.evolve(report, lane_shares=())
    return attrs.evolve(
        report,
        suspects=(),
        parts=(),
        crashing_parts=(),
        limits=(),
        brittle=(),
    )
