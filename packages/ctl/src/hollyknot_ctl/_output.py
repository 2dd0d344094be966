"""Exit codes and the two output formats: lines for people, and JSON."""

import enum
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import attrs
import click
import orjson

EXIT_OK = 0
EXIT_UNREACHABLE = 1
EXIT_BAD_INPUT = 2

json_option = click.option(
    "--json", "as_json", is_flag=True, help="Write JSON instead of lines."
)


def examples(*commands: str) -> str:
    """Formats the examples of a help page, which click must not rewrap."""
    return "\b\nExamples:\n" + "\n".join(f"  {c}" for c in commands)


def fail(message: str, code: int) -> NoReturn:
    """Writes one error line to standard error and exits with a code."""
    click.echo(f"hollyknotctl: {printable(message)}", err=True)
    sys.exit(code)


def echo_json(value: Any) -> None:
    """Writes a value as indented JSON."""
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    click.echo(orjson.dumps(to_json(value), option=options).decode())


def to_json(value: Any) -> Any:
    """Turns attrs values, enums and tuples into JSON values."""
    if attrs.has(type(value)):
        return {
            a.name: to_json(getattr(value, a.name))
            for a in attrs.fields(type(value))
        }
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {str(k): to_json(v) for k, v in value.items()}
    if isinstance(value, tuple | list):
        return [to_json(v) for v in value]
    return value


def printable(text: str) -> str:
    """Escapes characters that would break a line or control the terminal.

    File names and answers from the network may contain escape sequences, with
    which their author could change what the operator sees.
    """
    return "".join(
        c if c.isprintable() else c.encode("unicode_escape").decode()
        for c in text
    )


def table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Formats rows as aligned columns, in the order given."""
    cells = [list(headings), *([printable(str(c)) for c in r] for r in rows)]
    widths = [max(len(r[i]) for r in cells) for i in range(len(headings))]
    lines = (
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True))
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)
