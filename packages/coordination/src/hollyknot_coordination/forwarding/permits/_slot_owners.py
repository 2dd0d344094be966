"""Divides the slots of brittle upstreams among hosts, by membership alone.

Hosts know of each other's work later than short requests end, so no view of it
keeps them from taking the same slot. Therefore each slot belongs to one host,
which every host computes from the peers that it knows, by rendezvous hashing.
A host whose slots are in use hands a request to another owner.
"""

import math
from collections.abc import Callable, Iterable, Sequence

import attrs

from hollyknot_coordination.forwarding.peers._host_count import HostCount
from hollyknot_coordination.forwarding.peers._trackers import Tracker
from hollyknot_state import short_name
from hollyknot_state.routes import UpstreamEntry

DISCOVERY_S = 1.5
"""Seconds after its start for which a host owns nothing. It hardly knows the
others until then, and would take their slots for its own."""

_FACTOR = 0x9E3779B97F4A7C15
_MASK = 2**64 - 1


@attrs.frozen
class _Division:
    """How the slots of one upstream are divided.

    Attributes:
        own: Number of slots that belong to this host.
        owners: Incarnations of the peers that own the others.
    """

    own: int
    owners: frozenset[int]


class SlotOwners:
    """Which hosts own the slots of an upstream, as far as one host knows."""

    def __init__(
        self,
        own: Tracker,
        peers: Callable[[], Sequence[Tracker]],
        size: HostCount,
    ) -> None:
        """Creates an instance for one host.

        Args:
            own: This host.
            peers: Returns the peers that this host knows. It must return the
                same object until they change: divisions are cached by identity.
            size: Number of hosts, with those that this host doesn't hear.
        """
        self._own = own
        self._own_number = _number(own)
        self._peers = peers
        self._size = size
        self._last_peers: Sequence[Tracker] = ()
        self._last_hosts = 0
        self._numbers: dict[int, Tracker] = {}
        self._divisions: dict[str, _Division] = {}

    def own_slots(self, entry: UpstreamEntry, now_s: float) -> int:
        """Returns how many slots of an upstream belong to this host."""
        if not self._size.is_known(now_s, DISCOVERY_S):
            return 0
        return self._division(entry).own

    def peers_with_slots(
        self, entries: Iterable[UpstreamEntry]
    ) -> frozenset[int]:
        """Returns the incarnations of the peers that own slots of upstreams."""
        return frozenset().union(*(self._division(e).owners for e in entries))

    def forget(self, incarnation: str) -> None:
        """Drops the division of an upstream that has left for good."""
        self._divisions.pop(incarnation, None)

    def _division(self, entry: UpstreamEntry) -> _Division:
        peers = self._peers()
        hosts = self._size.hosts
        if peers is not self._last_peers or hosts != self._last_hosts:
            self._last_peers, self._last_hosts = peers, hosts
            self._numbers = {_number(peer): peer for peer in peers}
            self._divisions.clear()
        division = self._divisions.get(entry.incarnation)
        if division is None:
            division = self._divide(entry)
            self._divisions[entry.incarnation] = division
        return division

    def _divide(self, entry: UpstreamEntry) -> _Division:
        """Divides an upstream's slots among the hosts that this one knows.

        They share the part of the slots that is theirs if all hosts are alike.
        What is left of a whole slot belongs to the next of them at as many
        upstreams as it is large. Hosts are ranked by their addresses, so that a
        host that is restarted owns what it owned before.
        """
        known = len(self._numbers) + 1
        shared = entry.slots * min(1.0, known / max(1, self._last_hosts))
        whole = math.floor(shared)
        seed = short_name(entry.incarnation) & _MASK
        own_rank = _mix(seed, self._own_number)
        ranks = {
            _mix(seed, number): peer for number, peer in self._numbers.items()
        }
        place = sum(peer_rank > own_rank for peer_rank in ranks)
        own = whole // known + (place < whole % known)
        # Drawn anew, as the rank of the first host is large.
        draw = _mix(own_rank, self._own_number) / _MASK
        if place == whole % known and draw < shared - whole:
            own += 1
        others = sorted(ranks, reverse=True)[: math.ceil(shared)]
        owners = frozenset(ranks[other].incarnation for other in others)
        return _Division(own, owners)


def _number(host: Tracker) -> int:
    return short_name(str(host.address)) & _MASK


def _mix(seed: int, number: int) -> int:
    """Returns the rendezvous hash of an upstream and a host."""
    mixed = ((seed * _FACTOR) ^ number) * _FACTOR & _MASK
    return (mixed ^ (mixed >> 32)) * _FACTOR & _MASK
