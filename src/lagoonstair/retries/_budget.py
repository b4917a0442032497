"""Bounds retries to a part of the requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetLimits:
    """How many retries are allowed.

    Attributes:
        ratio: Retries for each first attempt.
        per_second: Retries each second that are allowed without requests.
        burst: The most retries that can be saved up.
    """

    ratio: float = 0.1
    per_second: float = 10.0
    burst: float = 200.0


class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    When everything fails, the load grows by ``ratio`` at most, so retries
    don't multiply an overload.
    """

    def __init__(self, limits: BudgetLimits, now: float) -> None:
        self._limits = limits
        self._tokens = limits.burst
        self._filled_at = now

    @property
    def tokens(self) -> float:
        """How many retries are allowed at this moment."""
        return self._tokens

    def count_request(self, now: float) -> None:
        """Counts a first attempt."""
        self._fill(now)
        self._add(self._limits.ratio)

    def take(self, now: float) -> bool:
        """Uses one retry up; false when none is allowed."""
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, now: float) -> None:
        # A clock that went back adds nothing.
        passed = max(0.0, now - self._filled_at)
        self._filled_at = max(self._filled_at, now)
        self._add(passed * self._limits.per_second)

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._limits.burst, self._tokens + tokens)
