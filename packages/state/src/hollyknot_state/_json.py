"""Reads JSON strictly and reports what a lenient reader would accept.

Plain `json` keeps the last of two equal keys, accepts `NaN` and raises other
errors for deep nesting and long numbers. If a second `"classes"` silently
replaced the first, customers would lose access without any message, so all of
these are problems.
"""

import json
import math
from typing import Any

from hollyknot_state._problem import (
    PathPart,
    ProblemCollector,
    Problems,
    format_value,
)

MAX_DEPTH = 12
"""Deepest accepted nesting; valid documents have at most five levels."""

_MAX_DIGITS = 40


class _ObjectWithDuplicates(dict[str, Any]):
    """A JSON object with repeated keys."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        seen: set[str] = set()
        self.repeated: list[str] = []
        for key, _ in pairs:
            if key in seen:
                self.repeated.append(key)
            seen.add(key)


class _NumberError(ValueError):
    """A number that has no finite value."""


def read_json(data: bytes | str, max_bytes: int) -> Any | Problems:
    """Reads a JSON document.

    Args:
        data: The document, in UTF-8 if it is bytes.
        max_bytes: Size in bytes above which the document is refused unread.

    Returns:
        The value, or the problems of the text. It never raises.
    """
    text = _decode(data, max_bytes)
    if isinstance(text, Problems):
        return text
    try:
        value = json.loads(
            text,
            object_pairs_hook=_make_object,
            parse_constant=_refuse_constant,
            parse_float=_parse_finite,
            parse_int=_parse_bounded_int,
        )
    except json.JSONDecodeError as e:
        where = f"line {e.lineno}, column {e.colno}"
        return _single_problem(
            f"not JSON at {where}: {e.msg}", "mend the syntax there"
        )
    except _NumberError as e:
        return _single_problem(str(e), "write a finite number")
    except RecursionError:
        return _too_deep()
    return _check_tree(value)


def _decode(data: bytes | str, max_bytes: int) -> str | Problems:
    if isinstance(data, str):
        try:
            data = data.encode()
        except UnicodeEncodeError:
            return _single_problem(
                "not valid Unicode text", "save the file as UTF-8"
            )
    if len(data) > max_bytes:
        return _single_problem(
            f"{len(data)} bytes is too large",
            f"keep it to {max_bytes} bytes",
        )
    try:
        return data.decode()
    except UnicodeDecodeError as e:
        line = data.count(b"\n", 0, e.start) + 1
        return _single_problem(
            f"not UTF-8 at byte {e.start} (line {line})",
            "save the file as UTF-8",
        )


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    plain = dict(pairs)
    return plain if len(plain) == len(pairs) else _ObjectWithDuplicates(pairs)


def _refuse_constant(name: str) -> Any:
    raise _NumberError(f"{name} is not a JSON number")


def _parse_finite(text: str) -> float:
    number = float(text)
    if math.isinf(number):
        raise _NumberError(f"the number {text[:_MAX_DIGITS]} is too large")
    return number


def _parse_bounded_int(text: str) -> int:
    # For integers of thousands of digits, `int` raises a plain ValueError, and
    # so would their conversion to text in an error message.
    if len(text) > _MAX_DIGITS:
        raise _NumberError(f"the number {text[:_MAX_DIGITS]}... is too large")
    return int(text)


def _check_tree(value: Any) -> Any | Problems:
    """Finds repeated keys, deep nesting and strings that can't be encoded."""
    collector = ProblemCollector()
    waiting: list[tuple[tuple[PathPart, ...], Any]] = [((), value)]
    while waiting:
        path, item = waiting.pop()
        if len(path) > MAX_DEPTH:
            return _too_deep()
        if isinstance(item, _ObjectWithDuplicates):
            _add_repeated(collector, path, item)
        if isinstance(item, dict):
            for key, member in item.items():
                _check_text(collector, path, key)
                _check_member(collector, waiting, (*path, key), member)
        elif isinstance(item, list):
            for index, member in enumerate(item):
                _check_member(collector, waiting, (*path, index), member)
        elif isinstance(item, str):
            _check_text(collector, path, item)
    return collector.result or value


def _check_member(
    collector: ProblemCollector,
    waiting: list[tuple[tuple[PathPart, ...], Any]],
    path: tuple[PathPart, ...],
    member: Any,
) -> None:
    if isinstance(member, str):
        _check_text(collector, path, member)
    elif isinstance(member, dict | list):
        waiting.append((path, member))


def _add_repeated(
    collector: ProblemCollector,
    path: tuple[PathPart, ...],
    item: _ObjectWithDuplicates,
) -> None:
    for key in item.repeated:
        collector.add(
            (*path, key), "the key stands more than once", "keep one of them"
        )


def _check_text(
    collector: ProblemCollector, path: tuple[PathPart, ...], text: str
) -> None:
    # An escape such as \ud800 is half of a surrogate pair, which would raise
    # much later, wherever the text is first encoded.
    try:
        text.encode()
    except UnicodeEncodeError:
        collector.add(
            path,
            f"{format_value(text)} holds half of a surrogate pair",
            "write the whole character",
        )


def _too_deep() -> Problems:
    return _single_problem(
        f"nested deeper than {MAX_DEPTH} levels", "flatten the document"
    )


def _single_problem(problem: str, remedy: str) -> Problems:
    collector = ProblemCollector()
    collector.add((), problem, remedy)
    assert collector.result is not None
    return collector.result
