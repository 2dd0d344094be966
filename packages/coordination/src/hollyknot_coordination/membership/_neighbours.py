"""The few peers that a host probes and gossips with.

With all peers in turn, each pair of hosts of a large data centre would meet
less often than a link may idle, and nearly each message would cost a new link
with its handshake. A few peers by a hash of the pair make a random graph, over
which news spreads as fast as over all; the next hosts in rank order make sure
that each host has peers that probe it and tell it news.
"""

from collections.abc import Iterable, Sequence

import xxhash

SUCCESSORS = 4
"""Next hosts in rank order; so each host is probed by four at least."""

RANDOM_NEIGHBOURS = 8
"""Peers by the hash of the pair."""


def choose_neighbours(host: str, ranked: Sequence[str]) -> frozenset[str]:
    """Returns the neighbours of a host among ranked hosts.

    Args:
        host: The host, one of the ranked.
        ranked: From `rank_hosts`.
    """
    peers = [h for h in ranked if h != host]
    position = ranked.index(host)
    rotated = [*ranked[position + 1 :], *ranked[:position]]
    near = closest_hosts(host, peers, RANDOM_NEIGHBOURS)
    return frozenset((*rotated[:SUCCESSORS], *near))


def closest_hosts(
    host: str, peers: Iterable[str], count: int
) -> tuple[str, ...]:
    """Returns peers by the hash of the pair, the same at each call."""
    return tuple(sorted(peers, key=lambda p: _pair_hash(host, p))[:count])


def _pair_hash(host: str, peer: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{host}\0{peer}".encode())
