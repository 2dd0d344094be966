"""Tests of what a host does about data centres that fall silent."""

import os
import random
from typing import cast

import attrs

from hollyknot_coordination.forwarding import (
    CachedParts,
    Demand,
    Forecasts,
    HostCount,
    Loads,
    NamedLimits,
    Reachability,
    UpstreamRegistry,
)
from hollyknot_coordination.suspects import SuspectOptions, SuspectRegister
from hollyknot_gateway._in_force import InForce
from hollyknot_gateway._log import Log
from hollyknot_gateway._neighbours import Neighbours, Shared
from hollyknot_gateway._pool import ConnectFailure
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._read_news import ReadNews
from hollyknot_state import Address, HostReport, ReadRevisions
from hollyknot_state.routes import GatewaySettings, UpstreamEntry

FAR = [
    UpstreamEntry(f"far-{n}", "s", Address("127.0.0.1", 100 + n), "far", 8)
    for n in range(6)
]
NEAR = UpstreamEntry("near-1", "s", Address("127.0.0.1", 99), "near", 8)


@attrs.define
class _Probes:
    """Notes which upstreams are probed."""

    names: list[str] = attrs.Factory(list)

    def check(self, entry: UpstreamEntry) -> None:
        """Notes one."""
        self.names.append(entry.name)

    def check_all(self, entries: list[UpstreamEntry]) -> None:
        """Notes some."""
        self.names += [entry.name for entry in entries]


class _Parts:
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
        fleet = UpstreamRegistry(1.0)
        for entry in (*FAR, NEAR):
            fleet.put(entry)
        self.now_s = 0.0
        self.probes = _Probes()
        self.reachability = Reachability()
        self.neighbours = Neighbours(
            settings,
            Shared(
                Loads(),
                Demand(),
                CachedParts(),
                Forecasts(),
                SuspectRegister(SuspectOptions()),
                HostCount(0.0, is_alone=True),
                NamedLimits(),
            ),
            InForce(fleet),
            self.reachability,
            cast(Prober, self.probes),
            ReadNews(ReadRevisions, lambda _: None),
            Log("a", "near", os.open(os.devnull, os.O_WRONLY)),
            random.Random(1),
            lambda: self.now_s,
        )

    def hear(self, until_s: float, every_s: float = 0.1) -> None:
        """Hears a host of the far data centre again and again."""
        sequence = 0
        while self.now_s < until_s:
            self.now_s += every_s
            sequence += 1
            report = HostReport(
                "b", 1, sequence, Address("127.0.0.1", 6), "far", 1
            )
            self.neighbours._take_report(report)
            self.look()

    def look(self) -> None:
        """Looks at silences, as is done ten times a second."""
        self.neighbours._look_at_silence(self.now_s)

    def away(self, entry: UpstreamEntry, failure: ConnectFailure) -> None:
        """Finds that an upstream can't be connected to."""
        self.reachability.failed(entry, self.now_s)
        self.neighbours.upstream_away(entry, failure)


class TestSilentDataCentre:
    """One upstream tells whether a silent data centre is cut off."""

    def test_one_upstream_is_probed(self) -> None:
        """A calm fleet opens more connections for probes than for requests.

        Sequence: hosts that hear few reports take a data centre to be silent
        by chance. Cause: each such alarm probed every upstream there.
        """
        parts = _Parts()
        parts.hear(until_s=3.0)
        parts.now_s += 1.0
        parts.look()
        parts.look()
        assert len(parts.probes.names) == 1
        assert parts.probes.names[0].startswith("far-")

    def test_the_others_are_probed_if_it_can_not_be_reached(self) -> None:
        parts = _Parts()
        parts.hear(until_s=3.0)
        parts.now_s += 1.0
        parts.look()
        (probed,) = parts.probes.names
        entry = next(entry for entry in FAR if entry.name == probed)
        parts.away(entry, ConnectFailure.REFUSED)
        assert sorted(parts.probes.names) == [e.name for e in FAR]

    def test_none_that_is_known_to_be_away(self) -> None:
        parts = _Parts()
        parts.hear(until_s=3.0)
        for entry in FAR:
            parts.reachability.failed(entry, parts.now_s)
        parts.now_s += 1.0
        parts.look()
        assert parts.probes.names == []


class TestUpstreamAway:
    """A cut shows at the upstreams beside one that was lost."""

    def test_one_that_hangs_has_all_beside_it_probed(self) -> None:
        parts = _Parts()
        parts.away(FAR[0], ConnectFailure.TIMEOUT)
        assert sorted(parts.probes.names) == [e.name for e in FAR[1:]]

    def test_one_that_refuses_has_one_beside_it_probed(self) -> None:
        """Innocent requests are refused after a cut in a large fleet.

        Sequence: a cut refuses connections; of a host's few requests one was
        in flight behind it. Cause: the data centre's silence shows only after
        seconds where its hosts report seldom, and a crash was judged before.
        """
        parts = _Parts()
        parts.away(FAR[0], ConnectFailure.REFUSED)
        (probed,) = parts.probes.names
        assert probed != FAR[0].name
        assert not parts.neighbours.may_be_cut_off(FAR[0])
        entry = next(entry for entry in FAR if entry.name == probed)
        parts.away(entry, ConnectFailure.REFUSED)
        assert parts.neighbours.may_be_cut_off(FAR[0])

    def test_one_that_is_long_away_hides_no_crash(self) -> None:
        """A request goes on crashing upstreams beside one that starts anew."""
        parts = _Parts()
        parts.away(FAR[1], ConnectFailure.REFUSED)
        parts.now_s += 5.0
        parts.away(FAR[0], ConnectFailure.REFUSED)
        assert not parts.neighbours.may_be_cut_off(FAR[0])


class TestAsks:
    """When a choice asks trackers instead of believing reports."""

    def test_not_while_peers_are_heard_often(self) -> None:
        parts = _Parts()
        parts.hear(until_s=5.0)
        assert not parts.neighbours.asks

    def test_where_a_peer_is_heard_seldom(self) -> None:
        parts = _Parts()
        parts.hear(until_s=30.0, every_s=2.0)
        assert parts.neighbours.asks

    def test_not_beyond_the_budget(self) -> None:
        """Streams of a burst fail late instead of being refused in time.

        Sequence: in a burst hosts spend their budget of bytes; they go on to
        choose, and to refuse, by the few upstreams that they would have asked
        for. Cause: what reports tell of just those is seconds old, so that
        they seemed to have room.
        """
        parts = _Parts()
        parts.hear(until_s=30.0, every_s=2.0)
        assert parts.neighbours.asks
        parts.neighbours._rate.spend_on_queries(1_000_000)
        assert not parts.neighbours.asks
