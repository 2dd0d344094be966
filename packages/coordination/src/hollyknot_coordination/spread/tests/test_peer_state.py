"""Tests how documents spread between hosts and how hosts catch up."""

from unittest.mock import ANY

import orjson
import pytest

from hollyknot_coordination.spread import Reject
from hollyknot_coordination.spread.tests.network import (
    DECLARATIONS,
    HOSTS,
    ONE_CENTRE,
    TWO_CENTRES,
    in_force,
    make_network,
    make_state,
    publish,
)
from hollyknot_state import (
    DocumentVersion,
    Gossip,
)


class TestSpread:
    """Tests that documents reach all hosts and few hosts read the platform."""

    def test_a_change_comes_in_force_on_all_hosts(self) -> None:
        network = make_network(TWO_CENTRES)
        assert in_force(network) == {5}
        assert all(n.state.is_ready for n in network.nodes.values())
        publish(network, 6)
        network.run(8)
        assert in_force(network) == {6}

    def test_three_hosts_of_a_data_centre_read(self) -> None:
        network = make_network(TWO_CENTRES)
        reading = [n for n in network.nodes.values() if n.polled]
        assert sorted(n.data_centre for n in reading) == list("aaabbb")
        assert all(n.polled == {DECLARATIONS, HOSTS} for n in reading)

    def test_a_change_is_read_by_few_of_the_readers(self) -> None:
        """Ten changes must cost far fewer bodies than the sixty of watches.

        With watches, each of the six readers would read each body.
        """
        network = make_network(TWO_CENTRES)
        network.platform.bodies = 0
        for version in range(6, 16):
            publish(network, version)
            network.run(4)
        assert in_force(network) == {15}
        assert network.platform.bodies <= 20

    def test_crashed_readers_are_replaced(self) -> None:
        """A data centre must get changes after all its readers crash at once.

        The host list still contains them. If readers were chosen from the list
        alone, no other host would read.
        """
        hosts = {f"h{i}": "a" for i in range(16)}
        network = make_network(hosts)
        readers = network.nodes["h0"].state.readers
        for name in readers:
            del network.nodes[name]
        network.run(20)
        publish(network, 6)
        network.run(8)
        assert in_force(network) == {6}

    def test_data_centre_cut_off_from_platform_gets_changes(self) -> None:
        """A data centre that cannot reach the platform must get changes.

        The other data centre can reach it, so gossip must cross data centres.
        """
        network = make_network(TWO_CENTRES)
        network.is_platform_cut = lambda host: TWO_CENTRES[host] == "b"
        publish(network, 6)
        network.run(8)
        assert in_force(network) == {6}

    def test_partitioned_data_centre_catches_up(self) -> None:
        """A data centre must not stay at an old version after a partition.

        It reached neither the platform nor the other data centre while a
        change was announced; then only the other data centre is reachable
        again. It would stay at the old version if a change were announced only
        once.
        """
        network = make_network(TWO_CENTRES)
        network.is_platform_cut = lambda host: TWO_CENTRES[host] == "b"
        network.is_cut = lambda a, b: TWO_CENTRES[a] != TWO_CENTRES[b]
        publish(network, 6)
        network.run(8)
        assert in_force(network) == {5, 6}
        network.is_cut = lambda _a, _b: False
        network.run(8)
        assert in_force(network) == {6}


class TestVersionsOnlyRise:
    """Tests that versions in force only rise and are valid."""

    def test_a_restored_platform_changes_nothing(self) -> None:
        """A withdrawn setting must not come back in force.

        The platform is restored from a copy: it offers version 5 after 7, then
        publishes a different 6. Hosts must ignore versions below theirs.
        """
        network = make_network(ONE_CENTRE)
        network.platform.ignores_after = True
        publish(network, 7)
        network.run(8)
        publish(network, 5)
        network.run(8)
        publish(network, 6, models={})
        new = network.add("new", "a")
        network.platform.publish_hosts(2, {**ONE_CENTRE, "new": "a"})
        network.run(15)
        assert in_force(network) == {7}
        assert [v for d, v in new.applied if d is DECLARATIONS][-1] == 7
        assert new.held_at_ready[DECLARATIONS] == 7

    def test_an_invalid_version_is_spread_no_further(self) -> None:
        """Only hosts that read the platform may see an invalid version.

        Operators publish a version that the check rejects, then a valid one.
        If a version were announced before its check, all hosts would fetch and
        reject it, or even apply it.
        """
        network = make_network(ONE_CENTRE)
        publish(network, 6, invalid=True)
        network.run(15)
        rejecting = {
            n.name
            for n in network.nodes.values()
            if any(isinstance(r, Reject) for r in n.reports)
        }
        assert in_force(network) == {5}
        assert rejecting == {n.name for n in network.nodes.values() if n.polled}
        assert network.platform.bodies <= 2 * 6 + len(rejecting)
        publish(network, 7)
        network.run(8)
        assert in_force(network) == {7}

    def test_a_good_version_below_a_rejected_one_is_taken(self) -> None:
        """A host must not stay at 5 while its peers have 6 in force.

        It reads the invalid 7 before it receives an announcement of 6. A
        rejected version must not count as in force.
        """
        network = make_network(ONE_CENTRE)
        network.is_cut = lambda a, b: "h0" in (a, b)
        network.is_platform_cut = lambda host: host == "h0"
        publish(network, 6)
        network.run(8)
        network.is_platform_cut = lambda _host: False
        network.platform.documents[DECLARATIONS] = (7, b"{")
        network.run(15)
        refused = Reject(DECLARATIONS, 7, ANY)
        assert refused in network.nodes["h0"].reports
        network.is_cut = lambda _a, _b: False
        network.run(30)
        assert in_force(network) == {6}


class TestNewHost:
    """Tests that a new host serves once caught up, and is never stuck."""

    def test_waits_for_three_peers_or_ten_seconds(self) -> None:
        """A new host must not serve with outdated declarations.

        It reads both documents from a platform that was restored to an older
        copy, before any peer has announced a version to it. It must not
        conclude that its versions are the newest before peers announced theirs.
        """
        entries = [{"name": f"h{i}", "dc": "a"} for i in range(5)]
        for heard, ready_s in ((0, 10.0), (2, 10.0), (3, 0.0)):
            state = make_state("h0", (5,))
            body = orjson.dumps({"revision": 1, "entries": entries})
            state.on_platform_document(HOSTS, 1, body, 0.0)
            for i in range(1, heard + 1):
                state.on_message(f"h{i}", Gossip(), 0.0)
            seconds = [s / 2 for s in range(30)]
            first = next(
                s for s in seconds if (state.on_tick(s), state.is_ready)[1]
            )
            assert first == ready_s

    def test_waits_for_highest_announced_version(self) -> None:
        """A new host must not serve with outdated declarations.

        The restored platform offers version 5; the peers hold 7, and half of
        all messages are lost. Having some version must not make the host ready.
        """
        network = make_network(ONE_CENTRE)
        publish(network, 7)
        network.run(8)
        publish(network, 5)
        network.loss = 0.5
        hosts = {**ONE_CENTRE, "new": "a"}
        network.platform.publish_hosts(2, hosts)
        new = network.add("new", "a")
        while not new.state.is_ready:
            network.run(0.2)
        assert new.state.version_in_force(DECLARATIONS) == 7

    @pytest.mark.parametrize(
        "keeps_announcing", [False, True], ids=["source gone", "never sends"]
    )
    def test_unavailable_version_blocks_for_a_bounded_time(
        self, keeps_announcing: bool
    ) -> None:
        """A new host must start to serve if nobody sends a missing version.

        The only host with version 9 announces it and fails, or announces it
        for ever while its answers are lost. The wait must have a bound.
        """
        network = make_network(ONE_CENTRE)
        hosts = {**ONE_CENTRE, "new": "a"}
        network.platform.publish_hosts(2, hosts)
        new = network.add("new", "a")
        announcement = Gossip(versions=(DocumentVersion(DECLARATIONS, 9, 1),))
        for second in range(100):
            if second == 0 or keeps_announcing:
                commands = new.state.on_message(
                    "h0", announcement, network.now_s
                )
                network.execute(new, commands)
            network.run(1)
            if second == 8:
                assert not new.state.is_ready
        assert new.state.is_ready
        assert new.ready_s <= 100 + 15 + (80 if keeps_announcing else 25)

    def test_starts_while_the_platform_is_down(self) -> None:
        """A replaced host must become ready during a platform outage.

        The host list already contains it; the platform is down when it starts,
        so it must fetch the documents from its peers.
        """
        network = make_network(ONE_CENTRE)
        network.platform.publish_hosts(2, {**ONE_CENTRE, "new": "a"})
        network.run(8)
        network.platform.is_up = False
        new = network.add("new", "a")
        network.run(10)
        assert new.state.is_ready
