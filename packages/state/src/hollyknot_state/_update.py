"""Applies a change to declarations without parsing the whole document again.

Parsing 18,000 customers takes some tenths of a second. If every host did so for
each change of a day, it would spend more on control than it may.
"""

from collections.abc import Iterable
from typing import Any

import attrs

from hollyknot_state._declarations import Declarations
from hollyknot_state._gossip_messages import DocumentRecord
from hollyknot_state._json import read_json
from hollyknot_state._problem import ProblemCollector, Problems
from hollyknot_state._references import check_references
from hollyknot_state._structure import structure

MAX_RECORD_BYTES = 1024 * 1024
_VERSION = "version"


def update_declarations(
    previous: Declarations,
    version: int,
    changed: Iterable[DocumentRecord],
    removed: Iterable[str],
) -> Declarations | Problems:
    """Returns the declarations after a change, or the problems of the change.

    The result equals that of `parse_declarations` for the whole document.

    Args:
        previous: Validated declarations.
        version: Version of the result.
        changed: New and changed parts with their JSON, under `section/name`, or
            under `section` for a section that is not an object.
        removed: Paths of the removed parts.
    """
    collector = ProblemCollector()
    part = _build_partial_document(changed, version, collector)
    built = structure(part, Declarations, collector)
    if collector.result is not None:
        return collector.result
    assert built is not None
    whole = _merge(previous, built, set(part), removed)
    return check_references(whole) or whole


def _build_partial_document(
    changed: Iterable[DocumentRecord],
    version: int,
    collector: ProblemCollector,
) -> dict[str, Any]:
    """Returns a document of the changed parts only."""
    part: dict[str, Any] = {_VERSION: version}
    for record in changed:
        section, slash, name = record.path.partition("/")
        value = read_json(record.body, MAX_RECORD_BYTES)
        if section == _VERSION:
            collector.add(
                (_VERSION,), "is not a part of a change", "leave it out"
            )
        elif isinstance(value, Problems):
            path = (section, name) if slash else (section,)
            for problem in value.problems:
                collector.add(path, str(problem), "publish it again")
        elif slash:
            entries = part.setdefault(section, {})
            if isinstance(entries, dict):
                entries[name] = value
        else:
            part[section] = value
    return part


def _merge(
    previous: Declarations,
    part: Declarations,
    sections: set[str],
    removed: Iterable[str],
) -> Declarations:
    values = {
        name: _merge_values(getattr(previous, name), getattr(part, name))
        for name in sections
    }
    defaults = Declarations(version=0)
    for path in removed:
        section, slash, name = path.partition("/")
        # An empty section is a record of its own, which is removed when the
        # section gets its first entry.
        has_changes = section in sections
        if not slash and hasattr(defaults, section) and not has_changes:
            values[section] = getattr(defaults, section)
        old = getattr(previous, section, None)
        if slash and isinstance(old, dict):
            values.setdefault(section, dict(old)).pop(name, None)
    return attrs.evolve(previous, **values)


def _merge_values(old: Any, new: Any) -> Any:
    return {**old, **new} if isinstance(new, dict) else new
