"""The command `hollyknotctl diff`, which compares two declarations."""

import click

from hollyknot_ctl._differences import Difference, find_differences
from hollyknot_ctl._documents import read_declarations
from hollyknot_ctl._output import echo_json, examples, json_option

_MAX_SHOWN_CUSTOMERS = 5


@click.command(
    epilog=examples(
        "hollyknotctl diff published.json declarations.json",
    ),
)
@click.argument("old", metavar="OLD")
@click.argument("new", metavar="NEW")
@json_option
def diff(old: str, new: str, as_json: bool) -> None:
    """Show what NEW declarations change against OLD, and for whom."""
    found = find_differences(read_declarations(old), read_declarations(new))
    if as_json:
        echo_json(found)
        return
    for difference in found:
        click.echo(_line(difference))
    if not found:
        click.echo("no differences")


def _line(difference: Difference) -> str:
    line = f"{difference.section}.{difference.name}: {difference.change}"
    customers = difference.customers
    if difference.section == "customers" or not customers:
        return line
    shown = ", ".join(customers[:_MAX_SHOWN_CUSTOMERS])
    more = len(customers) - _MAX_SHOWN_CUSTOMERS
    return f"{line} (for {shown}{f' and {more} more' if more > 0 else ''})"
