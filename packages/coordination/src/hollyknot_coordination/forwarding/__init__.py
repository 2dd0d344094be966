"""Decisions of a host that forwards calls by routes, apart from any I/O."""

from hollyknot_coordination.forwarding._events import EventCutter
from hollyknot_coordination.forwarding._fleet import Fleet
from hollyknot_coordination.forwarding._placement import (
    NoPlace,
    Placement,
    Work,
)
from hollyknot_coordination.forwarding._retry_budget import RetryBudget
from hollyknot_coordination.forwarding._route_index import (
    NoOwner,
    NoRoute,
    RouteIndex,
    urgency,
)
from hollyknot_coordination.forwarding._steps import (
    Again,
    GiveUp,
    TryState,
    give_up,
    next_step,
)

__all__ = [
    "Again",
    "EventCutter",
    "Fleet",
    "GiveUp",
    "NoOwner",
    "NoPlace",
    "NoRoute",
    "Placement",
    "RetryBudget",
    "RouteIndex",
    "TryState",
    "Work",
    "give_up",
    "next_step",
    "urgency",
]
