"""Delays between attempts."""

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Backoff:
    """Exponential backoff with full jitter.

    Attributes:
        initial_bound: Upper bound of the first delay, in seconds.
        factor: Factor by which the bound grows with each attempt.
        max_bound: Largest upper bound, in seconds.
    """

    initial_bound: float = 0.02
    factor: float = 2.0
    max_bound: float = 1.0

    def wait(self, attempt: int, rng: random.Random) -> float:
        """Returns the delay after a failed attempt, in seconds.

        Args:
            attempt: The number of the failed attempt, counted from 1.
            rng: The source of the jitter.
        """
        # The exponent is capped to prevent a floating-point overflow.
        bound = self.initial_bound * self.factor ** min(attempt - 1, 64)
        return rng.uniform(0, min(bound, self.max_bound))
