"""Finds in hosts' log lines how each request ended, once for each request."""

import enum
import math
from collections import OrderedDict
from collections.abc import Iterator

import attrs

from hollyknot_ctl._explain_failure import Line

MAX_OPEN = 200_000
"""Requests whose end is still awaited, kept at once. Failed tries of all hosts
in the longest time limit of a route fit; older requests count as failed."""

REQUEST_EVENTS = frozenset(
    {"try", "failed_try", "refused", "cut_off", "caller_gone"}
)

_NOT_RUN = "not-run"
_TOO_SLOW = "needs "
"""Begins the detail of a refusal by the time that an answer would take."""

_OUT_OF_TIME = "the time limit"
"""Begins the detail of a request whose time limit has passed."""

_CALLER_ERRORS = range(400, 500)
"""Statuses by which a host refuses a request that is wrong by itself."""


class Fate(enum.Enum):
    """What became of a request; tables have a column for each."""

    IN_TIME = "in time"
    UNJUDGED = "unjudged"
    """Complete, by a host whose lines don't say whether it was late."""

    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    WRONG = "wrong"
    """Refused as wrong by itself, which is no loss of service."""


LOSSES = frozenset({Fate.LATE, Fate.REFUSED, Fate.FAILED})


@attrs.frozen
class RequestEnd:
    """The end of one request at one host.

    Attributes:
        at_s: Time of its last line, in seconds since 1970.
        customer: Name of the customer; empty if unknown.
        route: Name of the route; empty if none matched.
        data_centre: The data centre of the host.
        fate: What became of the request.
        cause: Why it was lost; empty if it was not.
    """

    at_s: float
    customer: str
    route: str
    data_centre: str
    fate: Fate
    cause: str = ""


class RequestEnds:
    """Combines the lines of each request into its end.

    The lines of one host have to come in the order in which it wrote them;
    the hosts may come in any order, or mixed.
    """

    def __init__(self, max_open: int = MAX_OPEN) -> None:
        """Creates an empty set of open requests.

        Args:
            max_open: Number of requests whose end is awaited at once.
        """
        self._max_open = max_open
        self._open: OrderedDict[tuple[str, str], Line] = OrderedDict()
        self._left: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._unnamed_tries = 0

    @property
    def unnamed_tries(self) -> int:
        """Failed tries without a request's id, which can't be combined."""
        return self._unnamed_tries

    def add(self, line: Line) -> Iterator[RequestEnd]:
        """Takes a line and returns the ends that are known with it.

        Raises:
            ValueError: A field that has to be a number is none.
        """
        key = (line.host, line.fields.get("request", ""))
        if line.event == "failed_try":
            yield from self._add_failed_try(key, line)
            return
        end = _end(line)
        self._open.pop(key, None)
        if key in self._left:
            return
        if line.event == "caller_gone":
            # The upstream may still complete a call that its caller has left.
            self._left[key] = None
            if len(self._left) > self._max_open:
                self._left.popitem(last=False)
        yield end

    def finish(self) -> Iterator[RequestEnd]:
        """Returns the ends of requests that have only failed tries."""
        while self._open:
            yield _end(self._open.popitem(last=False)[1])

    def _add_failed_try(
        self, key: tuple[str, str], line: Line
    ) -> Iterator[RequestEnd]:
        if not key[1]:
            self._unnamed_tries += 1
            return
        if key in self._left:
            return
        self._open.pop(key, None)
        self._open[key] = line
        if len(self._open) > self._max_open:
            yield _end(self._open.popitem(last=False)[1])


def _end(line: Line) -> RequestEnd:
    fate, cause = _fate(line)
    fields = line.fields
    return RequestEnd(
        line.at_s,
        fields.get("customer", ""),
        fields.get("route", ""),
        fields.get("data_centre", ""),
        fate,
        cause,
    )


def _fate(line: Line) -> tuple[Fate, str]:
    """Returns what became of a request by its last line, and why."""
    reason = line.fields.get("reason", "")
    if line.event == "try":
        late = line.fields.get("late")
        if late is None:
            return Fate.UNJUDGED, ""
        return (Fate.LATE, f"late: {late}") if late else (Fate.IN_TIME, "")
    if line.event == "cut_off":
        return Fate.FAILED, f"cut off: {reason}"
    if line.event == "caller_gone":
        return Fate.FAILED, "caller gone"
    if line.event == "failed_try":
        return Fate.FAILED, f"failed: {reason}"
    if int(number(line, "status")) in _CALLER_ERRORS:
        return Fate.WRONG, f"wrong: {reason}"
    detail = line.fields.get("detail", "")
    if detail.startswith(_TOO_SLOW):
        reason = f"{reason}, too slow"
    elif detail.startswith(_OUT_OF_TIME):
        reason = f"{reason}, out of time"
    if line.fields.get("outcome") == _NOT_RUN:
        return Fate.REFUSED, f"refused: {reason}"
    return Fate.FAILED, f"failed: {reason}"


def number(line: Line, key: str) -> float:
    """Returns a number of a line; 0 if the line lacks it or has it empty.

    Raises:
        ValueError: The field has another text.
    """
    value = float(line.fields.get(key) or 0)
    if not math.isfinite(value):
        raise ValueError(f"{key} is no number")
    return value
