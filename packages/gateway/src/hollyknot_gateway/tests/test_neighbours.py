"""Tests how a host probes data centres and when it queries trackers."""

import os
import random
from typing import cast

import attrs

from hollyknot_coordination.forwarding import (
    CachedParts,
    CustomerShares,
    Demand,
    Forecasts,
    HostCount,
    LaneShares,
    Loads,
    NamedLimits,
    Reachability,
    Speeds,
    UpstreamRegistry,
)
from hollyknot_coordination.suspects import Suspects
from hollyknot_gateway._log import Log
from hollyknot_gateway._metrics import Metrics
from hollyknot_gateway._neighbours import Neighbours
from hollyknot_gateway._partition_detector import PartitionDetector
from hollyknot_gateway._pool import ConnectFailure
from hollyknot_gateway._ports import read_no_parts
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._report_contents import SharedState
from hollyknot_gateway._revision_gossip import RevisionGossip
from hollyknot_gateway._routing_state import RoutingState
from hollyknot_state import Address, HostReport, ReadRevisions
from hollyknot_state.routes import GatewaySettings, UpstreamEntry

FAR = [
    UpstreamEntry(f"far-{n}", "s", Address("127.0.0.1", 100 + n), "far", 8)
    for n in range(6)
]
NEAR = UpstreamEntry("near-1", "s", Address("127.0.0.1", 99), "near", 8)


@attrs.define
class _RecordingProber:
    """Records which upstreams are probed."""

    names: list[str] = attrs.Factory(list)

    def check(self, entry: UpstreamEntry) -> None:
        """Records the probe of one upstream."""
        self.names.append(entry.name)

    def check_all(self, entries: list[UpstreamEntry]) -> None:
        """Records the probes of several upstreams."""
        self.names += [entry.name for entry in entries]


class _HostParts:
    """One host's exchange with its peers; probes are only recorded."""

    def __init__(self) -> None:
        settings = GatewaySettings(
            host="a",
            data_centre="near",
            callers=Address("127.0.0.1", 1),
            readiness=Address("127.0.0.1", 2),
            peers=Address("127.0.0.1", 3),
            directory=Address("127.0.0.1", 4),
        )
        registry = UpstreamRegistry(1.0)
        for entry in (*FAR, NEAR):
            registry.put(entry)
        self.now_s = 0.0
        self.prober = _RecordingProber()
        self.reachability = Reachability()
        log = Log("a", "near", os.open(os.devnull, os.O_WRONLY))
        self.partitions = PartitionDetector(
            registry,
            self.reachability,
            cast(Prober, self.prober),
            log,
            random.Random(1),
            lambda: self.now_s,
        )
        self.neighbours = Neighbours(
            settings,
            SharedState(
                Loads(),
                Demand(),
                CachedParts(),
                Forecasts(),
                Speeds(),
                LaneShares(1),
                Suspects(),
                HostCount(0.0, is_alone=True),
                NamedLimits(),
                CustomerShares(HostCount(0.0, is_alone=True)),
            ),
            RoutingState(registry),
            self.partitions,
            RevisionGossip(ReadRevisions, lambda _: None),
            read_no_parts,
            Metrics(),
            log,
            random.Random(1),
            lambda: self.now_s,
        )

    def receive_reports(self, until_s: float, every_s: float = 0.1) -> None:
        """Receives reports of a host in the far data centre until a time."""
        sequence = 0
        while self.now_s < until_s:
            self.now_s += every_s
            sequence += 1
            report = HostReport(
                "b", 1, sequence, Address("127.0.0.1", 6), "far", 1
            )
            self.neighbours._report_receiver.handle(report, self.now_s)
            self.check_silence()

    def check_silence(self) -> None:
        """Checks for silent data centres, as hosts do ten times a second."""
        silent = self.neighbours._peers.silent_data_centres(self.now_s)
        self.partitions.set_silent(silent)

    def make_unreachable(
        self, entry: UpstreamEntry, failure: ConnectFailure
    ) -> None:
        """Reports that a connection attempt to an upstream failed."""
        self.reachability.failed(entry, self.now_s)
        self.partitions.on_upstream_unreachable(entry, failure)


class TestSilentDataCentre:
    """One upstream shows whether a silent data centre is partitioned."""

    def test_silent_data_centre_costs_one_probe(self) -> None:
        """Guards against an idle fleet with more probes than requests.

        Hosts that receive few reports consider a data centre silent by chance.
        If each such alarm probes every upstream there, probes open more
        connections than requests do.
        """
        parts = _HostParts()
        parts.receive_reports(until_s=3.0)
        parts.now_s += 1.0
        parts.check_silence()
        parts.check_silence()
        assert len(parts.prober.names) == 1
        assert parts.prober.names[0].startswith("far-")

    def test_probes_others_if_first_is_unreachable(self) -> None:
        parts = _HostParts()
        parts.receive_reports(until_s=3.0)
        parts.now_s += 1.0
        parts.check_silence()
        (probed,) = parts.prober.names
        entry = next(entry for entry in FAR if entry.name == probed)
        parts.make_unreachable(entry, ConnectFailure.REFUSED)
        assert sorted(parts.prober.names) == [e.name for e in FAR]

    def test_does_not_probe_known_unreachable_upstreams(self) -> None:
        parts = _HostParts()
        parts.receive_reports(until_s=3.0)
        for entry in FAR:
            parts.reachability.failed(entry, parts.now_s)
        parts.now_s += 1.0
        parts.check_silence()
        assert parts.prober.names == []


class TestUnreachableUpstream:
    """Other upstreams of a data centre show whether it is partitioned."""

    def test_hanging_connection_probes_all_others(self) -> None:
        parts = _HostParts()
        parts.make_unreachable(FAR[0], ConnectFailure.TIMEOUT)
        assert sorted(parts.prober.names) == [e.name for e in FAR[1:]]

    def test_refused_connection_probes_one_other(self) -> None:
        """Guards against refusing harmless requests after a partition.

        In a large fleet, where hosts report rarely, the silence of a data
        centre shows only after seconds. If the partition refuses connections, a
        host with just one request in flight there would take its loss for a
        crash before.
        """
        parts = _HostParts()
        parts.make_unreachable(FAR[0], ConnectFailure.REFUSED)
        (probed,) = parts.prober.names
        assert probed != FAR[0].name
        assert parts.partitions.sign(FAR[0]) == ""
        entry = next(entry for entry in FAR if entry.name == probed)
        parts.make_unreachable(entry, ConnectFailure.REFUSED)
        assert parts.partitions.sign(FAR[0]) == probed

    def test_long_unreachable_upstream_hides_no_crash(self) -> None:
        """Guards against more crashes by one request while an upstream starts.

        If an upstream that has been unreachable for long counted as the sign of
        a partition, no crash in its data centre would be blamed on a request.
        """
        parts = _HostParts()
        parts.make_unreachable(FAR[1], ConnectFailure.REFUSED)
        parts.now_s += 5.0
        parts.make_unreachable(FAR[0], ConnectFailure.REFUSED)
        assert parts.partitions.sign(FAR[0]) == ""


class TestShouldQueryTrackers:
    """Hosts query trackers when reports are rare and the budget allows."""

    def test_does_not_query_if_reports_are_frequent(self) -> None:
        parts = _HostParts()
        parts.receive_reports(until_s=5.0)
        assert not parts.neighbours.should_query_trackers(0.0)

    def test_queries_if_reports_are_rare(self) -> None:
        parts = _HostParts()
        parts.receive_reports(until_s=30.0, every_s=2.0)
        assert parts.neighbours.should_query_trackers(0.0)

    def test_does_not_query_beyond_byte_budget(self) -> None:
        """Guards against streams of a burst that fail late, not shed in time.

        In a burst, hosts use up their byte budget for queries. If they go on to
        place and shed requests by the shortlist that queries are for, they know
        those few upstreams only from reports that are seconds old, by which
        there seems to be room.
        """
        parts = _HostParts()
        parts.receive_reports(until_s=30.0, every_s=2.0)
        assert parts.neighbours.should_query_trackers(0.0)
        parts.neighbours._rate.spend_on_queries(1_000_000)
        assert not parts.neighbours.should_query_trackers(0.0)

    def test_sizer_queries_beyond_its_byte_budget(self) -> None:
        """Guards against lanes that nobody sizes in a burst."""
        parts = _HostParts()
        parts.receive_reports(until_s=30.0, every_s=2.0)
        parts.neighbours._rate.spend_on_queries(1_000_000)
        shares = parts.neighbours._shared.lane_shares
        shares.publish("engines", 0.5, parts.now_s)
        assert parts.neighbours.should_query_trackers(0.5)
