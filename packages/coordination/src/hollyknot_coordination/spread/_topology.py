"""Groups the hosts of the host list by data centre and picks gossip targets."""

import random
from collections.abc import Iterable

from hollyknot_coordination.membership import READERS, closest_hosts, rank_hosts
from hollyknot_state import EntryState, HostList, Role

REMOTE_TARGETS = 3
"""Number of hosts of each other data centre that a reader gossips with."""


class Topology:
    """Holds the live hosts of each data centre from the host list in force."""

    def __init__(self, host: str, data_centre: str) -> None:
        self._host = host
        self._data_centre = data_centre
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._hosts: frozenset[str] = frozenset()
        self._remote: tuple[str, ...] = ()
        self._remote_hosts: dict[str, tuple[str, ...]] = {}
        self._turn = 0

    @property
    def hosts(self) -> frozenset[str]:
        """All live hosts of all data centres, including this host."""
        return self._hosts

    @property
    def own_ranked(self) -> tuple[str, ...]:
        """Hosts of this data centre by rendezvous hash, including this host.

        This host is included even if it is not listed yet. Otherwise the first
        host of a data centre would never read from the platform.
        """
        return self._ranked.get(self._data_centre, (self._host,))

    def hosts_of(self, data_centre: str) -> tuple[str, ...]:
        """Returns the live hosts of a data centre by rendezvous hash."""
        return self._ranked.get(data_centre, ())

    def set_host_list(self, host_list: HostList) -> None:
        """Replaces the hosts by those of a new host list."""
        groups: dict[str, set[str]] = {self._data_centre: {self._host}}
        for entry in host_list.entries:
            if entry.role is Role.HOST and entry.state is EntryState.LIVE:
                groups.setdefault(entry.data_centre, set()).add(entry.name)
        self._ranked = {d: rank_hosts(hosts) for d, hosts in groups.items()}
        self._hosts = frozenset(h for hosts in groups.values() for h in hosts)
        self._remote = tuple(sorted(groups.keys() - {self._data_centre}))
        self._remote_hosts = {
            d: closest_hosts(self._host, self._ranked[d], REMOTE_TARGETS)
            for d in self._remote
        }

    def next_remote(self, rng: random.Random) -> tuple[str, ...]:
        """Returns a host of another data centre, by round robin over them.

        It is chosen from a few hosts that stay the same, so that links are
        reused.
        """
        if not self._remote:
            return ()
        self._turn += 1
        data_centre = self._remote[self._turn % len(self._remote)]
        return (rng.choice(self._remote_hosts[data_centre]),)

    def remote_readers(self, rng: random.Random) -> tuple[str, ...]:
        """Returns one probable reader of each other data centre.

        A reader that is notified of a version at once does not download its
        full body from the platform again.
        """
        return tuple(
            rng.choice(self._ranked[data_centre][:READERS])
            for data_centre in self._remote
        )


def sample_hosts(
    hosts: Iterable[str], count: int, rng: random.Random
) -> tuple[str, ...]:
    """Returns a random sample of the hosts, or all if there are fewer."""
    pool = tuple(hosts)
    return tuple(rng.sample(pool, min(count, len(pool))))
