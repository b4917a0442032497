"""What is known about a request after several attempts, and what is next."""

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
        wait: Seconds to wait before it.
    """

    wait: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Stop:
    """Make no further attempt.

    Attributes:
        outcome: What is known of the request.
    """

    outcome: Outcome


Decision = RetryAfter | Stop


class AttemptFailure(NamedTuple):
    """What an attempt that is not answered tells.

    Attributes:
        outcome: ``NOT_RUN`` if this attempt had and will have no effect.
        retryable: Whether another attempt may fare better.
        retry_after: The least wait before it, in seconds.
    """

    outcome: Outcome
    retryable: bool = True
    retry_after: float = 0.0


class Attempts:
    """The attempts of one request.

    Args:
        repeatable: Whether a second run has no further effect: the request
            only reads, or its request id is recorded with its write.
        deadline: The time after which no attempt starts, in seconds.
        most: The most attempts.
        backoff: How long to wait between attempts.
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
        self._most = most
        self._backoff = backoff or Backoff()
        self._made = 0
        self._open = 0
        self._outcome = Outcome.NOT_RUN

    @property
    def made(self) -> int:
        """How many attempts were started."""
        return self._made

    @property
    def outcome(self) -> Outcome:
        """What is known of the request.

        Unknown while an attempt runs, and from then on when one was left
        without an answer: a later refusal doesn't prove that the earlier
        attempt won't arrive. Only an answer settles it.
        """
        if self._open and self._outcome is Outcome.NOT_RUN:
            return Outcome.UNKNOWN
        return self._outcome

    def start(self) -> None:
        """Notes an attempt, before anything of it is sent.

        Raises:
            ValueError: The attempt could run the request a second time.
        """
        if self._outcome is Outcome.ANSWERED:
            raise ValueError("the request was answered")
        if self.outcome is Outcome.UNKNOWN and not self._repeatable:
            raise ValueError("an earlier attempt may have run")
        self._made += 1
        self._open += 1

    def record_answer(self) -> None:
        """Notes that the attempt was answered."""
        self._open -= 1
        self._outcome = Outcome.ANSWERED

    def record_failure(
        self,
        effect: AttemptFailure,
        *,
        now: float,
        budget: RetryBudget,
        rng: random.Random,
    ) -> Decision:
        """Notes that the attempt was not answered, and decides.

        Args:
            effect: What the attempt tells.
            now: The time, in seconds.
            budget: Where a retry is taken from.
            rng: The source of the jitter.
        """
        self._open -= 1
        if self._outcome is Outcome.NOT_RUN:
            self._outcome = effect.outcome
        if not self._may_repeat(effect):
            return Stop(outcome=self.outcome)
        wait = max(effect.retry_after, self._backoff.wait(self._made, rng))
        if now + wait >= self._deadline or not budget.take(now):
            return Stop(outcome=self.outcome)
        return RetryAfter(wait=wait)

    def _may_repeat(self, effect: AttemptFailure) -> bool:
        if not effect.retryable or self._made >= self._most:
            return False
        return self.outcome is Outcome.NOT_RUN or self._repeatable
