"""Updates an upstream's state by the first byte and the end of a try."""

import enum

from hollyknot_coordination.limits import MedianLatency
from hollyknot_coordination.routing._upstream import Flight, Upstream
from hollyknot_state import Outcome, Reason, Verdict

WAITED_FRACTION = 0.5
"""Fraction of a request's time budget that it waited before its dispatch, from
which a missed target is not attributed to the upstream."""

ERROR_RATIO = 4.0
"""The slowness that a server error counts as. Otherwise an upstream that fails
at once would look the fastest and attract all requests."""

SERVER_ERROR = 500


class Effect(enum.Enum):
    """What the end of a try indicates about the upstream's health."""

    NONE = enum.auto()
    REFUSED_CONNECTION = enum.auto()
    LOST = enum.auto()
    SILENT = enum.auto()
    REFUSED_REQUEST = enum.auto()


_EFFECTS = {
    Reason.CONNECT_FAILED: Effect.REFUSED_CONNECTION,
    Reason.UPSTREAM_LOST: Effect.LOST,
    Reason.TRUNCATED: Effect.LOST,
    Reason.UPSTREAM_SILENT: Effect.SILENT,
    Reason.UPSTREAM_REFUSED: Effect.REFUSED_REQUEST,
}


def note_first_byte(
    upstream: Upstream, flight: Flight, usual: MedianLatency, now_s: float
) -> None:
    """Records the time from dispatch to first byte."""
    upstream.waiting.pop(flight.request.request_id, None)
    upstream.last_good_s = now_s
    ratio = usual.ratio(now_s - flight.chosen_s)
    upstream.slowness.note(ratio, now_s)
    if upstream.slowness.is_straggler(now_s):
        upstream.limit.on_refused(now_s)


def note_end(
    upstream: Upstream,
    flight: Flight,
    verdict: Verdict,
    met_target: bool,
    now_s: float,
) -> Effect:
    """Adjusts the limit by the end of a try that still counts as in flight."""
    effect = _EFFECTS.get(verdict.reason, Effect.NONE)
    if effect is Effect.REFUSED_REQUEST:
        upstream.limit.on_refused(now_s)
    elif verdict.outcome is Outcome.COMPLETE:
        _note_complete(upstream, flight, met_target, now_s)
    elif verdict.upstream_status >= SERVER_ERROR:
        upstream.slowness.note(ERROR_RATIO, now_s)
        upstream.limit.on_late(now_s)
    return effect


def _note_complete(
    upstream: Upstream, flight: Flight, met_target: bool, now_s: float
) -> None:
    upstream.last_good_s = now_s
    upstream.consecutive_losses = 0
    if met_target:
        upstream.limit.on_met_target(upstream.in_flight)
        return
    request = flight.request
    waited_s = flight.chosen_s - request.arrived_s
    if waited_s < WAITED_FRACTION * request.budget_s:
        upstream.limit.on_late(now_s)
