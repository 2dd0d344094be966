"""Tests of what a host does about data centres that fall silent."""

import os
import random
from typing import cast

import attrs

from hollyknot_coordination.forwarding import (
    CachedParts,
    Demand,
    Fleet,
    FleetSize,
    Forecasts,
    Loads,
    NamedLimits,
    Reachability,
)
from hollyknot_coordination.suspects import SuspectOptions, SuspectRegister
from hollyknot_gateway._in_force import InForce
from hollyknot_gateway._log import Log
from hollyknot_gateway._neighbours import Neighbours, SharedState
from hollyknot_gateway._pool import ConnectFailure
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._revision_gossip import RevisionGossip
from hollyknot_state import Address, HostReport, ReadRevisions
from hollyknot_state.routes import GatewaySettings, UpstreamEntry

FAR = [
    UpstreamEntry(f"far-{n}", "s", Address("127.0.0.1", 100 + n), "far", 8)
    for n in range(6)
]
NEAR = UpstreamEntry("near-1", "s", Address("127.0.0.1", 99), "near", 8)


@attrs.define
class _RecordingProber:
    """Notes which upstreams are probed."""

    names: list[str] = attrs.Factory(list)

    def check(self, entry: UpstreamEntry) -> None:
        """Notes one."""
        self.names.append(entry.name)

    def check_all(self, entries: list[UpstreamEntry]) -> None:
        """Notes some."""
        self.names += [entry.name for entry in entries]


class _HostParts:
    """One host's neighbours, with probes that are only noted."""

    def __init__(self) -> None:
        settings = GatewaySettings(
            host="a",
            data_centre="near",
            callers=Address("127.0.0.1", 1),
            readiness=Address("127.0.0.1", 2),
            peers=Address("127.0.0.1", 3),
            directory=Address("127.0.0.1", 4),
        )
        fleet = Fleet(1.0)
        for entry in (*FAR, NEAR):
            fleet.put(entry)
        self.now_s = 0.0
        self.prober = _RecordingProber()
        self.reachability = Reachability()
        self.neighbours = Neighbours(
            settings,
            SharedState(
                Loads(),
                Demand(),
                CachedParts(),
                Forecasts(),
                SuspectRegister(SuspectOptions()),
                FleetSize(0.0, is_alone=True),
                NamedLimits(),
            ),
            InForce(fleet),
            self.reachability,
            cast(Prober, self.prober),
            RevisionGossip(ReadRevisions, lambda _: None),
            Log("a", "near", os.open(os.devnull, os.O_WRONLY)),
            random.Random(1),
            lambda: self.now_s,
        )

    def receive_reports(self, until_s: float, every_s: float = 0.1) -> None:
        """Hears a host of the far data centre again and again."""
        sequence = 0
        while self.now_s < until_s:
            self.now_s += every_s
            sequence += 1
            report = HostReport(
                "b", 1, sequence, Address("127.0.0.1", 6), "far", 1
            )
            self.neighbours._handle_report(report)
            self.check_silence()

    def check_silence(self) -> None:
        """Looks at silences, as is done ten times a second."""
        self.neighbours._check_silent_data_centres(self.now_s)

    def make_unreachable(
        self, entry: UpstreamEntry, failure: ConnectFailure
    ) -> None:
        """Finds that an upstream can't be connected to."""
        self.reachability.failed(entry, self.now_s)
        self.neighbours.on_upstream_unreachable(entry, failure)


class TestSilentDataCentre:
    """One upstream tells whether a silent data centre is cut off."""

    def test_silent_data_centre_costs_one_probe(self) -> None:
        """A calm fleet opens more connections for probes than for requests.

        Sequence: hosts that hear few reports take a data centre to be silent
        by chance. Cause: each such alarm probed every upstream there.
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
    """A cut shows at the upstreams beside one that was lost."""

    def test_hanging_connection_probes_all_others(self) -> None:
        parts = _HostParts()
        parts.make_unreachable(FAR[0], ConnectFailure.TIMEOUT)
        assert sorted(parts.prober.names) == [e.name for e in FAR[1:]]

    def test_refused_connection_probes_one_other(self) -> None:
        """Innocent requests are refused after a cut in a large fleet.

        Sequence: a cut refuses connections; of a host's few requests one was
        in flight behind it. Cause: the data centre's silence shows only after
        seconds where its hosts report seldom, and a crash was judged before.
        """
        parts = _HostParts()
        parts.make_unreachable(FAR[0], ConnectFailure.REFUSED)
        (probed,) = parts.prober.names
        assert probed != FAR[0].name
        assert not parts.neighbours.may_be_partitioned(FAR[0])
        entry = next(entry for entry in FAR if entry.name == probed)
        parts.make_unreachable(entry, ConnectFailure.REFUSED)
        assert parts.neighbours.may_be_partitioned(FAR[0])

    def test_long_unreachable_upstream_hides_no_crash(self) -> None:
        """A request goes on crashing upstreams beside one that starts anew."""
        parts = _HostParts()
        parts.make_unreachable(FAR[1], ConnectFailure.REFUSED)
        parts.now_s += 5.0
        parts.make_unreachable(FAR[0], ConnectFailure.REFUSED)
        assert not parts.neighbours.may_be_partitioned(FAR[0])


class TestShouldQueryTrackers:
    """When a choice asks trackers instead of believing reports."""

    def test_does_not_query_if_reports_are_frequent(self) -> None:
        parts = _HostParts()
        parts.receive_reports(until_s=5.0)
        assert not parts.neighbours.should_query_trackers

    def test_queries_if_reports_are_rare(self) -> None:
        parts = _HostParts()
        parts.receive_reports(until_s=30.0, every_s=2.0)
        assert parts.neighbours.should_query_trackers

    def test_does_not_query_beyond_byte_budget(self) -> None:
        """Streams of a burst fail late instead of being refused in time.

        Sequence: in a burst hosts spend their budget of bytes; they go on to
        choose, and to refuse, by the few upstreams that they would have asked
        for. Cause: what reports tell of just those is seconds old, so that
        they seemed to have room.
        """
        parts = _HostParts()
        parts.receive_reports(until_s=30.0, every_s=2.0)
        assert parts.neighbours.should_query_trackers
        parts.neighbours._rate.spend_on_queries(1_000_000)
        assert not parts.neighbours.should_query_trackers
