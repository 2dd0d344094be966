"""What follows from a verdict: another try, or which answer."""

from hollyknot_coordination.retries._answers import http_status, retry_after_s
from hollyknot_coordination.retries._budgets import (
    RetryBudgetOptions,
    RetryBudgets,
)
from hollyknot_coordination.retries._messages import (
    Answer,
    Attempt,
    RetryElsewhere,
    RetryNow,
    Step,
)
from hollyknot_coordination.retries._next_step import next_step, whole_verdict

__all__ = [
    "Answer",
    "Attempt",
    "RetryBudgetOptions",
    "RetryBudgets",
    "RetryElsewhere",
    "RetryNow",
    "Step",
    "http_status",
    "next_step",
    "retry_after_s",
    "whole_verdict",
]
