"""Tests of document readers: all mistakes are reported, none raises."""

import copy
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollyknot_state import (
    Address,
    CallPattern,
    CheckError,
    Declarations,
    HostList,
    Problems,
    Settings,
    check_references,
    dump_declarations,
    parse_declarations,
    parse_host_list,
    parse_settings,
)
from hollyknot_state._problem import MAX_PROBLEMS, join_path

_DECLARATIONS: dict[str, Any] = {
    "data_centres": ["hall-a", "hall-b"],
    "classes": {
        "counter": {"tier": 1, "target": {"first_token_ms": 800}},
        "night": {"tier": 3, "target": {"whole_answer_ms": 3_600_000}},
    },
    "customers": {
        "desk": {
            "key_sha256": "a" * 64,
            "classes": ["counter", "night"],
            "default_class": "counter",
        },
        "kiosk": {
            "key_sha256": "b" * 64,
            "classes": ["counter"],
            "default_class": "counter",
        },
    },
    "models": {"org/drafts-7b": {"description": "Drafts."}},
    "services": {
        "permits": {
            "non_idempotent": [{"method": "PUT", "path": "/orders*"}],
            "idempotent": [{"method": "POST", "path": "/search"}],
        }
    },
}
_SETTINGS: dict[str, Any] = {
    "host": "hall-a-1",
    "data_centre": "hall-a",
    "callers": {"ip": "127.0.0.1", "port": 0},
    "links": {"ip": "::1", "port": 7000},
    "operators": {"ip": "127.0.0.1", "port": 0},
    "platform": {
        "configuration": [{"ip": "10.0.0.1", "port": 80}],
        "host_list": [{"ip": "10.0.0.1", "port": 81}],
    },
    "link_keys": ["k" * 32],
}
_HOSTS: dict[str, Any] = {
    "revision": 4,
    "entries": [
        {
            "name": "e1",
            "role": "engine",
            "data_centre": "hall-a",
            "ip": "10.0.0.2",
            "port": 80,
            "pools": ["org/drafts-7b"],
            "state": "leaving",
        }
    ],
}
_READERS = {
    "declarations": lambda data: parse_declarations(data, 1),
    "settings": parse_settings,
    "hosts": parse_host_list,
}
_DOCUMENTS = {
    "declarations": _DECLARATIONS,
    "settings": _SETTINGS,
    "hosts": _HOSTS,
}
_REMOVED = object()

# Document; keys to the changed value, joined by slashes; new value; reported
# path, None for the same keys; text in the reported problem.
_MISTAKES = [
    ("declarations", "classes/counter/tier", "1", None, "not an integer"),
    ("declarations", "classes/counter/tier", True, None, "not an integer"),
    ("declarations", "classes/counter/tier", 1.0, None, "not an integer"),
    ("declarations", "classes/counter/tier", 4, None, "choose 1 to 3"),
    ("declarations", "classes/counter/tier", _REMOVED, None, "is missing"),
    ("declarations", "classes/counter/tire", 1, None, 'mean "tier"'),
    ("declarations", "classes/counter/target", {}, None, "has to begin or end"),
    (
        "declarations",
        "classes/counter/target",
        {"between_tokens_ms": 5},
        None,
        "has to begin or end",
    ),
    (
        "declarations",
        "classes/counter/target/whole_answer_ms",
        700,
        "classes.counter.target",
        "later than whole",
    ),
    (
        "declarations",
        "classes/counter/target/first_token_ms",
        86_400_001,
        None,
        "86_400_000 ms",
    ),
    ("declarations", "classes/counter/target", [], None, "not an object"),
    ("declarations", "classes/a b", None, 'classes["a b"]', "usable name"),
    ("declarations", "classes", [], None, "not an object"),
    ("declarations", "clases", {}, None, 'did you mean "classes"'),
    ("declarations", "version", 3, None, "leave it out"),
    ("declarations", "data_centres", ["a\n"], "data_centres[0]", "usable"),
    ("declarations", "data_centres", ["a", "a"], "data_centres[1]", "once"),
    ("declarations", "data_centres", "hall-a", None, "not an array"),
    ("declarations", "customers/desk/key_sha256", "A" * 64, None, "64 lower"),
    ("declarations", "customers/desk/key_sha256", "a" * 63, None, "64 lower"),
    ("declarations", "customers/kiosk/key_sha256", "a" * 64, None, '"desk"'),
    ("declarations", "customers/desk/classes/1", "nigth", None, '"night"?'),
    ("declarations", "customers/desk/classes/1", "counter", None, "more than"),
    ("declarations", "customers/desk/classes", [], None, "is empty"),
    ("declarations", "customers/kiosk/default_class", "night", None, "among"),
    ("declarations", "customers/kiosk/default_class", None, None, "a string"),
    ("declarations", "customers/Ключ", {}, 'customers["Ключ"]', "usable name"),
    ("declarations", "models/permits", {}, "services.permits", "a model has"),
    ("declarations", "models/x/description", "d" * 1001, None, "too long"),
    ("declarations", "services/a~b", {}, 'services["a~b"]', "usable name"),
    ("declarations", "services/permits/remember_s", 0, None, "out of range"),
    (
        "declarations",
        "services/permits/idempotent/0",
        {"method": "PUT", "path": "/orders*"},
        None,
        "non-idempotent too",
    ),
    (
        "declarations",
        "services/permits/idempotent/0/method",
        "post",
        None,
        "in capitals",
    ),
    *(
        (
            "declarations",
            "services/permits/idempotent/0/path",
            p,
            None,
            expected_text,
        )
        for p, expected_text in (
            ("search", "begin with '/'"),
            ("/a*b", "at the end only"),
            ("/%6frders", "write /orders"),
            ("/a/../b", "dot segment"),
            ("/a%2fb", "encoded slash"),
            ("/" + "a" * 500, "500 characters"),
        )
    ),
    ("settings", "host", "", None, "usable name"),
    ("settings", "callers/ip", "localhost", None, "names are not resolved"),
    ("settings", "callers/port", 65_536, None, "0 to 65_535"),
    ("settings", "platform/host_list", [], None, "is empty"),
    ("settings", "platform/host_list/0/port", 0, None, "connected to"),
    ("settings", "link_keys", [], None, "0 keys"),
    ("settings", "link_keys", ["k" * 32, "l" * 32, "m" * 32], None, "3 keys"),
    ("settings", "link_keys/0", "k" * 31, None, "31 characters"),
    ("settings", "link_keys/1", "k" * 32, None, "equals the first"),
    ("settings", "tls/certificate", "", None, "is empty"),
    ("settings", "tls/key", _REMOVED, None, "is missing"),
    ("settings", "max_body_bytes", 0, None, "out of range"),
    ("settings", "stop_grace_s", -1, None, "out of range"),
    ("settings", "stop_grace_s", "1", None, "not a number"),
    ("hosts", "entries/0/role", "engin", None, 'did you mean "engine"'),
    ("hosts", "entries/0/port", 0, None, "out of range"),
    ("hosts", "entries/0/pools", [""], "entries[0].pools[0]", "usable name"),
    ("hosts", "entries/1", _HOSTS["entries"][0], "entries[1].name", "twice"),
    ("hosts", "revision", -1, None, "out of range"),
]


def _with_value(document: dict[str, Any], slash_path: str, value: Any) -> bytes:
    """Returns a document as JSON with one value set, appended or removed."""
    changed = copy.deepcopy(document)
    *steps, last = slash_path.split("/")
    item: Any = changed
    for step in steps:
        if isinstance(item, list):
            item = item[int(step)]
        else:
            item = item.setdefault(step, {})
    if isinstance(item, list):
        item[int(last) : int(last) + 1] = [value]
    elif value is _REMOVED:
        item.pop(last, None)
    else:
        item[last] = value
    return json.dumps(changed).encode()


def _dotted(slash_path: str) -> str:
    return join_path(
        int(s) if s.isdigit() else s for s in slash_path.split("/")
    )


class TestValidDocuments:
    """Documents without mistakes are read."""

    def test_declarations_come_back_from_their_dump(self) -> None:
        first = parse_declarations(json.dumps(_DECLARATIONS), 7)
        assert isinstance(first, Declarations)
        assert first.version == 7
        assert parse_declarations(dump_declarations(first), 7) == first
        assert check_references(first) is None

    def test_settings_are_read(self) -> None:
        parsed = parse_settings(json.dumps(_SETTINGS))
        assert isinstance(parsed, Settings)
        assert parsed.links == Address("::1", 7000)
        whole = json.dumps({**_SETTINGS, "stop_grace_s": 3, "tls": None})
        again = parse_settings(whole)
        assert isinstance(again, Settings)
        assert type(again.stop_grace_s) is float

    def test_unknown_field_of_the_host_list_is_ignored(self) -> None:
        """Guards against refusing a host list to which a field was added.

        If a new release of the platform adds "zone" to each entry and hosts
        refuse unknown fields, they keep an old list and go on sending work to
        upstreams that left long ago.
        """
        parsed = parse_host_list(_with_value(_HOSTS, "entries/0/zone", 1))
        assert isinstance(parsed, HostList)
        assert parsed.entries[0].name == "e1"


class TestMistakes:
    """Problems that are reported for refused documents."""

    @pytest.mark.parametrize(
        ("kind", "slash_path", "value", "path", "expected_text"), _MISTAKES
    )
    def test_mistake_is_reported_with_its_path(
        self,
        kind: str,
        slash_path: str,
        value: Any,
        path: str | None,
        expected_text: str,
    ) -> None:
        document = _DOCUMENTS[kind]
        assert not isinstance(_READERS[kind](json.dumps(document)), Problems)
        result = _READERS[kind](_with_value(document, slash_path, value))
        assert isinstance(result, Problems)
        lines = [str(p) for p in result.problems]
        expected = path or _dotted(slash_path)
        assert any(
            line.startswith(f"{expected}: ") and expected_text in line
            for line in lines
        ), lines

    def test_all_mistakes_are_reported_at_once(self) -> None:
        document = copy.deepcopy(_DECLARATIONS)
        document["customers"]["desk"]["classes"] = ["nigth", 7]
        document["customers"]["desk"]["key_sha256"] = "x"
        document["classes"]["counter"] = {"tier": 9, "target": {}, "x": 1}
        result = parse_declarations(json.dumps(document), 1)
        assert isinstance(result, Problems)
        assert {p.path for p in result.problems} == {
            "classes.counter.tier",
            "classes.counter.target",
            "classes.counter.x",
            "customers.desk.key_sha256",
            "customers.desk.classes[1]",
            "customers.desk.classes[0]",
            "customers.desk.default_class",
        }

    def test_mistakes_beyond_the_bound_are_counted(self) -> None:
        document = copy.deepcopy(_DECLARATIONS)
        document["customers"] = {f"c{n}": {} for n in range(5_000)}
        result = parse_declarations(json.dumps(document), 1)
        assert isinstance(result, Problems)
        assert len(result.problems) == MAX_PROBLEMS
        assert result.more == 3 * 5_000 - MAX_PROBLEMS
        assert str(result).endswith("and 14900 more")

    def test_secrets_are_not_shown_in_problems(self) -> None:
        """Guards against logging a secret that was pasted into a document.

        If an operator pastes a bearer key where its hash belongs, or a link key
        that is too short, a problem that quotes the value would log the key.
        """
        secret = "s3cret-but-short"
        slash_path = "customers/desk/key_sha256"
        declarations = parse_declarations(
            _with_value(_DECLARATIONS, slash_path, secret), 1
        )
        links = parse_settings(_with_value(_SETTINGS, "link_keys/0", secret))
        for result in (declarations, links):
            assert isinstance(result, Problems)
            assert secret not in str(result)


class TestInvalidText:
    """Text that is not acceptable JSON is refused."""

    @pytest.mark.parametrize(
        ("text", "expected_text"),
        [
            (b"\xff{}", "not UTF-8 at byte 0 (line 1)"),
            ("\ud800", "not valid Unicode"),
            ('{"a":\n 1,}', "line 2, column"),
            ("", "line 1, column 1"),
            ("NaN", "NaN is not a JSON number"),
            ("1e999", "too large"),
            ("9" * 5_000, "too large"),
            ("[" * 60_000, "deeper than 12"),
            ("[" * 20 + "]" * 20, "deeper than 12"),
            ('"\\ud800"', "surrogate"),
            ('{"\\ud800": 1}', "surrogate"),
            ("[]", "an array is not an object"),
            (" " * 70_000, "too large"),
            ('{"platform": {"x": 1, "x": 2}}', "platform.x: the key stands"),
        ],
    )
    def test_invalid_text_is_refused(
        self, text: bytes | str, expected_text: str
    ) -> None:
        result = parse_settings(text)
        assert isinstance(result, Problems)
        assert expected_text in str(result)


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
_ANY_DOCUMENT = (
    st.binary()
    | st.text(st.characters(exclude_categories=()))
    | _JSON.map(json.dumps)
    | st.builds(
        lambda case, value: _with_value(_DOCUMENTS[case[0]], case[1], value),
        st.sampled_from([m for m in _MISTAKES if m[2] is not _REMOVED]),
        _JSON,
    )
)


class TestArbitraryInput:
    """Readers of arbitrary bytes and JSON values never raise."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=400)
    @given(data=_ANY_DOCUMENT, kind=st.sampled_from(sorted(_READERS)))
    def test_gives_a_value_or_problems(
        self, data: bytes | str, kind: str
    ) -> None:
        result = _READERS[kind](data)
        if isinstance(result, Problems):
            assert result.problems
            assert str(result).encode()
        else:
            assert isinstance(result, Declarations | Settings | HostList)


class TestValues:
    """Values are checked however they are built."""

    def test_huge_version_is_reported(self) -> None:
        result = parse_declarations("{}", 10**5_000)
        assert isinstance(result, Problems)
        assert "bits is out of range" in str(result)

    def test_values_are_checked_when_they_are_built(self) -> None:
        with pytest.raises(CheckError, match="not an IP address"):
            Address("localhost", 80)
        with pytest.raises(CheckError, match="in capitals"):
            CallPattern("post", "/")
