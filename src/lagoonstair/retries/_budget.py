"""Limits retries to a fraction of the requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetLimits:
    """Limits of a retry budget.

    Attributes:
        ratio: Retries allowed per first attempt.
        per_second: Retries per second that are allowed without any requests.
        burst: Maximum number of retries that can accumulate.
    """

    ratio: float = 0.1
    per_second: float = 10.0
    burst: float = 200.0


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    If every attempt fails, retries add no more than ``ratio`` to the load,
    besides the allowance of ``per_second`` and the accumulated ``burst``, so
    they don't amplify an overload.
    """

    def __init__(self, limits: BudgetLimits, now: float) -> None:
        self._limits = limits
        self._tokens = limits.burst
        self._refilled_at = now

    @property
    def tokens(self) -> float:
        """The number of retries that are currently allowed."""
        return self._tokens

    def count_request(self, now: float) -> None:
        """Counts a first attempt."""
        self._refill(now)
        self._add(self._limits.ratio)

    def take(self, now: float) -> bool:
        """Consumes one retry; returns false if none is allowed."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now: float) -> None:
        # A clock that moves backwards adds no tokens.
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        self._add(elapsed * self._limits.per_second)

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._limits.burst, self._tokens + tokens)
