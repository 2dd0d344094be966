"""Which upstreams of a pool a host uses, when there are many.

Hosts and upstreams are each ordered by a hash; host number i of H starts at
upstream i * U / H and takes the next ones. Each upstream then has the same
number of hosts, give or take one, which independent draws do not give, and a
host or upstream that comes or goes moves each window by a few places only.
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
        host: The host that asks; counted even if `hosts` lags and lacks it.
        hosts: All hosts that choose among these upstreams.
        upstreams: The pool's upstreams.
        salt: Varies the order by pool, so that two hosts that share one
            window do not share all.
        size: The number of upstreams, unless the pool has fewer.
        sharers_min: The number of hosts that must reach each upstream.

    Returns:
        Names of upstreams, each once.
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
