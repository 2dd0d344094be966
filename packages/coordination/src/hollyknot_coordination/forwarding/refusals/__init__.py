"""Decides which requests are refused and which are sent again."""

from hollyknot_coordination.forwarding.refusals._retry_budget import (
    RetryAccount,
    RetryBudget,
)
from hollyknot_coordination.forwarding.refusals._shedding import (
    SHED_RETRY_AFTER_S,
    Admission,
    Shed,
    Shedding,
    TooSlow,
)
from hollyknot_coordination.forwarding.refusals._steps import (
    GiveUp,
    TryAnother,
    TryState,
    give_up,
    next_step,
)

__all__ = [
    "Admission",
    "GiveUp",
    "RetryAccount",
    "RetryBudget",
    "SHED_RETRY_AFTER_S",
    "Shed",
    "Shedding",
    "TooSlow",
    "TryAnother",
    "TryState",
    "give_up",
    "next_step",
]
