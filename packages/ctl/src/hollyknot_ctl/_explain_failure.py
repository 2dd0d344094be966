"""`hollyknotctl explain-failure`: what became of one request, from the logs."""

import re
from collections.abc import Iterable, Iterator
from typing import TextIO

import attrs
import click

from hollyknot_ctl._output import (
    EXIT_BAD_INPUT,
    echo_json,
    examples,
    fail,
    json_option,
)

CONTEXT_S = 3.0
"""Lines on the same upstream or host within this time may tell the cause: a
crash is judged, and a silent data centre seen, within a second or two."""

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_REQUEST_EVENTS = frozenset(
    {"try", "failed_try", "refused", "cut_off", "caller_gone"}
)
_UPSTREAM_EVENTS = frozenset(
    {
        "unreachable",
        "reachable",
        "ejected",
        "crash",
        "upstream",
        "upstream_gone",
    }
)
_HOST_EVENTS = frozenset(
    {
        "source_lost",
        "source_regained",
        "data_centre_silent",
        "tracker_silent",
        "watch_behind",
        "suspended",
        "stop",
        "start",
        "internal_error",
        "lines_dropped",
    }
)


@attrs.frozen
class Line:
    """One line of a host's log.

    Attributes:
        at_s: When it was written, in seconds since 1970.
        fields: Its pairs.
    """

    at_s: float
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """What it tells of."""
        return self.fields.get("event", "")

    @property
    def host(self) -> str:
        """Who wrote it."""
        return self.fields.get("host", "")


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Reads lines of hosts, and passes over whatever else stands between."""
    for text in texts:
        fields = {
            name: value[1:-1] if value.startswith('"') else value
            for name, value in _PAIR.findall(text)
        }
        try:
            yield Line(float(fields["at"]), fields)
        except (KeyError, ValueError):
            continue


def request_timeline(request: str, lines: Iterable[Line]) -> list[Line]:
    """Returns a request's lines and those that may tell why, in order of time.

    Args:
        request: Its id.
        lines: Of any number of hosts, in any order.
    """
    by_time = sorted(lines, key=lambda line: line.at_s)
    own = [
        line
        for line in by_time
        if line.event in _REQUEST_EVENTS
        and line.fields.get("request") == request
    ]
    if not own:
        return []
    since_s = own[0].at_s - CONTEXT_S
    until_s = own[-1].at_s + CONTEXT_S
    upstreams = {line.fields.get("upstream") for line in own}
    hosts = {line.host for line in own}
    near = [line for line in by_time if since_s <= line.at_s <= until_s]
    return [
        line
        for line in near
        if line in own
        or (
            line.event in _UPSTREAM_EVENTS
            and line.fields.get("upstream") in upstreams
        )
        or (line.event in _HOST_EVENTS and line.host in hosts)
    ]


def format_line(line: Line, first_s: float) -> str:
    """Returns a line as a person reads it."""
    left_out = {"at", "event", "host", "data_centre", "request"}
    pairs = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in left_out and value
    )
    return f"{line.at_s - first_s:+8.3f} s  {line.host}  {line.event}  {pairs}"


@click.command(
    "explain-failure",
    epilog=examples(
        "hollyknotctl explain-failure 98126af336df7dbe host-1.log host-2.log",
        "journal | hollyknotctl explain-failure 98126af336df7dbe -",
    ),
)
@click.argument("request")
@click.argument("files", nargs=-1, required=True, type=click.File("r"))
@json_option
def explain_failure(
    request: str, files: tuple[TextIO, ...], as_json: bool
) -> None:
    """Print what became of the REQUEST of this id, from hosts' log FILES.

    Beside the request's own lines it prints those of the same seconds on the
    upstreams and hosts that it met. "-" reads standard input.
    """
    lines = (line for file in files for line in read_lines(file))
    found = request_timeline(request, lines)
    if not found:
        fail(
            f"no line tells of request {request!r}; give the files of all"
            " hosts, and look for lines_dropped in them",
            EXIT_BAD_INPUT,
        )
    if as_json:
        echo_json([line.fields for line in found])
        return
    first_s = next(
        line.at_s for line in found if line.fields.get("request") == request
    )
    for line in found:
        click.echo(format_line(line, first_s))
