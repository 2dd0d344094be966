"""Splits documents into records, so that small changes make small deltas.

The path of a record is `section/key` if the section is a JSON object, and
`section` otherwise. The list of hosts is treated as an object that is keyed by
name. A digest is the sum of the hashes of the records: it changes with each
record, does not depend on their order, and is updated without reading the
unchanged ones. Peers are authenticated, so the hash need not resist forgery.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import orjson
import xxhash

from hollyknot_state import (
    DocumentKind,
    DocumentRecord,
    DocumentVersion,
    LeftOut,
    Problem,
    split_host_list,
)

Records = dict[str, bytes]
"""Record bodies by path; not modified once it is in a `Snapshot`."""

_DIGEST_MASK = (1 << 63) - 1
_HOST_ENTRIES = "entries"
_VERSION_FIELDS = {
    DocumentKind.DECLARATIONS: "version",
    DocumentKind.HOSTS: "revision",
}


class UnreadableError(ValueError):
    """Raised if a body cannot be split into records, so it has no digest."""


@attrs.frozen
class Snapshot:
    """A document at a version.

    Attributes:
        version: Version number with the document's kind and the digest.
        records: Bodies of all records by path.
    """

    version: DocumentVersion
    records: Mapping[str, bytes] = attrs.field(repr=False)


@attrs.frozen
class Change:
    """The difference between two snapshots of a document.

    Attributes:
        changed: Records that are new or that differ.
        removed: Paths of the records that were removed.
    """

    changed: tuple[DocumentRecord, ...]
    removed: tuple[str, ...]

    @property
    def size(self) -> int:
        """Total bytes of the paths and bodies."""
        size = sum(len(r.path) + len(r.body) for r in self.changed)
        return size + sum(len(path) for path in self.removed)


def empty_snapshot(document: DocumentKind) -> Snapshot:
    """Returns the snapshot of a host that has not received a version yet."""
    return Snapshot(DocumentVersion(document, 0, 0), {})


def make_snapshot(
    document: DocumentKind, version: int, records: Mapping[str, bytes]
) -> Snapshot:
    """Returns a snapshot of the records with their digest."""
    digest = sum(_hash(path, body) for path, body in records.items())
    return Snapshot(
        DocumentVersion(document, version, digest & _DIGEST_MASK), records
    )


def read_records(document: DocumentKind, body: bytes) -> Records:
    """Returns the records of a document in the format of the platform.

    Raises:
        UnreadableError: The body can't be split into records.
    """
    return read_parts(document, body)[0]


def read_parts(
    document: DocumentKind, body: bytes
) -> tuple[Records, tuple[LeftOut, ...]]:
    """Returns a document's records, and what can't be one of them.

    Only entries of the host list are left out. Declarations are written by
    operators as a whole: one with a mistake is rejected as a whole.

    Raises:
        UnreadableError: The body can't be split into records.
    """
    if document is DocumentKind.HOSTS:
        return _read_host_list(body)
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise UnreadableError(
            f"the body is not valid JSON; publish a JSON object: {error}"
        ) from error
    if not isinstance(value, dict):
        raise UnreadableError(
            "the body is not a JSON object; publish an object"
        )
    value.pop(_VERSION_FIELDS[document], None)
    return _flatten(value), ()


def _read_host_list(body: bytes) -> tuple[Records, tuple[LeftOut, ...]]:
    parts = split_host_list(body)
    if isinstance(parts, Problem):
        raise UnreadableError(str(parts))
    parts.fields.pop(_VERSION_FIELDS[DocumentKind.HOSTS], None)
    records = _flatten(parts.fields)
    left_out = list(parts.left_out)
    for name, entry in parts.entries.items():
        try:
            records[f"{_HOST_ENTRIES}/{name}"] = dump_record(entry)
        except UnreadableError as error:
            left_out.append(LeftOut(name, str(error)))
    if left_out and not any(_is_entry(path) for path in records):
        raise UnreadableError(f"no entry can be read; {left_out[0].problem}")
    return records, tuple(left_out)


def _is_entry(path: str) -> bool:
    return path.startswith(f"{_HOST_ENTRIES}/")


def write_body(snapshot: Snapshot) -> bytes:
    """Returns the document in the format of the platform, for its check.

    The host list contains its revision; declarations do not contain a version.
    """
    document = snapshot.version.document
    value: dict[str, Any] = {}
    for path, body in snapshot.records.items():
        section, slash, key = path.partition("/")
        if slash:
            value.setdefault(section, {})[key] = orjson.Fragment(body)
        else:
            value[section] = orjson.Fragment(body)
    if document is DocumentKind.HOSTS:
        value[_HOST_ENTRIES] = list(value.get(_HOST_ENTRIES, {}).values())
        value[_VERSION_FIELDS[document]] = snapshot.version.version
    return orjson.dumps(value)


def dump_record(value: Any) -> bytes:
    """Returns the body of a record as JSON with sorted keys.

    The bytes are copied because orjson returns them in a buffer of 4 KB that
    it does not shrink. Without the copy a host grows by 70 MB with 18,000
    customers.

    Raises:
        UnreadableError: The value is nested too deeply.
    """
    try:
        written = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    except orjson.JSONEncodeError as error:
        raise UnreadableError(
            f"can't be written as JSON; flatten it: {error}"
        ) from error
    return bytes(bytearray(written))


def invert_change(change: Change, old: Mapping[str, bytes]) -> Change:
    """Returns the change that reverts a change of the old records."""
    paths = (*(r.path for r in change.changed), *change.removed)
    changed = (DocumentRecord(p, old[p]) for p in paths if p in old)
    added = (r.path for r in change.changed if r.path not in old)
    return Change(tuple(changed), tuple(added))


def find_change(old: Mapping[str, bytes], new: Mapping[str, bytes]) -> Change:
    """Returns the change that leads from the old records to the new ones."""
    changed = (
        DocumentRecord(path, body)
        for path, body in new.items()
        if old.get(path) != body
    )
    return Change(tuple(changed), tuple(p for p in old if p not in new))


def apply_change(
    base: Snapshot,
    version: int,
    changed: Iterable[DocumentRecord],
    removed: Iterable[str],
) -> Snapshot:
    """Returns the snapshot that results from a change, with its digest."""
    records = dict(base.records)
    digest = base.version.digest
    for path in removed:
        body = records.pop(path, None)
        if body is not None:
            digest -= _hash(path, body)
    for record in changed:
        body = records.get(record.path)
        if body is not None:
            digest -= _hash(record.path, body)
        records[record.path] = record.body
        digest += _hash(record.path, record.body)
    document = base.version.document
    return Snapshot(
        DocumentVersion(document, version, digest & _DIGEST_MASK), records
    )


def _hash(path: str, body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(path.encode() + b"\0" + body)


def _flatten(value: dict[str, Any]) -> Records:
    records: Records = {}
    for section, content in value.items():
        if "/" in section:
            raise UnreadableError(
                f"{section}: contains a slash; rename the field"
            )
        # An empty section stays a record of its own. If it were dropped, the
        # check would not see an unknown one, and a version that contains
        # nothing else would pass as empty and remove all customers.
        if isinstance(content, dict) and content:
            records.update(
                (f"{section}/{k}", dump_record(v)) for k, v in content.items()
            )
        else:
            records[section] = dump_record(content)
    return records
