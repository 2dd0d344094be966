"""Who calls, in which class, and whether the call may run twice."""

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

__all__ = [
    "Absent",
    "ClassReason",
    "Classification",
    "ModelCall",
    "NatureReason",
    "ServiceCall",
    "authenticate",
    "classify",
    "index_keys",
]
