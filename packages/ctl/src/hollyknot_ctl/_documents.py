"""Reads and checks the files that operators pass to the tool."""

import enum
import json
import pathlib
import sys
from collections.abc import Iterator

import attrs
import click

from hollyknot_ctl._output import EXIT_BAD_INPUT, printable
from hollyknot_state import (
    Declarations,
    HostList,
    Problem,
    Problems,
    Settings,
    parse_declarations,
    parse_host_list,
    parse_settings,
)

_UNPUBLISHED = 0
"""Version of declarations that have not been published."""
_MAX_BYTES = 17 * 1024 * 1024


class Kind(enum.Enum):
    """The kind of document in a file."""

    DECLARATIONS = "declarations"
    SETTINGS = "settings"
    HOST_LIST = "host-list"


@attrs.frozen
class CheckedFile:
    """A file that was read and checked.

    Attributes:
        name: Path of the file, as the operator wrote it.
        kind: Kind of document that it was checked as.
        result: The parsed document, or the problems found in it.
    """

    name: str
    kind: Kind
    result: Declarations | Settings | HostList | Problems

    @property
    def problems(self) -> tuple[Problem, ...]:
        """The problems found; empty if the file is valid."""
        if isinstance(self.result, Problems):
            return self.result.problems
        return ()


def read_file(name: str, kind: Kind | None) -> CheckedFile:
    """Reads and checks a file.

    Args:
        name: Path of the file.
        kind: Kind of document to check it as; None to detect it from the
            content.
    """
    path = pathlib.Path(name)
    try:
        with path.open("rb") as file:
            data = file.read(_MAX_BYTES)
    except OSError as e:
        problem = Problem("", f"can't be read: {e.strerror}", "check the path")
        return CheckedFile(
            name, kind or Kind.DECLARATIONS, Problems((problem,))
        )
    found = kind or _guess_kind(data)
    return CheckedFile(name, found, _parse(data, found, path.parent))


def read_declarations(name: str) -> Declarations:
    """Reads declarations; prints the problems and exits if it can't."""
    checked = read_file(name, Kind.DECLARATIONS)
    if not isinstance(checked.result, Declarations):
        for line in problem_lines(checked):
            click.echo(line, err=True)
        sys.exit(EXIT_BAD_INPUT)
    return checked.result


def problem_lines(checked: CheckedFile) -> Iterator[str]:
    """Returns one line for each problem: file, path, problem, remedy."""
    for problem in checked.problems:
        yield printable(f"{checked.name}: {problem}")
    if isinstance(checked.result, Problems) and checked.result.more:
        yield printable(f"{checked.name}: and {checked.result.more} more")


def _parse(
    data: bytes, kind: Kind, folder: pathlib.Path
) -> Declarations | Settings | HostList | Problems:
    if kind is Kind.DECLARATIONS:
        return parse_declarations(data, _UNPUBLISHED)
    if kind is Kind.HOST_LIST:
        return parse_host_list(data)
    parsed = parse_settings(data)
    if isinstance(parsed, Settings):
        missing = tuple(_missing_files(parsed, folder))
        return Problems(missing) if missing else parsed
    return parsed


def _missing_files(
    settings: Settings, folder: pathlib.Path
) -> Iterator[Problem]:
    if settings.tls is None:
        return
    for attribute in attrs.fields(type(settings.tls)):
        file = folder / getattr(settings.tls, attribute.name)
        if not file.is_file():
            yield Problem(
                f"tls.{attribute.name}",
                f"there is no file {file}",
                "name a file that is there on the host, or run this there",
            )


def _guess_kind(data: bytes) -> Kind:
    """Detects the kind from the top-level fields; declarations by default."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return Kind.DECLARATIONS
    fields = set(value) if isinstance(value, dict) else set()
    shared = {
        kind: len(fields & {a.name for a in attrs.fields(cls)})
        for kind, cls in (
            (Kind.DECLARATIONS, Declarations),
            (Kind.SETTINGS, Settings),
            (Kind.HOST_LIST, HostList),
        )
    }
    return max(shared, key=lambda kind: shared[kind])
