"""Decides whether and when to retry a request, and tracks its outcome."""

from lagoonstair.retries._attempts import (
    AttemptFailure,
    Attempts,
    Decision,
    RetryAfter,
    Stop,
)
from lagoonstair.retries._backoff import Backoff
from lagoonstair.retries._budget import BudgetLimits, RetryBudget
from lagoonstair.retries._errors import classify_failure

__all__ = [
    "AttemptFailure",
    "Attempts",
    "Backoff",
    "BudgetLimits",
    "Decision",
    "RetryAfter",
    "RetryBudget",
    "Stop",
    "classify_failure",
]
