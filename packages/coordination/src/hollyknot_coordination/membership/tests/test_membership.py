"""Liveness under crashes, pauses and cuts, over the in-memory network."""

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
    """Starts sixteen hosts of one data centre that know each other."""
    network = Network()
    network.platform.publish_hosts(1, HOSTS)
    network.platform.publish(DECLARATIONS, 1, {})
    for name in HOSTS:
        network.add(name, "a")
    network.run(15)
    # A host that is not ready asks for answers, which would hide a fault.
    assert all(n.state.is_ready for n in network.nodes.values())
    return network


def seen_alive(network: Network, host: str) -> list[bool]:
    """Returns for each other host whether it believes a host alive."""
    return [
        host in n.state.alive_peers("a")
        for n in network.nodes.values()
        if n.name != host
    ]


class TestMembership:
    """What hosts believe of each other."""

    def test_crashed_host_is_detected_by_all(self) -> None:
        network = make_network()
        assert all(seen_alive(network, "h3"))
        del network.nodes["h3"]
        network.run(40)
        assert not any(seen_alive(network, "h3"))
        assert not network.nodes["h0"].state.is_partition_suspected

    def test_a_host_that_one_peer_cannot_reach_stays_alive(self) -> None:
        """Symptom: a healthy host flaps between alive and suspect.

        One peer's link to it has gone silent. Cause: suspicion by one's own
        probe alone.
        """
        network = make_network()
        network.is_cut = lambda a, b: {a, b} == {"h3", "h4"}
        for _ in range(40):
            network.run(1)
            assert all(seen_alive(network, "h3"))

    def test_lost_probes_alone_declare_nobody_dead(self) -> None:
        """Symptom: healthy hosts are believed dead on a lossy network.

        Three messages in ten are lost, so that suspicions are frequent. Cause:
        a suspect that nobody gossips to and that hears of it too late.
        """
        network = make_network()
        network.loss = 0.3
        network.run(60)
        for node in network.nodes.values():
            states = [r.state for r in node.reports if hasattr(r, "state")]
            assert SUSPECT in states
            assert DEAD not in states

    def test_suspect_is_notified_in_each_round(self) -> None:
        """Symptom: a healthy host with few probers is believed dead.

        It was suspected by a lost probe, and is probed again only after the
        suspicion has run out. Cause: gossip to hosts that are alive only.
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
        """Symptom: a healthy host is believed dead by one peer for good.

        Two peers suspect it; it refutes, and the message to the second is
        lost, or it had heard of the first alone. The second goes on blaming
        it by the old incarnation. Cause: blame of an old incarnation was
        passed over as known.
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
        """Symptom: a host that was paused gets no gossip any more.

        It is believed dead, and its links were closed while it slept, so that
        it has not heard so. Cause: a dead host that nobody probes any more.
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
        """Symptom: a data centre loses its readers when one link heals.

        One host was cut off for a minute, suspects all others and tells them
        so when it is back. Cause: news of a host that was itself cut off.
        """
        network = make_network()
        network.is_cut = lambda a, b: "h3" in (a, b)
        network.run(60)
        assert not any(seen_alive(network, "h3"))
        network.is_cut = lambda _a, _b: False
        for _ in range(80):
            network.run(0.5)
            for node in network.nodes.values():
                # h3 itself may be missing, and the target of the probe that
                # h3 had under way when its link healed.
                if node.name != "h3":
                    assert len(node.state.alive_peers("a")) >= 13
        assert all(seen_alive(network, "h3"))
        assert len(network.nodes["h3"].state.alive_peers("a")) == 15

    def test_resumed_host_suspects_nobody(self) -> None:
        """Symptom: suspicions of healthy hosts after each long pause.

        A host sends a probe, is paused and looks at its clock first when it
        wakes; the answer lies unread. Cause: time that passed while it slept.
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
        """Symptom: after a cut each half holds the other for dead.

        A data centre is cut in halves for a minute, then heals. Cause:
        suspicions that turn into deaths whatever their number.
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
        """Symptom: a partition is reported for ever after a rack has burnt.

        The platform takes the lost hosts off its list. Cause: waiting for
        hosts that will not answer.
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
    """The order of beliefs."""

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
        # Said again, since the first refutation may be lost, but not raised.
        assert table.merge(accusation, 0.0) is MemberChange.REFUTED
        assert table.own_update == MemberUpdate("h0", ALIVE, 5)
        confirmation = MemberUpdate("h0", ALIVE, 5)
        assert table.merge(confirmation, 0.0) is MemberChange.UNCHANGED


class TestNeighbours:
    """The few peers that a host probes and gossips with."""

    def test_each_host_is_a_neighbour_of_four_and_all_are_connected(
        self,
    ) -> None:
        """Symptom: a host hears no news and nobody notices its death.

        Nobody has chosen it. Cause: neighbours at random alone.
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
    """Rendezvous hashing of readers."""

    def test_a_lost_reader_changes_no_other(self) -> None:
        ranked = rank_hosts(HOSTS)
        before = choose_readers(ranked, frozenset(HOSTS))
        after = choose_readers(ranked, frozenset(HOSTS) - {before[0]})
        assert after[:2] == before[1:]

    def test_hosts_with_different_lists_rank_alike(self) -> None:
        kept = tuple(h for h in rank_hosts(HOSTS) if h != "h5")
        assert rank_hosts(HOSTS.keys() - {"h5"}) == kept
