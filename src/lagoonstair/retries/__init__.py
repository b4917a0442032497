"""Which requests to send again, when, and what is known of them."""

from lagoonstair.retries._attempts import (
    Again,
    Attempts,
    Decision,
    Effect,
    Stop,
)
from lagoonstair.retries._backoff import Backoff
from lagoonstair.retries._budget import BudgetLimits, RetryBudget
from lagoonstair.retries._errors import effect_of

__all__ = [
    "Again",
    "Attempts",
    "Backoff",
    "BudgetLimits",
    "Decision",
    "Effect",
    "RetryBudget",
    "Stop",
    "effect_of",
]
