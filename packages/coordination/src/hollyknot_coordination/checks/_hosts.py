"""Validates a new host list at a cost proportional to the change.

A list names some 12,500 processes. One or two of them change at a time, every
few seconds.
"""

import attrs
import orjson

from hollyknot_coordination.checks._problems import invalid
from hollyknot_coordination.spread import Candidate, Invalid
from hollyknot_state import HostList, HostListEntry, Problems, parse_host_list

_ENTRY_PREFIX = "entries/"


def check_hosts(candidate: Candidate) -> HostList | Invalid:
    """Returns the host list, or why it is rejected.

    Both the incremental and the full check accept and reject exactly the lists
    that `parse_host_list` of the whole list does. The order of the entries may
    differ.
    """
    parsed = _parse(candidate)
    return invalid(parsed) if isinstance(parsed, Problems) else parsed


def _parse(candidate: Candidate) -> HostList | Problems:
    previous = candidate.previous
    if not isinstance(previous, HostList) or not _only_entries(candidate):
        return parse_host_list(candidate.body)
    part = parse_host_list(_changed_part(candidate))
    if isinstance(part, Problems):
        return part
    return _merge(previous, part, candidate)


def _only_entries(candidate: Candidate) -> bool:
    paths = [record.path for record in candidate.change.changed]
    paths += candidate.change.removed
    return all(path.startswith(_ENTRY_PREFIX) for path in paths)


def _changed_part(candidate: Candidate) -> bytes:
    """Returns a host list document that holds only the changed entries."""
    return orjson.dumps(
        {
            "revision": candidate.version,
            "entries": [
                orjson.Fragment(record.body)
                for record in candidate.change.changed
            ],
        }
    )


def _merge(
    previous: HostList, part: HostList, candidate: Candidate
) -> HostList:
    entries = {e.name: e for e in previous.entries}
    for path in candidate.change.removed:
        entries.pop(path[len(_ENTRY_PREFIX) :], None)
    entries |= _by_name(part)
    return attrs.evolve(
        previous, revision=candidate.version, entries=tuple(entries.values())
    )


def _by_name(part: HostList) -> dict[str, HostListEntry]:
    return {e.name: e for e in part.entries}
