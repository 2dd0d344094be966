"""Finds what crashes the upstreams that run it and refuses it.

That may be a single request, or any request with a certain part in its prompt.
"""

from hollyknot_coordination.suspects._evidence_answer import (
    Evidence,
    all_evidence,
)
from hollyknot_coordination.suspects._loss_register import LossRegister
from hollyknot_coordination.suspects._messages import (
    Clear,
    Gate,
    Isolate,
    Refuse,
    Sendable,
    SuspectOptions,
    Trial,
)
from hollyknot_coordination.suspects._parts import (
    PartRegister,
    part_identities,
    refused_part,
)
from hollyknot_coordination.suspects._register import (
    SuspectRegister,
    refused_request,
)
from hollyknot_coordination.suspects._suspects import RequestIdentity, Suspects
from hollyknot_coordination.suspects._trials import TrialOwner

__all__ = [
    "Clear",
    "Evidence",
    "Gate",
    "Isolate",
    "LossRegister",
    "PartRegister",
    "Refuse",
    "RequestIdentity",
    "Sendable",
    "SuspectOptions",
    "SuspectRegister",
    "Suspects",
    "Trial",
    "TrialOwner",
    "all_evidence",
    "part_identities",
    "refused_part",
    "refused_request",
]
