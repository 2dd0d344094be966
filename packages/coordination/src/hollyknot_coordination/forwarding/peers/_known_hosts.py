"""Knows further hosts than those that send this one reports.

A host that has just started gets reports of few others for some seconds. Its
seeds, to which all hosts report first, tell it of the others, so that hosts
choose the same ones for a key.
"""

import heapq
import ipaddress
import math
from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs

from hollyknot_coordination.forwarding.peers._trackers import Tracker
from hollyknot_state import Address, HostsNote, short_name

FIRST_HOSTS = 24
"""Hosts of each data centre that are told of, the same ones by all hosts."""

TOLD_RETENTION_S = 20.0
"""Seconds for which hosts count after they were told of. They have sent reports
by then, if they still run."""

_PORT_BITS = 16
_ADDRESS_BITS = 48


@attrs.frozen
class _View:
    """The known hosts, without this one.

    Attributes:
        hosts: All of them.
        first: Those among the first ones of their data centres.
        is_first: Whether this host is among the first ones of its own.
    """

    hosts: tuple[Tracker, ...]
    first: tuple[Tracker, ...]
    is_first: bool


class KnownHosts:
    """The hosts that one host gets reports of or was told of."""

    def __init__(
        self, own: Tracker, peers: Callable[[], Sequence[Tracker]]
    ) -> None:
        """Creates an instance that was told of no host.

        Args:
            own: This host.
            peers: Returns the peers that send reports. It must return the same
                object until they change.
        """
        self._own = own
        self._peers = peers
        self._last_peers: Sequence[Tracker] | None = None
        self._told: dict[Address, Tracker] = {}
        self._told_s = -math.inf
        self._view = _View((), (), is_first=True)

    @property
    def hosts(self) -> tuple[Tracker, ...]:
        """All known hosts but this one; the same object until they change."""
        return self._current().hosts

    @property
    def first(self) -> tuple[Tracker, ...]:
        """The known hosts among the first ones of their data centres.

        Without this one; the same object until they change.
        """
        return self._current().first

    @property
    def is_first(self) -> bool:
        """Whether this host is among the first ones of its data centre."""
        return self._current().is_first

    def to_tell(self, most: int) -> tuple[Tracker, ...]:
        """Returns the hosts to tell others of: those that report to this one.

        Args:
            most: Most hosts of each data centre.
        """
        return _first((*self._peers(), self._own), min(most, FIRST_HOSTS))

    def note(self, hosts: Iterable[Tracker], now_s: float) -> None:
        """Records hosts that this one was told of."""
        told = {host.address: host for host in hosts}
        told.pop(self._own.address, None)
        self._told_s = now_s
        if not told.keys() <= self._told.keys():
            self._told |= told
            self._last_peers = None

    def expire(self, now_s: float) -> None:
        """Forgets the hosts that this one was told of long ago."""
        if self._told and now_s - self._told_s >= TOLD_RETENTION_S:
            self._told.clear()
            self._last_peers = None

    def _current(self) -> _View:
        peers = self._peers()
        if peers is not self._last_peers:
            self._last_peers = peers
            known = self._told | {peer.address: peer for peer in peers}
            hosts = tuple(known.values())
            first = _first((*hosts, self._own), FIRST_HOSTS)
            self._view = _View(
                hosts,
                tuple(host for host in first if host is not self._own),
                is_first=self._own in first,
            )
        return self._view


def _first(hosts: Iterable[Tracker], count: int) -> tuple[Tracker, ...]:
    """Returns the first hosts of each data centre, by hashes of addresses."""
    by_data_centre: dict[str, list[Tracker]] = {}
    for host in hosts:
        by_data_centre.setdefault(host.data_centre, []).append(host)
    return tuple(
        host
        for near in by_data_centre.values()
        for host in heapq.nsmallest(
            count, near, key=lambda host: short_name(str(host.address))
        )
    )


def pack_hosts(hosts: Sequence[Tracker]) -> HostsNote:
    """Returns a message that tells of hosts with IPv4 addresses."""
    data_centres = tuple(sorted({host.data_centre for host in hosts}))
    numbers = []
    for host in hosts:
        try:
            ip = int(ipaddress.IPv4Address(host.address.ip))
        except ipaddress.AddressValueError:
            continue
        index = data_centres.index(host.data_centre)
        address = (ip << _PORT_BITS) | host.address.port
        numbers.append((index << _ADDRESS_BITS) | address)
    return HostsNote(data_centres, tuple(numbers))


def unpack_hosts(note: HostsNote) -> Iterator[Tracker]:
    """Yields the hosts that a message tells of, their incarnations unknown."""
    for number in note.hosts:
        index = number >> _ADDRESS_BITS
        if index >= len(note.data_centres):
            continue
        address = number & ((1 << _ADDRESS_BITS) - 1)
        ip = str(ipaddress.IPv4Address(address >> _PORT_BITS))
        port = address & ((1 << _PORT_BITS) - 1)
        yield Tracker(0, Address(ip, port), note.data_centres[index])
