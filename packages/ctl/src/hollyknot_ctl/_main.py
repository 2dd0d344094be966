"""The command group and entry point of `hollyknotctl`."""

import sys

import click

from hollyknot_ctl._check import check
from hollyknot_ctl._completion import completion
from hollyknot_ctl._diff import diff
from hollyknot_ctl._explain import explain_command
from hollyknot_ctl._explain_failure import explain_failure
from hollyknot_ctl._hash_key import hash_key
from hollyknot_ctl._output import EXIT_BAD_INPUT, examples, fail
from hollyknot_ctl._status import status
from hollyknot_ctl._who_paid import who_paid


@click.group(
    epilog=examples(
        "hollyknotctl check declarations.json",
    ),
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.version_option(package_name="hollyknot-ctl")
def cli() -> None:
    """Check, compare and explain declarations, and show a host's status.

    Exits with 0 on success, 1 if a host can't be reached and 2 if the input is
    invalid.
    """


for _command in (
    check,
    diff,
    explain_command,
    explain_failure,
    who_paid,
    status,
    hash_key,
    completion,
):
    cli.add_command(_command)


def main() -> None:
    """Runs `hollyknotctl` and reports any exception as one line."""
    try:
        cli(prog_name="hollyknotctl")
    except Exception as e:
        # During an incident an operator needs one line that says what failed,
        # not a traceback of forty lines.
        fail(f"internal error of this tool: {e!r}", EXIT_BAD_INPUT)
    sys.exit(0)
