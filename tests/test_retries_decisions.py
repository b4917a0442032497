"""Retry decisions under random outcomes, and a checker of reported outcomes."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome
from lagoonstair.peers import PeerNotSentError
from lagoonstair.ports import (
    EndpointRefusal,
    EndpointRefusedError,
    EndpointUnreachableError,
    ResultUnknownError,
)
from lagoonstair.retries import (
    AttemptFailure,
    Attempts,
    Backoff,
    BudgetLimits,
    RetryAfter,
    RetryBudget,
    Stop,
    classify_failure,
)
from soak import examples


def _budget(**limits: float) -> RetryBudget:
    return RetryBudget(BudgetLimits(**limits), now=0.0)


def false_claims(
    outcomes: list[Outcome], claim: Outcome, repeatable: bool
) -> list:
    """Lists what is wrong with a request's reported outcome."""
    unknown = outcomes.count(Outcome.UNKNOWN)
    answered = outcomes.count(Outcome.ANSWERED)
    return [
        fault
        for fault, found in {
            "not run, but may have": claim is Outcome.NOT_RUN
            and unknown + answered > 0,
            "answered, but was not": claim is Outcome.ANSWERED and not answered,
            "may have run twice": not repeatable and unknown + answered > 1,
        }.items()
        if found
    ]


@pytest.mark.parametrize(
    ("outcomes", "claim"),
    [
        (["unknown", "not_run"], "not_run"),
        (["unknown"], "answered"),
        (["unknown", "answered"], "answered"),
    ],
)
def test_checker_finds_bad_histories(outcomes, claim):
    assert false_claims([Outcome(o) for o in outcomes], Outcome(claim), False)


@hypothesis.settings(derandomize=True, max_examples=examples(300))
@hypothesis.given(
    outcomes=st.lists(st.sampled_from(Outcome), min_size=1, max_size=8),
    repeatable=st.booleans(),
    most=st.integers(1, 6),
)
def test_claims_are_true(outcomes, repeatable, most):
    attempts = Attempts(repeatable=repeatable, deadline=1e9, most=most)
    budget = _budget(burst=4.0)
    rng = random.Random(1)
    made = []
    for outcome in outcomes:
        attempts.start()
        assert attempts.outcome is Outcome.UNKNOWN
        made.append(outcome)
        if outcome is Outcome.ANSWERED:
            attempts.record_answer()
            break
        decision = attempts.record_failure(
            AttemptFailure(outcome), now=0.0, budget=budget, rng=rng
        )
        if isinstance(decision, Stop):
            assert decision.outcome is attempts.outcome
            break
    assert false_claims(made, attempts.outcome, repeatable) == []
    assert len(made) <= min(most, 5)


def test_attempt_that_could_run_twice_may_not_start():
    attempts = Attempts(repeatable=False, deadline=9.0)
    attempts.start()
    with pytest.raises(ValueError, match="may have run"):
        attempts.start()


@pytest.mark.parametrize(
    ("now", "tokens", "effect", "again"),
    [
        (0.0, 1.0, AttemptFailure(Outcome.NOT_RUN), True),
        (0.0, 0.0, AttemptFailure(Outcome.NOT_RUN), False),
        (10.0, 1.0, AttemptFailure(Outcome.NOT_RUN), False),
        (0.0, 1.0, AttemptFailure(Outcome.NOT_RUN, retry_after=11.0), False),
        (0.0, 1.0, AttemptFailure(Outcome.NOT_RUN, retryable=False), False),
    ],
)
def test_retry_needs_time_and_budget(now, tokens, effect, again):
    attempts = Attempts(repeatable=True, deadline=10.0)
    attempts.start()
    decision = attempts.record_failure(
        effect,
        now=now,
        budget=_budget(burst=tokens, per_second=0.0),
        rng=random.Random(1),
    )
    assert isinstance(decision, RetryAfter) is again


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    steps=st.lists(st.floats(-1.0, 5.0), max_size=50),
    ratio=st.floats(0.0, 0.5),
)
def test_retries_stay_within_the_budget(steps, ratio):
    limits = BudgetLimits(ratio=ratio, per_second=1.0, burst=3.0)
    budget = RetryBudget(limits, now=0.0)
    now = latest = 0.0
    retries = 0
    for requests, step in enumerate(steps, 1):
        now += step
        latest = max(latest, now)
        budget.count_request(now)
        retries += budget.take(now) + budget.take(now)
        assert retries <= 3.0 + latest + ratio * requests + 1e-6


def test_waits_grow_to_a_bound_and_are_spread():
    backoff = Backoff(initial_bound=1.0, factor=2.0, max_bound=8.0)
    rng = random.Random(1)
    waits = {
        attempt: [backoff.wait(attempt, rng) for _ in range(200)]
        for attempt in (1, 2, 4, 1000)
    }
    for attempt, bound in {1: 1.0, 2: 2.0, 4: 8.0, 1000: 8.0}.items():
        assert bound / 2 < max(waits[attempt]) <= bound
        assert min(waits[attempt]) < bound / 2


@pytest.mark.parametrize(
    ("exc", "outcome", "retryable"),
    [
        (EndpointUnreachableError(), Outcome.NOT_RUN, True),
        (PeerNotSentError(), Outcome.NOT_RUN, True),
        (ResultUnknownError(), Outcome.UNKNOWN, True),
        (RuntimeError(), Outcome.UNKNOWN, True),
        (
            EndpointRefusedError(EndpointRefusal.NOT_PRIMARY, ""),
            Outcome.NOT_RUN,
            True,
        ),
        (
            EndpointRefusedError(EndpointRefusal.STATEMENT_FAILED, ""),
            Outcome.NOT_RUN,
            False,
        ),
        (LagoonstairError(ErrorKind.FORBIDDEN, ""), Outcome.NOT_RUN, False),
        (LagoonstairError(ErrorKind.INTERNAL, ""), Outcome.UNKNOWN, True),
    ],
)
def test_errors_tell_what_they_prove(exc, outcome, retryable):
    effect = classify_failure(exc)
    assert (effect.outcome, effect.retryable) == (outcome, retryable)
