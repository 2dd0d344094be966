"""The command `hollyknotctl who-paid`: whose requests were lost, and why."""

import datetime
import math
import random
import re
from collections import Counter
from collections.abc import Iterable, Iterator

import attrs
import click

from hollyknot_ctl._explain_failure import Line, parse_line
from hollyknot_ctl._output import (
    EXIT_BAD_INPUT,
    echo_json,
    examples,
    fail,
    json_option,
    table,
)
from hollyknot_ctl._payers import EngineRow, Engines, Payers, Row
from hollyknot_ctl._request_ends import (
    REQUEST_EVENTS,
    RequestEnd,
    RequestEnds,
)

MAX_LINE_CHARACTERS = 65_536
"""Longer lines are read in pieces, so that no input fills the memory."""

PROGRESS_LINES = 500_000
"""Lines after which progress is told."""

_DROPPED = "lines_dropped"
_EVENT = re.compile(r"\bevent=(\w+)")
_NO_TIME = (
    "{!r} is no time; give seconds since 1970 as in at=, or"
    " 2031-05-02T14:00:00Z"
)
_KEYS = {
    "customers": "customer",
    "routes": "route",
    "data_centres": "data centre",
    "causes": "cause",
}
_ROW_HEADINGS = (
    "requests",
    "in time",
    "unjudged",
    "late",
    "refused",
    "failed",
    "wrong",
    "of the loss",
)
_ENGINE_HEADINGS = (
    "engine",
    "requests",
    "late",
    "first ms/1,000 tokens",
    "longest gap ms",
)


@attrs.frozen
class Window:
    """A span of time; requests belong to the one in which they ended.

    Attributes:
        from_s: Its start in seconds since 1970.
        to_s: Its end, which is not part of it.
    """

    from_s: float = -math.inf
    to_s: float = math.inf

    def has(self, at_s: float) -> bool:
        """Whether a time is in the window."""
        return self.from_s <= at_s < self.to_s


class Account:
    """Reads log lines and counts what became of the requests of a window."""

    def __init__(self, window: Window) -> None:
        """Creates empty counts for a window."""
        self.payers = Payers()
        self.engines = Engines(random.Random(0))
        self.lines = 0
        self.unreadable = 0
        self.first_unreadable = ""
        self.dropped: Counter[str] = Counter()
        self._window = window
        self._ends = RequestEnds()

    @property
    def unnamed_tries(self) -> int:
        """Failed tries without a request's id."""
        return self._ends.unnamed_tries

    def read(self, texts: Iterable[str], source: str) -> Iterator[int]:
        """Counts the lines of one source.

        Args:
            texts: The lines.
            source: Name of the source for the place of unreadable lines.

        Yields:
            The number of lines read so far, now and then.
        """
        for place, text in enumerate(texts, 1):
            self.lines += 1
            if not self._add(text):
                self.unreadable += 1
                self.first_unreadable = (
                    self.first_unreadable or f"{source}:{place}"
                )
            if not self.lines % PROGRESS_LINES:
                yield self.lines

    def finish(self) -> None:
        """Counts the requests that have only failed tries."""
        self._count(self._ends.finish())

    def _add(self, text: str) -> bool:
        """Counts a line; returns whether it is readable."""
        if not text.strip():
            return True
        found = _EVENT.search(text)
        if found is None:
            return False
        event = found[1]
        if event != _DROPPED and event not in REQUEST_EVENTS:
            return True
        line = parse_line(text)
        if line is None or not math.isfinite(line.at_s):
            return False
        try:
            self._take(line)
        except ValueError:
            return False
        return True

    def _take(self, line: Line) -> None:
        is_inside = self._window.has(line.at_s)
        if line.event == _DROPPED:
            if is_inside:
                self._take_dropped(line)
            return
        if line.event == "try" and is_inside:
            self.engines.add(line)
        self._count(self._ends.add(line))

    def _take_dropped(self, line: Line) -> None:
        """Counts lines of requests that a host could not write."""
        of = line.fields.get("of", "")
        if of in REQUEST_EVENTS:
            self.dropped[of] += int(line.fields.get("count", "0"))

    def _count(self, ends: Iterable[RequestEnd]) -> None:
        for end in ends:
            if self._window.has(end.at_s):
                self.payers.add(end)


def _moment(
    _ctx: click.Context, _param: click.Parameter, value: str | None
) -> float | None:
    """Reads a time: seconds since 1970, or ISO 8601, in UTC if not said."""
    if value is None:
        return None
    try:
        at_s = float(value)
    except ValueError:
        at_s = _iso_s(value)
    if not math.isfinite(at_s):
        raise click.BadParameter(_NO_TIME.format(value))
    return at_s


def _iso_s(text: str) -> float:
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        return math.nan
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()


@click.command(
    "who-paid",
    epilog=examples(
        "hollyknotctl who-paid host-*.log",
        "hollyknotctl who-paid --from 2031-05-02T14:00:00Z"
        " --to 2031-05-02T15:00:00Z host-*.log",
        "journal | hollyknotctl who-paid --top 5 --json",
    ),
)
@click.argument(
    "files",
    nargs=-1,
    default=["-"],
    type=click.Path(exists=True, dir_okay=False, allow_dash=True),
)
@click.option(
    "--from",
    "from_s",
    metavar="TIME",
    callback=_moment,
    help="Count requests that ended at this time or later.",
)
@click.option(
    "--to",
    "to_s",
    metavar="TIME",
    callback=_moment,
    help="Count requests that ended before this time.",
)
@click.option(
    "--top",
    default=10,
    show_default=True,
    type=click.IntRange(min=1),
    help="Rows of each table.",
)
@json_option
def who_paid(
    files: tuple[str, ...],
    from_s: float | None,
    to_s: float | None,
    top: int,
    as_json: bool,
) -> None:
    """Print whose requests were late, refused or failed, from log FILES.

    Reads the log lines of hosts; without FILES or with "-", standard input. Any
    text may stand before the fields of a line. Tables by customer, route, data
    centre and cause name the share that each has of the loss, which is all
    late, refused and failed requests. A request counts once, however often its
    host sent it to upstreams. If its caller sends it again, it has another id
    and counts again. Requests that are wrong by themselves, such as those with
    an unknown key, are no loss. A last table lists engines, the slowest first.
    """
    window = Window(
        -math.inf if from_s is None else from_s,
        math.inf if to_s is None else to_s,
    )
    if window.from_s >= window.to_s:
        fail(
            "the window is empty; give a --to that is later than --from",
            EXIT_BAD_INPUT,
        )
    account = _read(files, window)
    if not account.payers.total.requests:
        fail(_nothing_found(account), EXIT_BAD_INPUT)
    if as_json:
        echo_json(_as_json(account, top))
    else:
        _echo(account, top)


def _read(files: Iterable[str], window: Window) -> Account:
    account = Account(window)
    for file in files:
        try:
            for lines in account.read(_pieces(file), file):
                click.echo(f"{lines:,} lines read", err=True)
        except OSError as e:
            fail(f"{file} can't be read: {e.strerror}", EXIT_BAD_INPUT)
    account.finish()
    return account


def _pieces(file: str) -> Iterator[str]:
    """Yields a file's lines; there may be more files than can be open."""
    with click.open_file(file, encoding="utf-8", errors="replace") as opened:
        while piece := opened.readline(MAX_LINE_CHARACTERS):
            yield piece


def _nothing_found(account: Account) -> str:
    text = f"no request ended in the {account.lines:,} lines of the input"
    remedy = "give the log files of all hosts, and check --from and --to"
    return "; ".join([text, *_gaps(account), remedy])


def _gaps(account: Account) -> list[str]:
    """Returns what the counts lack, in sentences for people."""
    found = []
    if account.unreadable:
        found.append(
            f"{account.unreadable:,} unreadable lines, the first at"
            f" {account.first_unreadable}"
        )
    found += [
        f"hosts left out {count:,} lines of {event}"
        for event, count in sorted(account.dropped.items())
    ]
    if account.unnamed_tries:
        found.append(
            f"{account.unnamed_tries:,} failed tries without a request's id"
        )
    if unjudged := account.payers.total.unjudged:
        found.append(
            f"{unjudged:,} answers of hosts whose lines lack the key late"
        )
    return found


def _as_json(account: Account, top: int) -> dict[str, object]:
    tables = {key: account.payers.rows(key)[:top] for key in _KEYS}
    return {
        "total": account.payers.total,
        **tables,
        "engines": account.engines.rows()[:top],
        "lines": account.lines,
        "unreadable": account.unreadable,
        "first_unreadable": account.first_unreadable,
        "dropped": dict(account.dropped),
        "unnamed_tries": account.unnamed_tries,
    }


def _echo(account: Account, top: int) -> None:
    for gap in _gaps(account):
        click.echo(f"note: {gap}", err=True)
    total = [_cells(account.payers.total)]
    click.echo(table(["", *_ROW_HEADINGS], total))
    for key, heading in _KEYS.items():
        rows = account.payers.rows(key)
        click.echo()
        cells = [_cells(r) for r in rows[:top]]
        click.echo(table([heading, *_ROW_HEADINGS], cells))
        _echo_rest(len(rows) - top)
    engines = account.engines.rows()
    if engines:
        click.echo()
        cells = [_engine_cells(r) for r in engines[:top]]
        click.echo(table(_ENGINE_HEADINGS, cells))
        _echo_rest(len(engines) - top)


def _echo_rest(count: int) -> None:
    if count > 0:
        click.echo(f"and {count:,} more (--top)")


def _cells(row: Row) -> list[object]:
    return [
        row.name,
        row.requests,
        row.in_time,
        row.unjudged,
        row.late,
        row.refused,
        row.failed,
        row.wrong,
        f"{row.loss_share:.1%}",
    ]


def _engine_cells(row: EngineRow) -> list[object]:
    first_ms = "-" if row.first_ms is None else row.first_ms
    return [
        row.upstream,
        row.requests,
        row.late,
        first_ms,
        row.longest_gap_ms,
    ]
