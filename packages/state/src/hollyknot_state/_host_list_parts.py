"""Splits the platform's host list, so that an odd entry costs only itself.

Other programs may add entries to the list too. One that is no JSON, is nested
too deeply or has no name would otherwise hide all the others: a host would keep
an old list, or would serve nothing if it has just started.
"""

import re
from collections.abc import Iterator
from typing import Any

import attrs
import orjson

from hollyknot_state._problem import Problem

_ENTRIES = "entries"
_NAME = "name"
_MAX_TOKENS = 1_048_576
"""Most tokens of a list that is no JSON, a few times as many as a list has."""

_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_PLAIN = rb'[^\]\[{}"]++'
_FLAT = rb"\{(?:%b|%b|\[(?:%b|%b)*+\])*+\}" % (_PLAIN, _STRING, _PLAIN, _STRING)
_TOKEN = re.compile(rb"%b|%b|[\[{]+|[\]}]+|," % (_FLAT, _STRING), re.DOTALL)
"""An object with arrays of plain values, a string, brackets or a comma. Most
entries are one token."""

_KEY = re.compile(rb'"entries"\s*:\s*\[')
_NAME_FIELD = re.compile(rb'"name"\s*:\s*"([A-Za-z0-9._:/-]{1,127})"')


@attrs.frozen
class LeftOut:
    """A part of a document that can't be used.

    Attributes:
        part: Name of the part, or its place if it has no name.
        problem: Why it can't be used.
    """

    part: str
    problem: str


@attrs.frozen
class HostListParts:
    """The entries of a host list and the other fields.

    Attributes:
        fields: All fields but the entries.
        entries: The entries, as unchecked JSON values, by name.
        left_out: Entries that are no JSON or have no name of their own.
    """

    fields: dict[str, Any]
    entries: dict[str, Any]
    left_out: tuple[LeftOut, ...]


def split_host_list(body: bytes) -> HostListParts | Problem:
    """Returns the parts of a host list, or why it can't be split at all."""
    try:
        fields = orjson.loads(body)
        items: Any = fields.pop(_ENTRIES, None) if _is_object(fields) else None
    except orjson.JSONDecodeError as error:
        split = _split_text(body)
        if split is None:
            return Problem("", f"is not JSON: {error}", "publish JSON")
        fields, items = split
    if not _is_object(fields):
        return Problem("", "is not a JSON object", "publish an object")
    if not isinstance(items, list):
        return Problem(_ENTRIES, "is not an array", "publish an array")
    return _name_entries(fields, items)


def _is_object(value: Any) -> bool:
    return isinstance(value, dict)


def _name_entries(fields: dict[str, Any], items: list[Any]) -> HostListParts:
    entries: dict[str, Any] = {}
    left_out: list[LeftOut] = []
    for index, item in enumerate(items):
        if isinstance(item, LeftOut):
            left_out.append(attrs.evolve(item, part=item.part or _at(index)))
            continue
        name = item.get(_NAME) if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            left_out.append(LeftOut(_at(index), "has no name; give it one"))
        elif name in entries:
            left_out.append(LeftOut(name, "stands twice; rename one"))
        else:
            entries[name] = item
    return HostListParts(fields, entries, tuple(left_out))


def _at(index: int) -> str:
    return f"{_ENTRIES}[{index}]"


def _split_text(body: bytes) -> tuple[Any, list[Any]] | None:
    """Reads the entries of a text that is no JSON one by one.

    Returns:
        The other fields, and each entry or why it can't be read; None if the
        text is no JSON without its entries either.
    """
    start = _KEY.search(body)
    if start is None:
        return None
    ends = list(_item_ends(body, start.end()))
    if not ends or body[ends[-1] : ends[-1] + 1] != b"]":
        return None
    try:
        fields = orjson.loads(body[: start.end()] + body[ends[-1] :])
    except orjson.JSONDecodeError:
        return None
    if not _is_object(fields) or fields.pop(_ENTRIES, None) != []:
        return None
    begins = [start.end(), *(end + 1 for end in ends)]
    pairs = zip(begins, ends, strict=False)
    return fields, [_read_item(body[begin:end]) for begin, end in pairs]


def _item_ends(body: bytes, start: int) -> Iterator[int]:
    """Yields where the items of an array end, at its commas and its end."""
    depth = 0
    for count, token in enumerate(_TOKEN.finditer(body, start)):
        text = token.group()
        if count >= _MAX_TOKENS:
            return
        if text == b"," and not depth:
            yield token.start()
        elif text[:1] in b"]}":
            if len(text) > depth:
                yield token.start() + depth
                return
            depth -= len(text)
        elif text[-1:] in b"[{":
            depth += len(text)


def _read_item(text: bytes) -> Any:
    """Returns the JSON value of an entry, or the entry as left out."""
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        name = _NAME_FIELD.search(text)
        part = name.group(1).decode() if name else ""
        return LeftOut(part, f"is not JSON: {error}")
