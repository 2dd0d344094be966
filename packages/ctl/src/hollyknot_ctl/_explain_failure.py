"""The command `hollyknotctl explain-failure`: one request in hosts' logs."""

import math
import re
from collections.abc import Iterable, Iterator, Sequence
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
"""Seconds before and after a request's own lines whose lines are included.

A crash is classified, and a silent data centre detected, within one or two
seconds, so lines on the same upstream or host within this time may show the
cause.
"""

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_REQUEST_EVENTS = frozenset(
    {
        "try",
        "failed_try",
        "suspect_sent",
        "quarantine",
        "refused",
        "cut_off",
        "caller_gone",
        "relayed_try",
        "relayed_failed_try",
        "relayed_refused",
        "relayed_cut_off",
        "relayed_caller_gone",
    }
)
_UPSTREAM_EVENTS = frozenset(
    {
        "unreachable",
        "reachable",
        "ejected",
        "loss",
        "crash",
        "crash_or_cut",
        "upstream",
        "upstream_gone",
        "upstream_leaving",
        "rest_asked",
        "limit_named",
        "brittle_named",
    }
)
_NOTICE_EVENTS = frozenset({"upstream_leaving", "rest_asked"})
_REFUSED_FOR_ALL = frozenset({"upstreams-resting", "no-upstream"})
"""Reasons of refusals that no single upstream caused."""

_HOST_EVENTS = frozenset(
    {
        "source_lost",
        "source_regained",
        "data_centre_silent",
        "service_unreachable",
        "service_reachable",
        "reports_delayed",
        "relay_refused",
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
        at_s: Time of writing, in seconds since 1970.
        fields: Values of the line by key.
    """

    at_s: float
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """The name of the logged event; empty if the line has none."""
        return self.fields.get("event", "")

    @property
    def host(self) -> str:
        """The host that wrote the line; empty if the line has none."""
        return self.fields.get("host", "")


def parse_line(text: str) -> Line | None:
    """Parses a line of a host's log, whatever stands before its fields.

    Returns:
        The line, or None if the text has no readable time.
    """
    fields = {
        name: value[1:-1] if value.startswith('"') else value
        for name, value in _PAIR.findall(text)
    }
    try:
        return Line(float(fields["at"]), fields)
    except (KeyError, ValueError):
        return None


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Parses the lines of hosts' logs and skips any other text."""
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line


def request_timeline(request: str, lines: Iterable[Line]) -> list[Line]:
    """Returns a request's lines and those that may explain it, by time.

    What upstreams said of themselves is included if it was still in force,
    however long before the request they said it.

    Args:
        request: Identifier of the request.
        lines: Log lines of any number of hosts, in any order.
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
    earlier = [line for line in by_time if line.at_s < since_s]
    return _notices_in_force(earlier, own) + [
        line
        for line in near
        if line in own
        or (
            line.event in _UPSTREAM_EVENTS
            and line.fields.get("upstream") in upstreams
        )
        or (line.event in _HOST_EVENTS and line.host in hosts)
    ]


def _notices_in_force(
    earlier: Iterable[Line], own: Sequence[Line]
) -> list[Line]:
    """Returns what upstreams had told a request's hosts before its lines.

    Args:
        earlier: Lines before those that may explain the request, by time.
        own: The request's lines.
    """
    hosts = {line.host for line in own}
    upstreams = {line.fields.get("upstream") for line in own}
    concerns_all = any(
        line.fields.get("reason") in _REFUSED_FOR_ALL for line in own
    )
    newest: dict[tuple[str, str, str], Line] = {}
    for line in earlier:
        upstream = line.fields.get("upstream", "")
        if line.event not in _NOTICE_EVENTS or line.host not in hosts:
            continue
        is_over = line.at_s + _lasts_s(line) < own[0].at_s
        if not is_over and (concerns_all or upstream in upstreams):
            newest[line.host, line.event, upstream] = line
    return sorted(newest.values(), key=lambda line: line.at_s)


def _lasts_s(line: Line) -> float:
    """Returns how long a notice holds, in seconds."""
    if line.event != "rest_asked":
        return math.inf
    try:
        return float(line.fields.get("rest_s", "0"))
    except ValueError:
        return 0.0


def format_line(line: Line, first_s: float) -> str:
    """Formats a line for people, with the time since `first_s`."""
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
    """Print what happened to a REQUEST, given by id, from hosts' log FILES.

    Besides the lines of the request it prints those of the same seconds about
    the upstreams and hosts that handled it, and what upstreams had said of
    themselves before, if it was still in force. "-" reads standard input.
    """
    lines = (line for file in files for line in read_lines(file))
    found = request_timeline(request, lines)
    if not found:
        fail(
            f"no log line mentions request {request!r}; give the log files of"
            " all hosts, and look for lines_dropped in them",
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
