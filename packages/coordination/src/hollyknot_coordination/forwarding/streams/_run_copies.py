"""Chooses the upstreams that keep copies of runs, the same ones at each host.

A copy outlives the upstream of its run and the hosts that know of it. It is at
an upstream of the version that began the stream, so that it proves the version.
"""

import hashlib
import random
import re
from collections import defaultdict
from collections.abc import Iterable

from hollyknot_state import short_name
from hollyknot_state.routes import CallTraits, UpstreamEntry

MAX_HOLDERS = 2
"""Upstreams of each version that are asked for a copy."""

_FACTOR = 0x9E3779B97F4A7C15
_MASK = 2**64 - 1

_UNGUESSABLE = re.compile(r"[A-Za-z0-9_-]{16,128}")


def has_secret_name(attempt_id: str) -> bool:
    """Whether only the caller of an attempt can know its name.

    Whoever names an attempt goes on from the memory of its run, so that runs
    with short names must not be copied.
    """
    return _UNGUESSABLE.fullmatch(attempt_id) is not None


def run_key(customer: str, attempt_id: str, call: CallTraits) -> int:
    """Returns the number by which hosts choose the upstream of a copy.

    It differs for another customer or prompt, which mostly leads these to
    upstreams without the copy.

    Args:
        customer: The customer whose request it is.
        attempt_id: The caller's name for the sending that was run.
        call: The request, or that of a caller who goes on with its stream.
    """
    part = call.prompt[-1].name.lower() if call.prompt else ""
    text = f"{customer}\n{attempt_id}\n{part}".encode("utf-8", "replace")
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def copy_holder(
    key: int, at: UpstreamEntry, entries: Iterable[UpstreamEntry]
) -> UpstreamEntry | None:
    """Returns the upstream that is to keep a copy of a run.

    Args:
        key: The run's key.
        at: The upstream of the run.
        entries: The upstreams that get requests.

    Returns:
        The upstream; None if no other one has the version.
    """
    others = [
        entry
        for entry in entries
        if entry.version == at.version and entry.incarnation != at.incarnation
    ]
    return next(iter(_ranked(key, others)), None)


def possible_holders(
    key: int, entries: Iterable[UpstreamEntry], rng: random.Random
) -> list[UpstreamEntry]:
    """Returns the upstreams that may keep the copy of a run, likeliest first.

    The upstream of the run is gone or unreachable, so that the copy is at the
    first one that is left of its version, which is unknown. A second one is
    added as the first may be the upstream of the run, still listed.

    Args:
        key: The run's key.
        entries: The upstreams that can get requests.
        rng: Orders the versions, so that a caller who comes back may find its
            copy at another one.
    """
    by_version = defaultdict(list)
    for entry in _ranked(key, entries):
        by_version[entry.version].append(entry)
    versions = list(by_version.values())
    rng.shuffle(versions)
    return [
        ranked[place]
        for place in range(MAX_HOLDERS)
        for ranked in versions
        if place < len(ranked)
    ]


def _ranked(key: int, entries: Iterable[UpstreamEntry]) -> list[UpstreamEntry]:
    return sorted(
        entries,
        key=lambda entry: (
            ((key ^ short_name(entry.incarnation)) * _FACTOR) & _MASK
        ),
        reverse=True,
    )
