"""Requests of one workspace that wait for tokens, and their demand."""

import math
from collections import OrderedDict
from dataclasses import dataclass, replace

from lagoonstair.limits._units import MICROS_PER_TOKEN

RATE_TIME_CONSTANT_SECONDS = 0.5
"""Time constant of the exponentially decaying request rate, in seconds."""

MAX_CONSECUTIVE_LOSSES = 3
"""Unanswered asks in a row after which a lender is assumed to be empty."""

MIN_URGENT_LOAN = MICROS_PER_TOKEN // 4
"""Minimum loan, in micro-tokens, that justifies the messages of an urgent ask.

It is a quarter of a token, so four holders that can each lend this much have a
whole token together."""


@dataclass(frozen=True, slots=True)
class _Estimate:
    """A lender's last known balance.

    Attributes:
        remaining: Micro-tokens that the lender reported as available.
        observed_at: When it reported them, in seconds.
        losses: Asks left unanswered since then.
    """

    remaining: int
    observed_at: float
    losses: int


class WaitQueue:
    """The waiting requests of one workspace at one instance, in FIFO order.

    Attributes:
        waiting: The deadline of each waiting ticket in seconds, in order of
            arrival.
        waited_in_vain_at: When a request last waited for its whole time
            without getting a token, in seconds.
    """

    def __init__(self) -> None:
        self.waiting: OrderedDict[int, float] = OrderedDict()
        self.waited_in_vain_at = -math.inf
        self._count = 0.0
        self._counted_at = 0.0
        self._estimates: dict[str, _Estimate] = {}

    def count_request(self, now: float) -> None:
        """Counts a request towards the average request rate."""
        self._count = self._decayed_count(now) + 1
        self._counted_at = now

    def request_rate(self, now: float) -> float:
        """Returns the recent average of requests per second."""
        return self._decayed_count(now) / RATE_TIME_CONSTANT_SECONDS

    def record_remaining(self, now: float, lender: str, remaining: int) -> None:
        """Records the balance that a lender reported."""
        self._estimates[lender] = _Estimate(remaining, now, 0)

    def record_loss(self, now: float, lender: str) -> None:
        """Records that a lender left an ask unanswered."""
        last = self._estimates.get(lender, _Estimate(0, now, 0))
        losses = last.losses + 1
        self._estimates[lender] = replace(last, losses=losses)

    def estimate_remaining(
        self, now: float, lender: str, rate: int, burst: int
    ) -> int:
        """Estimates a lender's balance in micro-tokens.

        Args:
            now: The time, in seconds.
            lender: The lender's name.
            rate: Its share of the rate, in micro-tokens per second.
            burst: Its share of the burst, in micro-tokens.
        """
        estimate = self._estimates.get(lender)
        if estimate is None:
            return burst
        if estimate.losses >= MAX_CONSECUTIVE_LOSSES:
            return 0
        gained = int(rate * max(0.0, now - estimate.observed_at))
        return min(burst, estimate.remaining + gained)

    def is_empty(self, now: float, lender: str, seconds: float) -> bool:
        """Returns whether a lender recently had almost no tokens left.

        Args:
            now: The time, in seconds.
            lender: The lender's name.
            seconds: The time for which its report counts, in seconds.
        """
        estimate = self._estimates.get(lender)
        if estimate is None:
            return False
        if estimate.losses >= MAX_CONSECUTIVE_LOSSES:
            return True
        return (
            estimate.remaining < MIN_URGENT_LOAN
            and now - estimate.observed_at < seconds
        )

    def is_idle(self, now: float) -> bool:
        """Returns whether no request waits and the recent rate is near 0."""
        return (
            not self.waiting and self._decayed_count(now) * MICROS_PER_TOKEN < 1
        )

    def _decayed_count(self, now: float) -> float:
        elapsed = max(0.0, now - self._counted_at)
        return self._count * math.exp(-elapsed / RATE_TIME_CONSTANT_SECONDS)
