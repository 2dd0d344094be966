"""Decides which requests start now, wait or are refused at once.

The decisions do no I/O. Their inputs are requests, free slots, peers' reports
of pressure (shortage of capacity) and the time; their outputs are `Admit` and
`Refuse`. The exact rules are in `docs/decisions/0005-admission.md`, and
`check_run` checks a recorded run against them.
"""

from hollyknot_coordination.admission._checked import (
    Admission,
    CheckedAdmission,
)
from hollyknot_coordination.admission._commands import (
    AdmissionCommand,
    Admit,
    Refuse,
)
from hollyknot_coordination.admission._estimates import EstimateError
from hollyknot_coordination.admission._events import (
    Admitted,
    Offered,
    PressureReceived,
    Refused,
    RunEvent,
    SlotsOffered,
    Withdrawn,
)
from hollyknot_coordination.admission._options import AdmissionOptions
from hollyknot_coordination.admission._predicates import (
    Rule,
    RunChecker,
    Violation,
    check_run,
    floor_gap,
)
from hollyknot_coordination.admission._queue import AdmissionQueue

__all__ = [
    "Admission",
    "AdmissionCommand",
    "AdmissionOptions",
    "AdmissionQueue",
    "Admit",
    "Admitted",
    "CheckedAdmission",
    "EstimateError",
    "Offered",
    "PressureReceived",
    "Refuse",
    "Refused",
    "Rule",
    "RunChecker",
    "RunEvent",
    "SlotsOffered",
    "Violation",
    "Withdrawn",
    "check_run",
    "floor_gap",
]
