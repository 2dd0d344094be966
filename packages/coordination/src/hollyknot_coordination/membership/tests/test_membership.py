"""Tests liveness under crashes, pauses and network partitions."""

import random
from collections import Counter

import pytest

from hollyknot_coordination.membership import (
    MemberChange,
    Membership,
    MemberTable,
    choose_neighbours,
    choose_readers,
    rank_hosts,
)
from hollyknot_coordination.spread import Send
from hollyknot_coordination.spread.tests.network import DECLARATIONS, Network
from hollyknot_state import Gossip, MemberState, MemberUpdate, ProbeAck

HOSTS = {f"h{i}": "a" for i in range(16)}
ALIVE, SUSPECT, DEAD = MemberState


def make_network() -> Network:
    """Starts sixteen ready hosts of one data centre."""
    network = Network()
    network.platform.publish_hosts(1, HOSTS)
    network.platform.publish(DECLARATIONS, 1, {})
    for name in HOSTS:
        network.add(name, "a")
    network.run(15)
    # A host that is not ready asks its peers for gossip, which would hide
    # faults.
    assert all(n.state.is_ready for n in network.nodes.values())
    return network


def seen_alive(network: Network, host: str) -> list[bool]:
    """Returns for each other host whether it believes the host alive."""
    return [
        host in n.state.alive_peers("a")
        for n in network.nodes.values()
        if n.name != host
    ]


class TestMembership:
    """Tests what hosts believe about each other."""

    def test_crashed_host_is_detected_by_all(self) -> None:
        network = make_network()
        assert all(seen_alive(network, "h3"))
        del network.nodes["h3"]
        network.run(40)
        assert not any(seen_alive(network, "h3"))
        assert not network.nodes["h0"].state.is_partition_suspected

    def test_a_host_that_one_peer_cannot_reach_stays_alive(self) -> None:
        """A host that one peer cannot reach must not flap to suspect.

        It would if a peer suspected a host after its own probe alone.
        """
        network = make_network()
        network.is_cut = lambda a, b: {a, b} == {"h3", "h4"}
        for _ in range(40):
            network.run(1)
            assert all(seen_alive(network, "h3"))

    def test_lost_probes_alone_declare_nobody_dead(self) -> None:
        """Healthy hosts must not be declared dead on a lossy network.

        Three messages in ten are lost, so suspicions are frequent. A suspect
        that receives no gossip would learn of the suspicion too late.
        """
        network = make_network()
        network.loss = 0.3
        network.run(60)
        for node in network.nodes.values():
            states = [r.state for r in node.reports if hasattr(r, "state")]
            assert SUSPECT in states
            assert DEAD not in states

    def test_suspect_is_notified_in_each_round(self) -> None:
        """A suspect must learn of the suspicion before it expires.

        A healthy host that few hosts probe may be suspected after a lost probe
        and probed again only after the suspicion expired. It would be declared
        dead if gossip went to alive hosts only.
        """
        network = make_network()
        network.is_cut = lambda _a, b: b == "h3"
        node = network.nodes["h0"]
        suspicion = MemberUpdate("h3", SUSPECT, 0)
        accusation = Gossip(members=(suspicion,))
        node.state.on_message("h1", accusation, network.now_s)
        notifications = 0
        for _ in range(10):
            network.now_s += 0.2
            for command in node.state.on_tick(network.now_s):
                if isinstance(command, Send) and command.peer == "h3":
                    members = getattr(command.message, "members", ())
                    notifications += suspicion in members
        assert notifications >= 3

    def test_lost_refutation_is_repeated(self) -> None:
        """No peer may believe a healthy host dead for good.

        Two peers believe a host dead and it refutes, but the second peer does
        not receive the refutation and sends its belief with the old
        incarnation. The host must refute that too.
        """
        member = Membership("h0", random.Random(1), 0.0)
        member.set_hosts(("h0", "h1", "h2"), 0.0)
        refuted = Gossip(members=(MemberUpdate("h0", ALIVE, 1),))
        for peer in ("h1", "h2"):
            accusation = (MemberUpdate("h0", DEAD, 0),)
            assert member.on_updates(peer, accusation, 1.0) == [
                Send(peer, refuted)
            ]

    def test_a_paused_host_refutes_its_death(self) -> None:
        """A host that resumes after a pause must become alive again.

        It was declared dead and its links were closed, so the updates about
        it are lost. It would stay dead if hosts did not probe dead peers.
        """
        network = make_network()
        network.nodes["h3"].paused_until_s = network.now_s + 60
        network.run(50)
        assert not any(seen_alive(network, "h3"))
        network.run(9)
        network.nodes["h3"].deferred.clear()
        network.run(40)
        assert all(seen_alive(network, "h3"))

    def test_partitioned_host_is_found_again(self) -> None:
        """A host that rejoins must not make its peers look down.

        It was partitioned for a minute and gossips its suspicion of all others
        when it is back. If peers adopted it, the data centre would lose its
        readers.
        """
        network = make_network()
        network.is_cut = lambda a, b: "h3" in (a, b)
        network.run(60)
        assert not any(seen_alive(network, "h3"))
        network.is_cut = lambda _a, _b: False
        for _ in range(80):
            network.run(0.5)
            for node in network.nodes.values():
                # h3 itself may be missing, and so may the target of the probe
                # that h3 had under way when the partition healed.
                if node.name != "h3":
                    assert len(node.state.alive_peers("a")) >= 13
        assert all(seen_alive(network, "h3"))
        assert len(network.nodes["h3"].state.alive_peers("a")) == 15

    def test_resumed_host_suspects_nobody(self) -> None:
        """A host must not suspect healthy peers after a long pause.

        It is paused after it sent a probe, and checks its clock before it
        reads the answer. The pause must not count as time without an answer.
        """
        membership = Membership("h0", random.Random(1), 0.0)
        membership.set_hosts(("h0", "h1", "h2"), 0.0)
        membership.on_tick(1.0)
        membership.on_tick(31.0)
        assert membership.alive == ("h1", "h2")
        membership.on_ack(ProbeAck(1))
        membership.on_tick(31.9)
        assert membership.alive == ("h1", "h2")

    def test_partition_is_not_treated_as_mass_failure(self) -> None:
        """The two sides of a partition must not declare each other dead.

        A data centre is partitioned into halves for a minute. Suspicions must
        not expire while so many peers are unreachable.
        """
        network = make_network()
        half = {f"h{i}" for i in range(8)}
        network.is_cut = lambda a, b: (a in half) != (b in half)
        network.run(60)
        for node in network.nodes.values():
            assert node.state.is_partition_suspected
            same = {h for h in HOSTS if (h in half) == (node.name in half)}
            assert set(node.state.alive_peers("a")) == same - {node.name}
            assert set(node.state.readers) <= same
        network.is_cut = lambda _a, _b: False
        network.run(40)
        for node in network.nodes.values():
            states = {r.state for r in node.reports if hasattr(r, "state")}
            assert DEAD not in states
            assert not node.state.is_partition_suspected
            assert len(node.state.alive_peers("a")) == 15

    def test_the_host_list_ends_a_suspected_partition(self) -> None:
        """A partition must not be suspected for ever after a rack is lost.

        The lost hosts never answer again; the platform removes them from the
        host list.
        """
        network = make_network()
        lost = [f"h{i}" for i in range(6)]
        for name in lost:
            del network.nodes[name]
        network.run(40)
        assert network.nodes["h9"].state.is_partition_suspected
        kept = {h: d for h, d in HOSTS.items() if h not in lost}
        network.platform.publish_hosts(2, kept)
        network.run(10)
        assert not network.nodes["h9"].state.is_partition_suspected


class TestMemberTable:
    """Tests the order of beliefs."""

    @pytest.mark.parametrize(
        ("first", "second", "believed"),
        [
            ((ALIVE, 1), (SUSPECT, 1), SUSPECT),
            ((SUSPECT, 1), (ALIVE, 1), SUSPECT),
            ((SUSPECT, 1), (ALIVE, 2), ALIVE),
            ((DEAD, 1), (SUSPECT, 1), DEAD),
            ((DEAD, 1), (ALIVE, 2), ALIVE),
            ((ALIVE, 2), (DEAD, 1), ALIVE),
        ],
    )
    def test_the_order_of_arrival_does_not_matter(
        self,
        first: tuple[MemberState, int],
        second: tuple[MemberState, int],
        believed: MemberState,
    ) -> None:
        for pair in ((first, second), (second, first)):
            table = MemberTable("h0")
            hosts = frozenset({"h1", "h2", "h3"})
            table.set_hosts(hosts, hosts, 0.0)
            for state, incarnation in pair:
                table.merge(MemberUpdate("h1", state, incarnation), 0.0)
            assert table.state_of("h1") is believed

    def test_a_host_refutes_with_a_higher_incarnation(self) -> None:
        table = MemberTable("h0")
        accusation = MemberUpdate("h0", DEAD, 4)
        assert table.merge(accusation, 0.0) is MemberChange.REFUTED
        assert table.own_update == MemberUpdate("h0", ALIVE, 5)
        # It refutes again, since the first refutation may be lost, but with
        # the same incarnation.
        assert table.merge(accusation, 0.0) is MemberChange.REFUTED
        assert table.own_update == MemberUpdate("h0", ALIVE, 5)
        confirmation = MemberUpdate("h0", ALIVE, 5)
        assert table.merge(confirmation, 0.0) is MemberChange.UNCHANGED


class TestNeighbours:
    """Tests the choice of the peers that a host probes and gossips with."""

    def test_each_host_is_a_neighbour_of_four_and_all_are_connected(
        self,
    ) -> None:
        """Every host must be probed and must receive gossip.

        With random neighbours alone, no host might choose a given one.
        """
        ranked = rank_hosts(f"host-{i}" for i in range(278))
        chosen = {h: choose_neighbours(h, ranked) for h in ranked}
        assert all(len(n) <= 12 and h not in n for h, n in chosen.items())
        asked = Counter(p for n in chosen.values() for p in n)
        assert min(asked[h] for h in ranked) >= 4
        reached = [ranked[0]]
        for host in reached:
            reached.extend(chosen[host] - set(reached))
        assert len(reached) == 278


class TestReaders:
    """Tests the rendezvous hashing of readers."""

    def test_a_lost_reader_changes_no_other(self) -> None:
        ranked = rank_hosts(HOSTS)
        before = choose_readers(ranked, frozenset(HOSTS))
        after = choose_readers(ranked, frozenset(HOSTS) - {before[0]})
        assert after[:2] == before[1:]

    def test_hosts_with_different_lists_rank_alike(self) -> None:
        kept = tuple(h for h in rank_hosts(HOSTS) if h != "h5")
        assert rank_hosts(HOSTS.keys() - {"h5"}) == kept
