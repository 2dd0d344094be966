"""Finds a request's customer, class of work and idempotency."""

from hollyknot_coordination.classification._authenticate import (
    authenticate,
    index_keys,
)
from hollyknot_coordination.classification._classify import (
    Absent,
    Classification,
    ClassReason,
    ModelCall,
    NatureReason,
    ServiceCall,
    classify,
)
from hollyknot_coordination.classification._explain import (
    Explanation,
    PossibleRefusal,
    explain,
)

__all__ = [
    "Absent",
    "ClassReason",
    "Classification",
    "Explanation",
    "ModelCall",
    "NatureReason",
    "PossibleRefusal",
    "ServiceCall",
    "authenticate",
    "classify",
    "explain",
    "index_keys",
]
