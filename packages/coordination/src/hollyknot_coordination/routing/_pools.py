"""Selects the upstreams of each pool that this host uses."""

from collections.abc import Iterable, Mapping

import attrs

from hollyknot_coordination.routing._options import RoutingOptions
from hollyknot_coordination.routing._subset import subset
from hollyknot_coordination.routing._upstream import Upstream
from hollyknot_state import EntryState, HostList, HostListEntry, Role


@attrs.define
class Pool:
    """The upstreams of a pool that this host uses.

    Attributes:
        here: Upstreams in this host's data centre.
        elsewhere: Upstreams in all other data centres.
        mean_others: Mean load of other hosts at an upstream of the pool,
            weighted by the age of the load reports.
    """

    here: tuple[Upstream, ...] = ()
    elsewhere: tuple[Upstream, ...] = ()
    mean_others: float = 0.0

    @property
    def members(self) -> tuple[Upstream, ...]:
        """The upstreams of all data centres."""
        return self.here + self.elsewhere

    def on_report(self, half_life_s: float, now_s: float) -> None:
        """Updates the mean load after a new report of one of the upstreams."""
        members = self.here or self.elsewhere
        weights = [u.report_weight(half_life_s, now_s) for u in members]
        total = sum(weights)
        if total > 0.0:
            loads = zip(weights, members, strict=True)
            self.mean_others = sum(t * u.others for t, u in loads) / total


@attrs.frozen
class Members:
    """Names of the upstreams of one pool that a host uses.

    Attributes:
        here: Names of upstreams in the host's data centre.
        elsewhere: Names of upstreams in other data centres.
        sharers: Approximate number of hosts that use an upstream of `here`.
    """

    here: tuple[str, ...]
    elsewhere: tuple[str, ...]
    sharers: int


def live_upstreams(host_list: HostList) -> dict[str, HostListEntry]:
    """Returns the entries of the live upstreams by name."""
    return {
        e.name: e
        for e in host_list.entries
        if e.role is not Role.HOST and e.state is EntryState.LIVE
    }


def members_by_pool(
    host_list: HostList,
    live: Mapping[str, HostListEntry],
    host: str,
    data_centre: str,
    options: RoutingOptions,
) -> dict[str, Members]:
    """Chooses the upstreams of each pool that this host uses."""
    hosts = tuple(e.name for e in host_list.hosts(data_centre))
    here = _names_by_pool(
        e for e in live.values() if e.data_centre == data_centre
    )
    elsewhere = _names_by_pool(
        e for e in live.values() if e.data_centre != data_centre
    )
    return {
        pool: _members(
            pool,
            here.get(pool, ()),
            elsewhere.get(pool, ()),
            host,
            hosts,
            options,
        )
        for pool in here.keys() | elsewhere.keys()
    }


def _members(
    pool: str,
    here: Iterable[str],
    elsewhere: Iterable[str],
    host: str,
    hosts: tuple[str, ...],
    options: RoutingOptions,
) -> Members:
    near = tuple(here)
    size = options.subset_size
    chosen = subset(host, hosts, near, pool, size, options.min_sharers)
    # Upstreams elsewhere need no minimum number of hosts from here: the hosts
    # of their own data centre use them, and this one does so only if it has
    # no usable upstream itself.
    far = subset(host, hosts, tuple(elsewhere), pool, size, 0)
    pairs = max(1, len(hosts)) * len(chosen)
    return Members(chosen, far, -(-pairs // max(1, len(near))))


def _names_by_pool(
    entries: Iterable[HostListEntry],
) -> dict[str, list[str]]:
    names: dict[str, list[str]] = {}
    for entry in entries:
        for pool in entry.pools:
            names.setdefault(pool, []).append(entry.name)
    return names
