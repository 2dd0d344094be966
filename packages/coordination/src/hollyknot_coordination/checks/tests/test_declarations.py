"""Tests that the incremental check agrees with the full check."""

import hashlib
from typing import Any

import orjson
import pytest

from hollyknot_coordination.checks import check_declarations
from hollyknot_coordination.spread import Absent, Candidate, Invalid
from hollyknot_coordination.spread._records import (
    find_change,
    make_snapshot,
    read_records,
)
from hollyknot_state import (
    Declarations,
    DocumentKind,
    Problems,
    parse_declarations,
)


def _customer(key: str, *classes: str) -> dict[str, Any]:
    digest = hashlib.sha256(key.encode()).hexdigest()
    return {
        "key_sha256": digest,
        "classes": list(classes),
        "default_class": classes[0],
    }


def _document(**customers: dict[str, Any]) -> dict[str, Any]:
    target = {"whole_answer_ms": 2000}
    return {
        "data_centres": ["hall-a"],
        "classes": {
            "lookup": {"tier": 2, "target": target},
            "counter": {"tier": 1, "target": target},
        },
        "customers": customers,
        "models": {"tariff": {"description": ""}},
        "services": {},
    }


_BEFORE = _document(a=_customer("a", "lookup"), b=_customer("b", "counter"))


def _candidate(after: dict[str, Any]) -> Candidate:
    kind = DocumentKind.DECLARATIONS
    old = read_records(kind, orjson.dumps(_BEFORE))
    new = read_records(kind, orjson.dumps(after))
    previous = parse_declarations(orjson.dumps(_BEFORE), 1)
    return Candidate(
        make_snapshot(kind, 2, new), find_change(old, new), previous
    )


_CASES = {
    "one customer changed": _document(
        a=_customer("a", "counter"), b=_customer("b", "counter")
    ),
    "one added": _document(
        a=_customer("a", "lookup"),
        b=_customer("b", "counter"),
        c=_customer("c", "lookup"),
    ),
    "one removed": _document(a=_customer("a", "lookup")),
    "keys swapped": _document(
        a=_customer("b", "lookup"), b=_customer("a", "counter")
    ),
    "a key taken over": _document(c=_customer("a", "lookup")),
    "a key shared": _document(
        a=_customer("b", "lookup"), b=_customer("b", "counter")
    ),
    "an unknown class": _document(
        a=_customer("a", "nightly"), b=_customer("b", "counter")
    ),
    "a wrong type": _document(a={"key_sha256": 7}, b=_customer("b", "counter")),
    "an unknown field": _document(
        a=_customer("a", "lookup") | {"weight": 3},
        b=_customer("b", "counter"),
    ),
    "a class changed": _BEFORE
    | {"classes": _BEFORE["classes"] | {"counter": {"tier": 9}}},
    "a class in use removed": _BEFORE
    | {"classes": {"lookup": _BEFORE["classes"]["lookup"]}},
}


class TestCheckDeclarations:
    """Verdict and value equal those of the full check."""

    @pytest.mark.parametrize("after", _CASES.values(), ids=_CASES.keys())
    def test_agrees_with_the_full_check(self, after: dict[str, Any]) -> None:
        whole = parse_declarations(orjson.dumps(after), 2)
        found = check_declarations(_candidate(after))
        assert isinstance(found, Invalid) == isinstance(whole, Problems)
        if isinstance(whole, Declarations):
            assert found == whole

    def test_first_version_gets_the_full_check(self) -> None:
        kind = DocumentKind.DECLARATIONS
        records = read_records(kind, orjson.dumps(_BEFORE))
        candidate = Candidate(
            make_snapshot(kind, 1, records),
            find_change({}, records),
            Absent.ABSENT,
        )
        found = check_declarations(candidate)
        assert found == parse_declarations(orjson.dumps(_BEFORE), 1)
