"""How long to wait between attempts."""

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Backoff:
    """Exponential backoff with full jitter.

    Attributes:
        first: The bound on the first wait, in seconds.
        factor: What the bound grows by at each attempt.
        most: The largest bound, in seconds.
    """

    first: float = 0.02
    factor: float = 2.0
    most: float = 1.0

    def wait(self, attempt: int, rng: random.Random) -> float:
        """Returns the seconds to wait after a failed attempt.

        Args:
            attempt: The number of the failed attempt, counted from 1.
            rng: The source of the jitter.
        """
        # The exponent is bounded so that it can't overflow.
        bound = self.first * self.factor ** min(attempt - 1, 64)
        return rng.uniform(0, min(bound, self.most))
