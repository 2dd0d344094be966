"""Who reads from the platform: a few hosts of each data centre."""

from collections.abc import Iterable

import xxhash

READERS = 3
"""Readers in a data centre: two may fail at once and one still reads."""


def rank_hosts(hosts: Iterable[str]) -> tuple[str, ...]:
    """Returns hosts by rendezvous hash, the first reader first.

    When a host comes or goes, the order of the others stays, so that at most
    one reader changes.
    """
    return tuple(
        sorted(hosts, key=lambda h: (xxhash.xxh3_64_intdigest(h.encode()), h))
    )


def choose_readers(
    ranked: Iterable[str], alive: frozenset[str]
) -> tuple[str, ...]:
    """Returns the readers among ranked hosts.

    Args:
        ranked: From `rank_hosts`.
        alive: Hosts that this host can reach, and itself.
    """
    return tuple(h for h in ranked if h in alive)[:READERS]
