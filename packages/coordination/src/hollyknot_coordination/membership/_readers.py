"""Chooses the few hosts of each data centre that read from the platform."""

from collections.abc import Iterable

import xxhash

READERS = 3
"""Number of readers in a data centre; two may fail at once."""


def rank_hosts(hosts: Iterable[str]) -> tuple[str, ...]:
    """Returns the hosts in the order of their rendezvous hash.

    The readers are the first ones. When a host is added or removed, the order
    of the others stays the same, so that at most one reader changes.
    """
    return tuple(
        sorted(hosts, key=lambda h: (xxhash.xxh3_64_intdigest(h.encode()), h))
    )


def choose_readers(
    ranked: Iterable[str], alive: frozenset[str]
) -> tuple[str, ...]:
    """Returns the first ranked hosts that are alive.

    Args:
        ranked: Hosts of a data centre in the order of `rank_hosts`.
        alive: Hosts that this host believes alive, including itself.
    """
    return tuple(h for h in ranked if h in alive)[:READERS]
