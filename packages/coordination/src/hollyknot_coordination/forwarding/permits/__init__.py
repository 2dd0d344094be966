"""Shares the rate limits of upstreams among all hosts."""

from hollyknot_coordination.forwarding.permits._brittle_services import (
    BrittleServices,
)
from hollyknot_coordination.forwarding.permits._named_limits import NamedLimits
from hollyknot_coordination.forwarding.permits._permits import (
    PERMIT_ANSWER_TIMEOUT_S,
    PermitRequest,
    Permits,
    Queries,
)
from hollyknot_coordination.forwarding.permits._slot_owners import SlotOwners

__all__ = [
    "BrittleServices",
    "NamedLimits",
    "PERMIT_ANSWER_TIMEOUT_S",
    "PermitRequest",
    "Permits",
    "Queries",
    "SlotOwners",
]
