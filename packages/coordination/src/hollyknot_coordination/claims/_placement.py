"""Computes which data centre and which hosts hold the claims of a slot.

The result depends on the platform's documents alone, so that all hosts with the
same documents compute the same holders.
"""

from collections.abc import Iterable

import attrs
import xxhash

from hollyknot_state import HostList, Role

GROUP_SIZE = 5
"""Number of holders of a slot; all hosts of a data centre that has fewer."""

_DIGEST_MASK = (1 << 63) - 1


def _score(slot: int, name: str) -> tuple[int, str]:
    # The name breaks ties, so that all hosts order equal hashes the same way.
    return xxhash.xxh3_64_intdigest(f"{slot}/{name}".encode()), name


def home(slot: int, data_centres: Iterable[str]) -> str:
    """Returns the home data centre of a slot; empty if none is declared."""
    return max(data_centres, key=lambda n: _score(slot, n), default="")


def holders(slot: int, hosts: Iterable[str]) -> tuple[str, ...]:
    """Returns the holders of a slot among a data centre's hosts, sorted."""
    ranked = sorted(hosts, key=lambda n: _score(slot, n), reverse=True)
    return tuple(sorted(ranked[:GROUP_SIZE]))


def group_digest(group: tuple[str, ...]) -> int:
    """Returns a 63-bit digest that identifies a group of holders."""
    # NUL can't be part of a name.
    return xxhash.xxh3_64_intdigest("\0".join(group).encode()) & _DIGEST_MASK


def majority(group: tuple[str, ...]) -> int:
    """Returns the least number of grants that two attempts can't both have."""
    return len(group) // 2 + 1


def blocking_minority(group: tuple[str, ...]) -> int:
    """Returns how many holders of a group must refuse to prevent a majority."""
    return len(group) - majority(group) + 1


@attrs.define
class Placement:
    """Computes the holders of all slots by one host list, on demand.

    Attributes:
        revision: The revision of the host list.
        data_centres: Names of all declared data centres.
    """

    revision: int
    data_centres: tuple[str, ...]
    _host_list: HostList
    _listed: dict[str, tuple[str, ...]] = attrs.Factory(dict)
    _hosts: dict[str, tuple[str, ...]] = attrs.Factory(dict)
    _homes: dict[int, str] = attrs.Factory(dict)
    _groups: dict[int, tuple[str, ...]] = attrs.Factory(dict)

    def home(self, slot: int) -> str:
        """Returns the home data centre of a slot."""
        found = self._homes.get(slot)
        if found is None:
            found = home(slot, self.data_centres)
            self._homes[slot] = found
        return found

    def hosts(self, data_centre: str) -> tuple[str, ...]:
        """Returns the names of a data centre's live hosts."""
        found = self._hosts.get(data_centre)
        if found is None:
            found = tuple(e.name for e in self._host_list.hosts(data_centre))
            self._hosts[data_centre] = found
        return found

    def listed(self, data_centre: str) -> tuple[str, ...]:
        """Returns the names of a data centre's hosts, live or leaving."""
        found = self._listed.get(data_centre)
        if found is None:
            found = tuple(
                e.name
                for e in self._host_list.entries
                if e.role is Role.HOST and e.data_centre == data_centre
            )
            self._listed[data_centre] = found
        return found

    def group(self, slot: int) -> tuple[str, ...]:
        """Returns the holders of a slot in its home data centre."""
        found = self._groups.get(slot)
        if found is None:
            found = holders(slot, self.hosts(self.home(slot)))
            self._groups[slot] = found
        return found


def make_placement(
    host_list: HostList,
    data_centres: tuple[str, ...],
    previous: Placement | None = None,
) -> Placement:
    """Returns the placement by a host list and the declared data centres.

    Args:
        host_list: The host list in force.
        data_centres: Names of all declared data centres.
        previous: An earlier placement. Results that can't have changed since
            are copied from it: most lists change one host of one data centre,
            or an upstream, and ranking the hosts for every slot costs far more.
    """
    placement = Placement(host_list.revision, tuple(data_centres), host_list)
    if previous is None or previous.data_centres != placement.data_centres:
        return placement
    placement._homes = previous._homes
    unchanged = {
        name
        for name in placement.data_centres
        if placement.hosts(name) == previous.hosts(name)
    }
    placement._groups = {
        slot: group
        for slot, group in previous._groups.items()
        if previous.home(slot) in unchanged
    }
    return placement
