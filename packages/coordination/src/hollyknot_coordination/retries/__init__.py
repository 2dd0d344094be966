"""Decides what follows a try: a retry, or the final answer to the caller."""

from hollyknot_coordination.retries._answers import http_status, retry_after_s
from hollyknot_coordination.retries._budgets import (
    RetryBudgetOptions,
    RetryBudgets,
)
from hollyknot_coordination.retries._messages import (
    Answer,
    Attempt,
    RetryElsewhere,
    RetryOnNewConnection,
    Step,
)
from hollyknot_coordination.retries._next_step import (
    combined_verdict,
    next_step,
)

__all__ = [
    "Answer",
    "Attempt",
    "RetryBudgetOptions",
    "RetryBudgets",
    "RetryElsewhere",
    "RetryOnNewConnection",
    "Step",
    "combined_verdict",
    "http_status",
    "next_step",
    "retry_after_s",
]
