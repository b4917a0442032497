"""Requests of one workspace that wait for tokens, and their demand."""

import math
from collections import OrderedDict
from dataclasses import dataclass, replace

from lagoonstair.limits._units import MICROS_PER_TOKEN

USE_SECONDS = 0.5
"""Time constant of the average use."""

LOSSES_OF_A_DEAD_LENDER = 3
"""Asks in a row without an answer after which nothing is expected."""


@dataclass(frozen=True, slots=True)
class _Estimate:
    """What a lender said it had left, when (seconds), and losses since."""

    left: int
    at: float
    losses: int


class Line:
    """The waiting requests of one workspace at one instance, in order.

    Attributes:
        waiting: Until when (seconds) each ticket may wait, first come first.
    """

    def __init__(self) -> None:
        self.waiting: OrderedDict[int, float] = OrderedDict()
        self._count = 0.0
        self._counted_at = 0.0
        self._estimates: dict[str, _Estimate] = {}

    def count_request(self, now: float) -> None:
        """Counts a request towards the average use."""
        self._count = self._decayed(now) + 1
        self._counted_at = now

    def use(self, now: float) -> float:
        """Average requests a second of late."""
        return self._decayed(now) / USE_SECONDS

    def note_left(self, now: float, lender: str, left: int) -> None:
        """Takes a lender's word on what it has left."""
        self._estimates[lender] = _Estimate(left, now, 0)

    def note_lost(self, now: float, lender: str) -> None:
        """Notes that a lender gave no answer."""
        last = self._estimates.get(lender, _Estimate(0, now, 0))
        losses = last.losses + 1
        self._estimates[lender] = replace(last, losses=losses)

    def left(self, now: float, lender: str, rate: int, burst: int) -> int:
        """Estimates what a lender has, from its share of rate and burst."""
        estimate = self._estimates.get(lender)
        if estimate is None:
            return burst
        if estimate.losses >= LOSSES_OF_A_DEAD_LENDER:
            return 0
        gained = int(rate * max(0.0, now - estimate.at))
        return min(burst, estimate.left + gained)

    def is_idle(self, now: float) -> bool:
        """Whether nothing waits and nothing was asked for of late."""
        return not self.waiting and self._decayed(now) * MICROS_PER_TOKEN < 1

    def _decayed(self, now: float) -> float:
        elapsed = max(0.0, now - self._counted_at)
        return self._count * math.exp(-elapsed / USE_SECONDS)
