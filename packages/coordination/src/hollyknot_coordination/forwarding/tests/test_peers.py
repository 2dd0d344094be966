"""Tests of how hosts find each other."""

import random

from hollyknot_coordination.forwarding import Peers
from hollyknot_coordination.forwarding.tests._builders import (
    address_of,
    report,
)


def _peers(own: str, *seeds: str) -> Peers:
    addresses = tuple(address_of(seed) for seed in seeds)
    return Peers(address_of(own), addresses, random.Random(1))


class TestPeers:
    """Reports in, addresses out."""

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
                        told = report(name, step + 1, contacts=contacts)
                        host.take(told, now_s)
        assert [host.count for host in hosts.values()] == [7] * 8

    def test_never_contacts_itself(self) -> None:
        peers = _peers("a", "a")
        peers.take(report("b", contacts=(address_of("a"),)), 0.0)
        assert address_of("a") not in peers.targets(0.0, 16)

    def test_an_older_report_changes_nothing(self) -> None:
        peers = _peers("a")
        peers.take(report("b", sequence=5), 0.0)
        peers.take(report("b", sequence=4), 3.0)
        assert peers.fresh(3.0) == []

    def test_a_restarted_peer_begins_again(self) -> None:
        peers = _peers("a")
        peers.take(report("b", sequence=500), 0.0)
        peers.take(report("b", sequence=1, incarnation=2), 3.0)
        assert [r.incarnation for r in peers.fresh(3.0)] == [2]

    def test_a_silent_peer_is_forgotten(self) -> None:
        peers = _peers("a")
        peers.take(report("b"), 0.0)
        assert peers.expire(4.0) == []
        assert peers.expire(5.1) == ["b"]

    def test_a_data_centre_is_silent_only_if_all_its_hosts_are(self) -> None:
        peers = _peers("a")
        peers.take(report("b", data_centre="south"), 0.0)
        peers.take(report("c", data_centre="south"), 0.5)
        peers.take(report("d", data_centre="east"), 0.1)
        assert peers.silent_data_centres(0.7) == {"east"}
        assert peers.silent_data_centres(1.0) == {"east", "south"}

    def test_tells_only_some_of_many(self) -> None:
        peers = _peers("a")
        for index in range(100):
            peers.take(report(f"host{index}x{index}"), 0.0)
        assert len(peers.targets(0.0, 16)) == 16
