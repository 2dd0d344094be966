"""Reads and writes documents: declarations, settings and the host list.

Each reader accepts arbitrary bytes and returns a validated value or all
problems of the document; it never raises.
"""

from typing import Any, TypeVar

import orjson

from hollyknot_state._declarations import Declarations
from hollyknot_state._hosts import HostList, HostListEntry
from hollyknot_state._json import read_json
from hollyknot_state._problem import Problem, ProblemCollector, Problems
from hollyknot_state._references import check_raw_references
from hollyknot_state._settings import Settings
from hollyknot_state._structure import (
    structure,
    structure_or_first_problem,
    unstructure,
)

MAX_DECLARATIONS_BYTES = 16 * 1024 * 1024
MAX_SETTINGS_BYTES = 64 * 1024
MAX_HOST_LIST_BYTES = 16 * 1024 * 1024
MAX_HOST_ENTRY_BYTES = 64 * 1024

T = TypeVar("T")


def parse_declarations(
    data: bytes | str, version: int
) -> Declarations | Problems:
    """Reads declarations as operators publish them.

    Args:
        data: JSON without a version, which the configuration service assigns.
        version: Version under which the declarations were published.
    """
    document = read_json(data, MAX_DECLARATIONS_BYTES)
    if isinstance(document, Problems):
        return document
    collector = ProblemCollector()
    if isinstance(document, dict):
        document = dict(document)
        if "version" in document:
            collector.add(
                ("version",),
                "must not be given",
                "leave it out; publishing assigns the version",
            )
        document["version"] = version
    return _build(document, Declarations, collector)


def parse_settings(data: bytes | str) -> Settings | Problems:
    """Reads a host's settings, without checking that the named files exist."""
    document = read_json(data, MAX_SETTINGS_BYTES)
    if isinstance(document, Problems):
        return document
    return _build(document, Settings, ProblemCollector())


def parse_host_list(data: bytes | str) -> HostList | Problems:
    """Reads the platform's host list, for a report of all of its problems.

    Hosts read the entries one by one, by `parse_host_entry`.

    Unknown fields are ignored: the platform may add one at any time, and hosts
    that then refused the list would go on sending work to leaving upstreams.
    """
    document = read_json(data, MAX_HOST_LIST_BYTES)
    if isinstance(document, Problems):
        return document
    return _build(document, HostList, ProblemCollector(), strict=False)


def parse_host_entry(data: bytes) -> HostListEntry | Problem:
    """Reads an entry of the host list, or returns the first problem in it.

    Unknown fields are ignored, as in the whole list.
    """
    document = read_json(data, MAX_HOST_ENTRY_BYTES)
    if isinstance(document, Problems):
        return document.problems[0]
    return structure_or_first_problem(document, HostListEntry)


def dump_declarations(declarations: Declarations) -> bytes:
    """Writes declarations as JSON that `parse_declarations` reads.

    The version is left out and the keys are sorted, so that equal declarations
    give equal bytes.
    """
    document = unstructure(declarations)
    del document["version"]
    return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)


def _build(
    document: Any,
    cls: type[T],
    collector: ProblemCollector,
    *,
    strict: bool = True,
) -> T | Problems:
    built = structure(document, cls, collector, strict=strict)
    if cls is Declarations:
        check_raw_references(document, collector)
    if collector.result is not None:
        return collector.result
    assert built is not None
    return built
