"""Finds the hosts that answer for a key, the same ones at each host."""

import heapq
from collections.abc import Callable, Sequence

from hollyknot_coordination.forwarding.peers._trackers import Tracker
from hollyknot_state import short_name

_FACTOR = 0x9E3779B97F4A7C15
_MASK = 2**64 - 1


class Rendezvous:
    """Ranks hosts by a hash of a key and each host's address."""

    def __init__(self, hosts: Callable[[], Sequence[Tracker]]) -> None:
        """Creates an instance.

        Args:
            hosts: Returns the hosts. It must return the same object until they
                change: their numbers are cached.
        """
        self._hosts = hosts
        self._last_hosts: Sequence[Tracker] = ()
        self._numbers: dict[int, Tracker] = {}

    def first(
        self, key: int, count: int, own: Tracker | None = None
    ) -> list[Tracker]:
        """Returns the first hosts for a key.

        Args:
            key: Unsigned number of 64 bits.
            count: Number of hosts.
            own: This host, if it is to be ranked with the others.
        """
        hosts = self._hosts()
        if hosts is not self._last_hosts:
            self._last_hosts = hosts
            self._numbers = {_number(host): host for host in hosts}
        numbers = self._numbers
        if own is not None:
            numbers = {**numbers, _number(own): own}
        chosen = heapq.nlargest(
            count,
            numbers,
            key=lambda number: ((key ^ number) * _FACTOR) & _MASK,
        )
        return [numbers[number] for number in chosen]


def _number(host: Tracker) -> int:
    return short_name(str(host.address))
