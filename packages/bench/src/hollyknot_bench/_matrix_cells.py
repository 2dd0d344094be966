"""Defines the rows, columns and inapplicable cells of the fault matrix."""

FAULTS = (
    "upstream crash",
    "upstream straggle",
    "upstream leave",
    "upstream silent connection",
    "host kill",
    "host pause",
    "host replace",
    "host leave",
    "cut between hosts",
    "cut between data centres",
    "cut from platform",
    "configuration service down",
    "configuration service stale",
    "configuration service invalid",
    "host list late",
    "load reports late",
    "operator races",
    "poison request",
    "burst",
)
"""Rows: the faults, under the names that the users gave them."""

STEPS = (
    "accepted",
    "queued",
    "claimed",
    "connecting",
    "sent",
    "first byte",
    "mid-stream",
    "last byte",
    "recorded",
)
"""Columns: the steps of a request, from its arrival to its last record."""

_KEEPS_VIEW = (
    "a request keeps the documents that were in force when it was accepted, so"
    " that a change or its lack acts on no later step"
)
_ADMITTED = "acts on who is admitted; an admitted request keeps its slot"
_NO_PLATFORM = "no step of a request reads the platform"
_CHOSEN = "the upstream is chosen by then"
_NOT_ENGAGED = "no upstream has the request yet"
_NO_HOP = (
    "nothing passes between hosts at this step; an upstream beyond the cut is a"
    " silent or crashed one"
)
_LOCAL = "the upstream's part is over"
_CONTENT = "its text acts only where an engine runs it"

_AFTER_ACCEPTED = STEPS[1:]
_UPSTREAM_LATER = ("accepted", "queued", "claimed")
_AFTER_CHOICE = ("sent", "first byte", "mid-stream", "last byte", "recorded")


def _cells(
    faults: tuple[str, ...], steps: tuple[str, ...], reason: str
) -> dict[tuple[str, str], str]:
    return {(fault, step): reason for fault in faults for step in steps}


NOT_APPLICABLE = {
    **_cells(
        (
            "configuration service down",
            "configuration service stale",
            "configuration service invalid",
            "operator races",
        ),
        _AFTER_ACCEPTED,
        _KEEPS_VIEW,
    ),
    **_cells(("cut from platform",), _AFTER_ACCEPTED, _NO_PLATFORM),
    **_cells(
        ("upstream crash", "upstream silent connection", "upstream straggle"),
        ("accepted", "claimed"),
        _NOT_ENGAGED,
    ),
    **_cells(("upstream straggle",), ("recorded",), _LOCAL),
    **_cells(
        ("upstream crash", "upstream silent connection", "upstream leave"),
        ("recorded",),
        _LOCAL,
    ),
    **_cells(("upstream leave",), ("accepted", "claimed"), _NOT_ENGAGED),
    **_cells(("load reports late", "host list late"), _AFTER_CHOICE, _CHOSEN),
    **_cells(("load reports late",), ("claimed", "connecting"), _CHOSEN),
    **_cells(
        ("cut between hosts", "cut between data centres"),
        ("connecting", "sent", "first byte", "mid-stream", "last byte"),
        _NO_HOP,
    ),
    **_cells(("poison request",), ("accepted", "claimed"), _CONTENT),
    **_cells(("poison request",), ("connecting", "recorded"), _CONTENT),
    **_cells(("burst",), ("claimed", "connecting", *_AFTER_CHOICE), _ADMITTED),
}
"""Cells in which the fault cannot affect the request, with the reason.

If a test names such a cell, the matrix shows the test instead.
"""
