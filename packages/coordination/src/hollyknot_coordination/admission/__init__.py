"""Admission: which request may start now, and which is refused at once.

Pure decisions: requests, free slots, peers' pressure and the time come in;
`Admit` and `Refuse` go out. The exact rules are in
`docs/decisions/0005-admission.md`, and `check_run` tests a run against them.
"""

from hollyknot_coordination.admission._commands import (
    AdmissionCommand,
    Admit,
    Refuse,
)
from hollyknot_coordination.admission._options import AdmissionOptions
from hollyknot_coordination.admission._queue import AdmissionQueue

__all__ = [
    "AdmissionCommand",
    "AdmissionOptions",
    "AdmissionQueue",
    "Admit",
    "Refuse",
]
