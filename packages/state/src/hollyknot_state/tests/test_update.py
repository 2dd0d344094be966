"""Tests that a change and the whole document give equal declarations."""

import copy
import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from hollyknot_state import (
    Declarations,
    DocumentRecord,
    Problems,
    parse_declarations,
    update_declarations,
)

_CUSTOMER = {
    "key_sha256": "a" * 64,
    "classes": ["counter"],
    "default_class": "counter",
}
_CLASS = {"tier": 1, "target": {"first_token_ms": 800}}
_BASE: dict[str, Any] = {
    "data_centres": ["hall-a"],
    "classes": {"counter": _CLASS, "night": _CLASS},
    "customers": {"desk": _CUSTOMER},
    "models": {"org/drafts": {}},
    "services": {"permits": {}},
}


def _records(document: dict[str, Any]) -> dict[str, bytes]:
    records = {}
    for section, content in document.items():
        if isinstance(content, dict) and content:
            for name, value in content.items():
                records[f"{section}/{name}"] = json.dumps(value).encode()
        else:
            records[section] = json.dumps(content).encode()
    return records


def _update(
    new: dict[str, Any], base: dict[str, Any] = _BASE
) -> Declarations | Problems:
    previous = parse_declarations(json.dumps(base), 1)
    assert isinstance(previous, Declarations)
    old_records, new_records = _records(base), _records(new)
    changed = [
        DocumentRecord(path, body)
        for path, body in new_records.items()
        if old_records.get(path) != body
    ]
    removed = [path for path in old_records if path not in new_records]
    return update_declarations(previous, 2, changed, removed)


_VALUES = st.sampled_from(
    [
        _CUSTOMER,
        {**_CUSTOMER, "key_sha256": "b" * 64},
        {**_CUSTOMER, "classes": ["gone"], "default_class": "gone"},
        _CLASS,
        {"tier": "1"},
        {"remember_s": 60},
        {},
        [],
        ["hall-b"],
        ["hall-b", 1],
        None,
        "text",
    ]
)
_EDITS = st.lists(
    st.tuples(
        st.sampled_from([*_BASE, "clases"]),
        st.sampled_from(["", "counter", "desk", "kiosk", "permits", "a b"]),
        _VALUES | st.just("remove"),
    ),
    max_size=3,
)


def _edit(
    document: dict[str, Any], section: str, name: str, value: Any
) -> None:
    container, key = document, section
    if name and isinstance(document.get(section), dict):
        container, key = document[section], name
    if value == "remove":
        container.pop(key, None)
    else:
        container[key] = value


class TestUpdate:
    """Compares `update_declarations` with `parse_declarations`."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=500)
    @given(edits=_EDITS)
    def test_gives_what_the_whole_gives(
        self, edits: list[tuple[str, str, Any]]
    ) -> None:
        """A host that learns by changes drifts from one that reads the whole.

        Symptom: one host refuses a version that another has in force.
        Sequence: a class is removed that an unchanged customer uses; the
            changed parts alone have no mistake.
        Cause: a check that looks at the changed parts only.
        """
        new = copy.deepcopy(_BASE)
        for section, name, value in edits:
            _edit(new, section, name, copy.deepcopy(value))
        whole = parse_declarations(json.dumps(new), 2)
        updated = _update(new)
        if isinstance(whole, Problems):
            assert isinstance(updated, Problems)
        else:
            assert updated == whole

    def test_first_and_last_entry_of_a_section(self) -> None:
        """Guards against losing the first entry of an empty section.

        An empty section is a record of its own, which is removed when the first
        entry is added. If its removal also dropped the new entry, the first
        customer would have no access on hosts that apply changes.
        """
        empty = _BASE | {"customers": {}}
        assert _update(_BASE, empty) == parse_declarations(json.dumps(_BASE), 2)
        assert _update(empty) == parse_declarations(json.dumps(empty), 2)

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        records=st.lists(
            st.builds(
                DocumentRecord,
                st.sampled_from([*_BASE, "version", "x", ""])
                | st.sampled_from(["classes/", "version/a", "models/a/b"]),
                st.binary(max_size=8) | st.just(b"{}"),
            )
        ),
        removed=st.lists(
            st.sampled_from(["", "x", "x/y", "version/1", "data_centres/1"])
        ),
    )
    def test_never_raises(
        self, records: list[DocumentRecord], removed: list[str]
    ) -> None:
        previous = Declarations(version=1)
        found = update_declarations(previous, 2, records, removed)
        assert isinstance(found, Declarations | Problems)

    def test_change_cannot_set_the_version(self) -> None:
        """Guards against a change that sets the version itself.

        If a record named `version` in a peer's change replaced the version that
        the reader fills in, a host would have a version in force that was never
        published.
        """
        for path in ("version", "version/a"):
            record = DocumentRecord(path, b"9")
            found = update_declarations(
                Declarations(version=1), 2, [record], []
            )
            assert isinstance(found, Problems)
