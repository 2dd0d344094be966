"""Documents between hosts: spreading, catching up, and what must not happen."""

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
    """Documents reach all hosts, and few hosts read the platform."""

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
        """Ten changes: the six readers would read sixty bodies by watches."""
        network = make_network(TWO_CENTRES)
        network.platform.bodies = 0
        for version in range(6, 16):
            publish(network, version)
            network.run(4)
        assert in_force(network) == {15}
        assert network.platform.bodies <= 20

    def test_crashed_readers_are_replaced(self) -> None:
        """Symptom: changes stop to come in force in a data centre.

        Its three readers die at once while the host list still has them, and
        nobody else reads. Cause: readers chosen from the list alone.
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
        """Symptom: one data centre stays at an old version.

        It cannot reach the platform, the other one can. Cause: gossip that
        stays within a data centre.
        """
        network = make_network(TWO_CENTRES)
        network.is_platform_cut = lambda host: TWO_CENTRES[host] == "b"
        publish(network, 6)
        network.run(8)
        assert in_force(network) == {6}

    def test_partitioned_data_centre_catches_up(self) -> None:
        """Symptom: one data centre stays at an old version until the next.

        It was cut from the platform and the other one while a change was
        announced; only the second cut heals. Cause: news told only once.
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
    """Versions in force only rise and are valid."""

    def test_a_restored_platform_changes_nothing(self) -> None:
        """Symptom: a withdrawn setting is in force again.

        The platform is restored from a copy and offers version 5 after 7, then
        publishes another 6. Cause: a host that takes what the platform says.
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
        """Symptom: all hosts log the same refusal, or worse, apply it.

        The operators publish a version that the check refuses, then a good
        one. Cause: a version that is announced before it is checked.
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
        """Symptom: a host stays at 5 while its peers have 6 in force.

        It reads the invalid 7 before it hears of 6. Cause: a rejected version
        that counts as if it were in force.
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
    """A new host serves when it has caught up, and is not blocked for ever."""

    def test_waits_for_three_peers_or_ten_seconds(self) -> None:
        """Symptom: a new host serves by declarations that were replaced.

        It reads both documents from a platform that is restored to an older
        copy before any peer has told it a version. Cause: "nothing higher was
        heard of" by a host that has heard nobody.
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
        """Symptom: a new host serves by declarations that were replaced.

        The platform, restored, offers it version 5; its peers hold 7 and lose
        most messages. Cause: readiness by any version at all.
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
        "tells_on", [False, True], ids=["source gone", "never gives"]
    )
    def test_unavailable_version_blocks_for_a_bounded_time(
        self, tells_on: bool
    ) -> None:
        """Symptom: a new host never serves.

        The only host with version 9 tells of it and dies, or tells of it for
        ever while its answers get lost. Cause: waiting for what was heard
        without a bound.
        """
        network = make_network(ONE_CENTRE)
        hosts = {**ONE_CENTRE, "new": "a"}
        network.platform.publish_hosts(2, hosts)
        new = network.add("new", "a")
        announcement = Gossip(versions=(DocumentVersion(DECLARATIONS, 9, 1),))
        for second in range(100):
            if second == 0 or tells_on:
                commands = new.state.on_message(
                    "h0", announcement, network.now_s
                )
                network.execute(new, commands)
            network.run(1)
            if second == 8:
                assert not new.state.is_ready
        assert new.state.is_ready
        assert new.ready_s <= 100 + 15 + (80 if tells_on else 25)

    def test_starts_while_the_platform_is_down(self) -> None:
        """Symptom: a replaced host serves nothing until the platform is back.

        The list has it already; the platform is down when it starts. Cause:
        documents that come from the platform only.
        """
        network = make_network(ONE_CENTRE)
        network.platform.publish_hosts(2, {**ONE_CENTRE, "new": "a"})
        network.run(8)
        network.platform.is_up = False
        new = network.add("new", "a")
        network.run(10)
        assert new.state.is_ready
