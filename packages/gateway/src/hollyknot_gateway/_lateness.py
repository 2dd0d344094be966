"""Judges whether an answer met the targets of its route."""

import enum

from hollyknot_gateway._exchange import Result
from hollyknot_state.routes import Route, RouteKind


class Late(enum.Enum):
    """Why an answer is late; log lines and counters have the values."""

    NO = ""
    FIRST = "first"
    """The first event of a stream came after the target."""

    GAP = "gap"
    """Two events of a stream were further apart than the gap target."""

    END = "end"
    """The end of an answer that is no stream came after the target."""


def judge(
    route: Route, result: Result, waited_s: float, pause_s: float | None
) -> Late:
    """Judges what the caller has received by the end of a try.

    Args:
        route: The request's route, which has the targets.
        result: The result of the try.
        waited_s: Seconds from the request's arrival until the try was sent.
        pause_s: Seconds for which a stream that the try resumes had stopped;
            None if the caller had received nothing before.
    """
    if route.kind is not RouteKind.STREAM:
        is_late = _misses(waited_s + result.took_s, route.target_s)
        return Late.END if is_late and result.verdict.is_complete else Late.NO
    # An answer within the clock's resolution has 0 as its first event's time.
    has_event = result.first_s > 0 or result.verdict.is_complete
    is_first = pause_s is None and has_event
    if is_first and _misses(waited_s + result.first_s, route.target_s):
        return Late.FIRST
    gap_s = max(result.gap_s, pause_s or 0.0)
    return Late.GAP if _misses(gap_s, route.gap_target_s) else Late.NO


def _misses(seconds: float, target_s: float) -> bool:
    """Whether a time is longer than its target; 0 stands for no target."""
    return 0 < target_s < seconds
