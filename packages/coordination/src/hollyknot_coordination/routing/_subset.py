"""Selects the subset of a large pool's upstreams that a host uses.

Hosts and upstreams are each ordered by a hash. With H hosts and U upstreams,
the window of host number i starts at upstream i * U / H. Each upstream is then
in the windows of the same number of hosts, give or take one, which independent
random subsets would not achieve. A host or upstream that is added or removed
moves each window by a few places only.
"""

import bisect
from collections.abc import Sequence

import xxhash


def subset(
    host: str,
    hosts: Sequence[str],
    upstreams: Sequence[str],
    salt: str,
    size: int,
    min_sharers: int,
) -> tuple[str, ...]:
    """Returns the upstreams that a host uses.

    Args:
        host: Name of the host. It counts even if `hosts` is outdated and
            lacks it.
        hosts: Names of all hosts that choose among these upstreams.
        upstreams: Names of the pool's upstreams.
        salt: Varies the order between pools, so that two hosts with the same
            window in one pool have different ones in others.
        size: Number of upstreams to select, unless the pool has fewer.
        min_sharers: Minimum number of hosts that must use each upstream.

    Returns:
        Names of the selected upstreams, each once.
    """
    count = len(upstreams)
    names = set(hosts) | {host}
    wanted = max(size, -(-min_sharers * count // len(names)))
    if count <= wanted:
        return tuple(upstreams)
    ranks = sorted(_rank(salt, name) for name in names)
    position = bisect.bisect_left(ranks, _rank(salt, host))
    start = position * count // len(names)
    ordered = sorted(upstreams, key=lambda name: _rank(salt, name))
    return tuple(ordered[(start + i) % count] for i in range(wanted))


def _rank(salt: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{salt}\0{name}".encode()), name
