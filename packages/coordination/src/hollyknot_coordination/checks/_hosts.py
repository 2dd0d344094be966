"""Validates a new host list at a cost proportional to the change.

A list names some 12,500 processes. One or two of them change at a time, every
few seconds. Each entry is read by itself: one that another program wrote, or
that a later release of the platform adds, costs no other.
"""

from hollyknot_coordination.spread import Candidate, Invalid, Partial
from hollyknot_state import (
    CheckError,
    HostList,
    HostListEntry,
    LeftOut,
    Problem,
    parse_host_entry,
)

_ENTRY_PREFIX = "entries/"


def check_hosts(candidate: Candidate) -> HostList | Partial | Invalid:
    """Returns the host list without its unusable entries.

    Both the incremental and the full check keep the same entries. The order of
    the entries may differ. A list of which no entry can be used is rejected, as
    it would take away all upstreams.
    """
    entries, left_out = _read_change(candidate)
    if not entries and _has_entries(candidate):
        found = [f"{p.part}: {p.problem}" for p in left_out[:1]]
        return Invalid(" | ".join(["no entry can be used", *found]))
    try:
        hosts = HostList(candidate.version, tuple(entries.values()))
    except CheckError as error:
        return Invalid(str(error))
    return Partial(hosts, tuple(left_out)) if left_out else hosts


def _read_change(
    candidate: Candidate,
) -> tuple[dict[str, HostListEntry], list[LeftOut]]:
    """Returns the usable entries by name, and the changed unusable ones."""
    previous = candidate.previous
    entries: dict[str, HostListEntry] = {}
    if isinstance(previous, HostList):
        entries = {e.name: e for e in previous.entries}
    for path in candidate.change.removed:
        entries.pop(path.removeprefix(_ENTRY_PREFIX), None)
    left_out = []
    for record in candidate.change.changed:
        if not record.path.startswith(_ENTRY_PREFIX):
            continue
        name = record.path.removeprefix(_ENTRY_PREFIX)
        entry = _read_entry(name, record.body)
        if isinstance(entry, Problem):
            # Hosts that read the whole list don't know what it was before.
            entries.pop(name, None)
            left_out.append(LeftOut(name, str(entry)))
        else:
            entries[name] = entry
    return entries, left_out


def _read_entry(name: str, body: bytes) -> HostListEntry | Problem:
    entry = parse_host_entry(body)
    if isinstance(entry, HostListEntry) and entry.name != name:
        return Problem("name", "differs from the record's", "publish it again")
    return entry


def _has_entries(candidate: Candidate) -> bool:
    return any(
        path.startswith(_ENTRY_PREFIX) for path in candidate.snapshot.records
    )
