"""Tests that the check of changed entries agrees with the full check."""

import copy
from typing import Any

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from hollyknot_coordination.checks import check_hosts
from hollyknot_coordination.spread import Absent, Candidate, Invalid, Partial
from hollyknot_coordination.spread._records import (
    find_change,
    make_snapshot,
    read_records,
)
from hollyknot_state import (
    DocumentKind,
    HostList,
    Problems,
    parse_host_list,
)

_KIND = DocumentKind.HOSTS


def _entry(name: str, **fields: Any) -> dict[str, Any]:
    entry = {
        "name": name,
        "role": "engine",
        "data_centre": "hall-a",
        "ip": "127.0.0.1",
        "port": 7,
        "pools": ["tariff"],
        "state": "live",
    }
    return entry | fields


_BEFORE = {"entries": [_entry("a"), _entry("b"), _entry("c", role="host")]}
_EDITS = st.lists(
    st.tuples(
        st.sampled_from("abcd"),
        st.sampled_from(
            [
                {"state": "leaving"},
                {"state": "gone"},
                {"port": 0},
                {"port": "7"},
                {"ip": "localhost"},
                {"pools": []},
                {"later_field": 1},
                "remove",
            ]
        ),
    ),
    max_size=4,
)


def _edited(edits: list[tuple[str, Any]]) -> dict[str, Any]:
    entries = {e["name"]: e for e in copy.deepcopy(_BEFORE["entries"])}
    for name, edit in edits:
        if edit == "remove":
            entries.pop(name, None)
        else:
            entries[name] = entries.get(name, _entry(name)) | edit
    return {"entries": list(entries.values())}


def _sorted(found: HostList) -> list[str]:
    return sorted(str(e) for e in found.entries)


def _hosts(found: object) -> HostList:
    value = found.value if isinstance(found, Partial) else found
    assert isinstance(value, HostList)
    return value


def _left_out(found: object) -> list[str]:
    if isinstance(found, Partial):
        return sorted(p.part for p in found.left_out)
    return []


class TestCheckHosts:
    """Verdict and entries equal those of the full check."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(edits=_EDITS)
    def test_agrees_with_the_full_check(
        self, edits: list[tuple[str, Any]]
    ) -> None:
        """Hosts that apply changes hold the same list as a full read.

        Otherwise hosts at the same revision send to different upstreams. The
        faults are a removed entry that is kept, or an invalid entry that is
        accepted, when one host applies a change and another reads the list.
        """
        after = _edited(edits)
        old = read_records(_KIND, orjson.dumps(_BEFORE))
        new = read_records(_KIND, orjson.dumps(after))
        previous = parse_host_list(orjson.dumps(_BEFORE | {"revision": 1}))
        snapshot = make_snapshot(_KIND, 2, new)
        found = check_hosts(
            Candidate(snapshot, find_change(old, new), previous)
        )
        full = check_hosts(
            Candidate(snapshot, find_change({}, new), Absent.ABSENT)
        )
        alone = [
            parse_host_list(orjson.dumps({"revision": 2, "entries": [e]}))
            for e in after["entries"]
        ]
        good = [p.entries[0] for p in alone if isinstance(p, HostList)]
        bad = [
            e["name"]
            for e, p in zip(after["entries"], alone, strict=True)
            if isinstance(p, Problems)
        ]
        assert isinstance(found, Invalid) == bool(bad and not good)
        assert isinstance(full, Invalid) == isinstance(found, Invalid)
        assert _left_out(found) == _left_out(full)
        for checked in (found, full):
            if not isinstance(checked, Invalid):
                hosts = _hosts(checked)
                assert _left_out(checked) == sorted(bad)
                assert _sorted(hosts) == sorted(str(e) for e in good)
                assert hosts.revision == 2
