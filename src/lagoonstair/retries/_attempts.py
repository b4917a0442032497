"""Tracks the attempts of a request and decides on retries."""

import random
from dataclasses import dataclass
from typing import NamedTuple

from lagoonstair.exceptions import Outcome
from lagoonstair.retries._backoff import Backoff
from lagoonstair.retries._budget import RetryBudget


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryAfter:
    """Make another attempt.

    Attributes:
        wait: Delay before it, in seconds.
    """

    wait: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Stop:
    """Make no further attempt.

    Attributes:
        outcome: The request's known outcome.
    """

    outcome: Outcome


Decision = RetryAfter | Stop


class AttemptFailure(NamedTuple):
    """What is known of an attempt that ended without an answer.

    Attributes:
        outcome: ``NOT_RUN`` if this attempt had no effect and will have none.
        retryable: Whether another attempt may succeed.
        retry_after: Minimum delay before it, in seconds.
    """

    outcome: Outcome
    retryable: bool = True
    retry_after: float = 0.0


class Attempts:
    """The attempts of one request.

    Args:
        repeatable: Whether the request is idempotent: it only reads, or its
            request ID is recorded together with its write.
        deadline: The time after which no attempt starts, in seconds.
        most: Maximum number of attempts.
        backoff: Delays between attempts.
    """

    def __init__(
        self,
        *,
        repeatable: bool,
        deadline: float,
        most: int = 3,
        backoff: Backoff | None = None,
    ) -> None:
        self._repeatable = repeatable
        self._deadline = deadline
        self._max_attempts = most
        self._backoff = backoff or Backoff()
        self._started = 0
        self._in_flight = 0
        self._outcome = Outcome.NOT_RUN

    @property
    def made(self) -> int:
        """The number of attempts that were started."""
        return self._started

    @property
    def outcome(self) -> Outcome:
        """The request's known outcome.

        It is unknown while an attempt runs, and remains unknown after an
        attempt that went unanswered: a later refusal doesn't prove that the
        earlier attempt won't arrive. Only an answer settles the outcome.
        """
        if self._in_flight and self._outcome is Outcome.NOT_RUN:
            return Outcome.UNKNOWN
        return self._outcome

    def start(self) -> None:
        """Records an attempt, before any part of it is sent.

        Raises:
            ValueError: The attempt could run the request a second time.
        """
        if self._outcome is Outcome.ANSWERED:
            raise ValueError("the request has already been answered")
        if self.outcome is Outcome.UNKNOWN and not self._repeatable:
            raise ValueError("an earlier attempt may have run")
        self._started += 1
        self._in_flight += 1

    def record_answer(self) -> None:
        """Records that the attempt was answered."""
        self._in_flight -= 1
        self._outcome = Outcome.ANSWERED

    def record_failure(
        self,
        failure: AttemptFailure,
        *,
        now: float,
        budget: RetryBudget,
        rng: random.Random,
    ) -> Decision:
        """Records an unanswered attempt and decides whether to retry.

        Args:
            failure: What is known of the attempt.
            now: The time, in seconds.
            budget: The budget from which a retry is taken.
            rng: The source of the jitter.
        """
        self._in_flight -= 1
        if self._outcome is Outcome.NOT_RUN:
            self._outcome = failure.outcome
        if not self._may_retry(failure):
            return Stop(outcome=self.outcome)
        wait = max(failure.retry_after, self._backoff.wait(self._started, rng))
        if now + wait >= self._deadline or not budget.take(now):
            return Stop(outcome=self.outcome)
        return RetryAfter(wait=wait)

    def _may_retry(self, failure: AttemptFailure) -> bool:
        if not failure.retryable or self._started >= self._max_attempts:
            return False
        return self.outcome is Outcome.NOT_RUN or self._repeatable
