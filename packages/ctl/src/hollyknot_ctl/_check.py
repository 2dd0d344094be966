"""The command `hollyknotctl check`, which validates documents."""

import sys

import click

from hollyknot_ctl._documents import CheckedFile, Kind, problem_lines, read_file
from hollyknot_ctl._output import (
    EXIT_BAD_INPUT,
    EXIT_OK,
    echo_json,
    examples,
    json_option,
    printable,
    to_json,
)
from hollyknot_state import Problems


@click.command(
    epilog=examples(
        "hollyknotctl check declarations.json",
        "hollyknotctl check --kind settings hall-a-*.json",
    ),
)
@click.argument("files", nargs=-1, required=True, metavar="FILE...")
@click.option(
    "--kind",
    type=click.Choice([kind.value for kind in Kind]),
    help="The kind of the files; detected from their content by default.",
)
@json_option
def check(files: tuple[str, ...], kind: str | None, as_json: bool) -> None:
    """Check declarations, settings or a host list before they are used.

    Prints one line for each mistake: file, path, problem, remedy. Exits with
    0 if all files are valid and with 2 if any is not.
    """
    expected = Kind(kind) if kind else None
    checked = [read_file(name, expected) for name in files]
    if as_json:
        echo_json([_as_json(c) for c in checked])
    else:
        for one in checked:
            _echo(one)
    sys.exit(EXIT_BAD_INPUT if any(c.problems for c in checked) else EXIT_OK)


def _echo(checked: CheckedFile) -> None:
    for line in problem_lines(checked):
        click.echo(line, err=True)
    if not checked.problems:
        click.echo(printable(f"{checked.name}: good {checked.kind.value}"))


def _as_json(checked: CheckedFile) -> dict[str, object]:
    is_refused = isinstance(checked.result, Problems)
    return {
        "file": checked.name,
        "kind": checked.kind.value,
        "good": not is_refused,
        "problems": to_json(checked.problems),
        "more": checked.result.more
        if isinstance(checked.result, Problems)
        else 0,
    }
