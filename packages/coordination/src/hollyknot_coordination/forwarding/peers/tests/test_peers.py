"""Tests how hosts find each other by gossip."""

import random

import attrs
import pytest

from hollyknot_coordination.forwarding import Peers
from hollyknot_coordination.forwarding.peers._peer_count import estimate_peers
from hollyknot_coordination.forwarding.tests._builders import (
    address_of,
    report,
)
from hollyknot_state import (
    Address,
    LaneDemand,
    UpstreamUse,
    UseReport,
)


def _peers(own: str, *seeds: str) -> Peers:
    addresses = tuple(address_of(seed) for seed in seeds)
    return Peers(address_of(own), "north", addresses, random.Random(1))


class TestPeers:
    """Processes reports, and chooses the targets of reports."""

    def test_all_hosts_know_each_other_by_one_live_seed(self) -> None:
        names = [f"host{i}" for i in range(8)]
        hosts = {name: _peers(name, "gone", "host0") for name in names}
        for step in range(12):
            now_s = step * 0.5
            sent = [
                (name, target, host.contacts())
                for name, host in hosts.items()
                for target in host.targets(now_s, 16)
            ]
            for name, target, contacts in sent:
                for other, host in hosts.items():
                    if address_of(other) == target:
                        received = report(name, step + 1, contacts=contacts)
                        host.apply_report(received, now_s)
        assert [host.count for host in hosts.values()] == [7] * 8

    def test_never_sends_a_report_to_itself(self) -> None:
        peers = _peers("a", "a")
        peers.apply_report(report("b", contacts=(address_of("a"),)), 0.0)
        assert address_of("a") not in peers.targets(0.0, 16)

    def test_an_older_report_changes_nothing(self) -> None:
        peers = _peers("a")
        peers.apply_report(report("b", sequence=5), 0.0)
        peers.apply_report(report("b", sequence=4), 3.0)
        assert peers.fresh(3.0) == []

    def test_a_restarted_peer_begins_again(self) -> None:
        peers = _peers("a")
        peers.apply_report(report("b", sequence=500), 0.0)
        peers.apply_report(report("b", sequence=1, incarnation=2), 3.0)
        assert [r.incarnation for r in peers.fresh(3.0)] == [2]

    def test_a_silent_peer_is_forgotten(self) -> None:
        peers = _peers("a")
        peers.apply_report(report("b"), 0.0)
        assert peers.expire(4.0) == []
        assert peers.expire(5.1) == ["b"]

    def test_a_data_centre_is_silent_only_if_all_its_hosts_are(self) -> None:
        peers = _peers("a")
        for step in range(10):
            received = report("b", sequence=step, data_centre="south")
            peers.apply_report(received, step * 0.1)
            received = report("c", sequence=step, data_centre="south")
            peers.apply_report(received, step * 0.1 + 0.05)
            received = report("d", sequence=step, data_centre="east")
            peers.apply_report(received, step * 0.1)
        peers.apply_report(report("b", sequence=10, data_centre="south"), 1.2)
        assert peers.silent_data_centres(1.29) == set()
        assert peers.silent_data_centres(1.35) == {"east"}
        assert peers.silent_data_centres(1.65) == {"east", "south"}

    def test_own_data_centre_is_never_silent(self) -> None:
        """Crashed upstreams in a host's own data centre count as cut off.

        It happens if all other hosts there restart, and their silence counts
        as a network partition.
        """
        peers = _peers("a")
        for step in range(10):
            received = report("b", sequence=step, data_centre="north")
            peers.apply_report(received, step * 0.1)
        assert peers.silent_data_centres(3.0) == set()

    def test_a_data_centre_that_seldom_reports_is_not_silent(self) -> None:
        """All upstreams of a healthy data centre are probed again and again.

        It happens if its only host reports every 0.7 s, as the byte budget
        allows, and any silence of 0.4 s counts.
        """
        peers = _peers("a")
        for step in range(8):
            received = report("b", sequence=step, data_centre="south")
            peers.apply_report(received, step * 0.7)
        assert peers.silent_data_centres(4.9 + 0.7) == set()
        assert peers.silent_data_centres(4.9 + 2.9) == {"south"}
        assert len(peers.fresh(4.9 + 1.4)) == 1

    def test_one_long_silence_does_not_hide_the_next(self) -> None:
        peers = _peers("a")
        times = [step * 0.1 for step in range(20)]
        for number, now_s in enumerate((*times, 20.0, 20.1, 20.2)):
            received = report("b", sequence=number, data_centre="south")
            peers.apply_report(received, now_s)
        assert peers.silent_data_centres(21.1) == {"south"}

    def test_use_report_changes_only_its_own_fields(self) -> None:
        peers = _peers("a")
        peers.apply_report(
            attrs.evolve(report("b", sequence=1), table_version=9), 0.0
        )
        uses = (UpstreamUse(7, (100,), 1, 2),)
        peers.apply_use_report(UseReport(1, 2, uses), 0.3)
        peers.apply_use_report(UseReport(1, 1), 0.4)
        (received,) = peers.fresh(0.4)
        assert (received.host, received.table_version, received.uses) == (
            "b",
            9,
            uses,
        )

    def test_partial_use_report_keeps_demands_and_running_streams(
        self,
    ) -> None:
        peers = _peers("a")
        demands = (LaneDemand("engines", 5, 6),)
        whole = UseReport(1, 2, (UpstreamUse(7, (9,), 1, 2),), demands)
        peers.apply_report(report("b", sequence=1), 0.0)
        peers.apply_use_report(whole, 0.1)
        waiting = (UpstreamUse(8, (30,), 1, 0),)
        peers.apply_use_report(UseReport(1, 3, waiting, is_whole=False), 0.2)
        (received,) = peers.fresh(0.3)
        assert received.demands == demands
        assert received.uses == (UpstreamUse(7, (), 0, 3), *waiting)

    def test_use_report_of_an_unknown_peer_is_ignored(self) -> None:
        peers = _peers("a")
        peers.apply_use_report(
            UseReport(1, 1, (UpstreamUse(7, (100,), 1, 2),)), 0.0
        )
        assert peers.count == 0
        peers.apply_report(report("b", sequence=1, incarnation=2), 0.0)
        peers.apply_report(report("b", sequence=1, incarnation=3), 0.1)
        peers.apply_use_report(
            UseReport(2, 9, (UpstreamUse(7, (100,), 1, 2),)), 0.2
        )
        assert peers.fresh(0.2)[0].uses == ()

    def test_restarted_peer_gets_a_full_report(self) -> None:
        """A restarted host knows no peers for several seconds.

        It happens if its peers send only use reports to its address until the
        next full report is due.
        """
        peers = _peers("a")
        peers.apply_report(report("b", sequence=9), 0.0)
        (target,) = peers.targets(0.0, 9)
        assert peers.needs_full_report(target, 0.0)
        assert not peers.needs_full_report(target, 0.5)
        peers.apply_report(report("b", sequence=1, incarnation=2), 1.0)
        assert peers.needs_full_report(target, 1.1)

    def test_unheard_address_gets_only_full_reports(self) -> None:
        peers = _peers("a", "seed")
        (target,) = peers.targets(0.0, 9)
        assert peers.needs_full_report(target, 0.0)
        assert peers.needs_full_report(target, 1.0)

    def test_reports_to_many_peers_are_limited(self) -> None:
        peers = _peers("a")
        for index in range(100):
            peers.apply_report(report(f"host{index}x{index}"), 0.0)
        assert len(peers.targets(0.0, 16)) == 16

    def test_few_peers_get_reports_in_turn(self) -> None:
        peers = _peers("a")
        for name in "bcdefgh":
            peers.apply_report(report(name), 0.0)
        chosen = [peers.targets(step / 10, 1)[0] for step in range(1, 15)]
        assert set(chosen[:7]) == {address_of(name) for name in "bcdefgh"}
        assert chosen[7:] == chosen[:7]

    def test_unheard_addresses_count_against_the_limit(self) -> None:
        """A host sends ten times the control traffic that it may.

        Peers name hundreds of hosts that have not sent a report yet. It happens
        if reports to these addresses do not count against the limit.
        """
        peers = _peers("a", "seed")
        for index in range(5):
            contacts = tuple(address_of(f"new{index}{n}") for n in range(30))
            peers.apply_report(report(f"host{index}", contacts=contacts), 0.0)
        for most in (1, 2, 5):
            assert len(peers.targets(1.0 + most, most)) <= most

    def test_dead_addresses_do_not_keep_reports_from_peers(self) -> None:
        """Live hosts get no reports after many other hosts were replaced.

        The budget allows one report a round. It happens if each of twenty dead
        addresses is tried once a second, before any peer.
        """
        peers = _peers("a")
        dead = tuple(Address("127.0.0.9", 1 + n) for n in range(20))
        for name in "bcdefgh":
            peers.apply_report(report(name, contacts=dead), 0.0)
        chosen = {
            target
            for step in range(1, 11)
            for target in peers.targets(step / 10, 1)
        }
        assert chosen & {address_of(name) for name in "bcdefgh"}


def _exchange(
    hosts: dict[str, Peers], number: int, now_s: float, *, is_partitioned: bool
) -> None:
    """Simulates one round in which each host sends up to three reports.

    Args:
        hosts: All hosts; the first letter of a name is its data centre.
        number: Sequence number of the round's reports.
        now_s: Current time, in seconds.
        is_partitioned: Whether reports between data centres are lost.
    """
    by_address = {_unique(name): name for name in hosts}
    for name, host in hosts.items():
        sent = attrs.evolve(
            report(name, number, data_centre=name[0]),
            incarnation=_unique(name).port,
            address=_unique(name),
            contacts=host.contacts(),
        )
        for target in host.targets(now_s, 3):
            other = by_address.get(target)
            if other is not None and not (
                is_partitioned and other[0] != name[0]
            ):
                hosts[other].apply_report(sent, now_s)
    for host in hosts.values():
        host.expire(now_s)


def _unique(host: str) -> Address:
    return Address("127.0.0.2", 100 * ord(host[0]) + int(host[1:]))


class TestAfterPartition:
    """The two sides of a partition after they have forgotten each other."""

    @pytest.mark.parametrize("size", [4, 40])
    def test_both_sides_of_a_long_partition_find_each_other_again(
        self, size: int
    ) -> None:
        """The two sides of a partition never find each other again.

        The partition lasts two minutes, and the seeds have been replaced. It
        happens if a host that knows more than 32 peers tries no other
        addresses.
        """
        names = [f"{side}{i}" for side in "ns" for i in range(size)]
        seeds = (_unique("n0"), _unique("s0"))
        hosts = {
            name: Peers(_unique(name), name[0], seeds, random.Random(name))
            for name in names
        }
        for step in range(1, 400):
            now_s = step * 0.5
            if step == 100:
                del hosts["n0"], hosts["s0"]
            is_partitioned = 60 < now_s < 180
            _exchange(hosts, step, now_s, is_partitioned=is_partitioned)
            if now_s == 179.5:
                assert not any(map(_hears_far_side, hosts.items()))
        assert all(map(_hears_far_side, hosts.items()))


def _hears_far_side(item: tuple[str, Peers]) -> bool:
    """Returns whether a host knows of a peer in the other data centre."""
    name, peers = item
    however_old = peers.fresh(0.0)
    return any(known.data_centre != name[0] for known in however_old)


class TestEstimate:
    """Estimates the number of peers from those that sent reports."""

    @pytest.mark.parametrize("hosts", [1, 7, 99])
    def test_estimate_is_exact_where_all_are_heard(self, hosts: int) -> None:
        assert estimate_peers(hosts, hosts * 10) == hosts

    @pytest.mark.parametrize("seed", range(20))
    @pytest.mark.parametrize(("hosts", "reports"), [(300, 600), (2500, 660)])
    def test_estimate_is_close_where_some_are_heard(
        self, hosts: int, reports: int, seed: int
    ) -> None:
        """The retries of all hosts together are four times the slack.

        Each of 2,500 hosts gets reports of 600 others in a minute. It happens
        if each divides the slack only by that number.
        """
        rng = random.Random(seed)
        heard = {rng.randrange(hosts) for _ in range(reports)}
        assert 0.6 < estimate_peers(len(heard), reports) / hosts < 1.7

    def test_no_reports_mean_no_peers(self) -> None:
        assert estimate_peers(0, 0) == 0
