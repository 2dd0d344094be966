"""Chooses the few peers that a host probes and gossips with.

If hosts took all peers in turn, each pair in a large data centre would
exchange messages less often than the idle timeout of a link, and nearly every
message would need a new link with its handshake. A few peers chosen by a hash
of the pair form a random graph, over which updates spread as fast as over all
pairs. The next hosts in rank order are added so that each host has peers that
probe it and gossip with it.
"""

from collections.abc import Iterable, Sequence

import xxhash

SUCCESSORS = 4
"""Number of next hosts in rank order; each host is probed by at least four."""

RANDOM_NEIGHBOURS = 8
"""Number of peers that are chosen by the hash of the pair."""


def choose_neighbours(host: str, ranked: Sequence[str]) -> frozenset[str]:
    """Returns the neighbours of a host among ranked hosts.

    Args:
        host: Name of the host, which must be among the ranked hosts.
        ranked: Hosts of its data centre in the order of `rank_hosts`.
    """
    peers = [h for h in ranked if h != host]
    position = ranked.index(host)
    rotated = [*ranked[position + 1 :], *ranked[:position]]
    near = closest_hosts(host, peers, RANDOM_NEIGHBOURS)
    return frozenset((*rotated[:SUCCESSORS], *near))


def closest_hosts(
    host: str, peers: Iterable[str], count: int
) -> tuple[str, ...]:
    """Returns the peers with the smallest hash of the pair; deterministic."""
    return tuple(sorted(peers, key=lambda p: _pair_hash(host, p))[:count])


def _pair_hash(host: str, peer: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{host}\0{peer}".encode())
