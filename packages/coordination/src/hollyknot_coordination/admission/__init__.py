"""Admission: which request may start now, and which is refused at once.

Pure decisions: requests, free slots, peers' pressure and the time come in;
`Admit` and `Refuse` go out. The exact rules are in
`docs/decisions/0005-admission.md`, and `check_run` tests a run against them.
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
