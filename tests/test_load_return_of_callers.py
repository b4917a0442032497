"""Load patterns after a crash of all instances, on a model without network.

For two seconds nothing is served, then all callers reconnect at once: an
endpoint gets as many statements at once as it usually gets in a second.
"""

import heapq
import itertools
import random

import pytest

from lagoonstair.proxy._retries import (
    FIRST_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    backoff_delays,
    next_delay,
)

SLOTS = 3
QUEUE_LENGTH = 24
WORK_SECONDS = 0.014
TIMEOUT_SECONDS = 0.8
RETURNING_STATEMENTS = 120
"""Number of statements that arrive at once; an endpoint needs 0.56 s for
them."""


def _serve(delays_of, statements=RETURNING_STATEMENTS):
    """Simulates an endpoint that gets many statements at once.

    Args:
        delays_of: Returns the retry delays of one statement, given a random
            number generator.
        statements: The number of statements.

    Returns:
        The number of statements that are served in time.
    """
    rng = random.Random(7)
    delays = [delays_of(rng) for _ in range(statements)]
    sequence = itertools.count()
    arrivals = [
        (rng.random() * 0.01, next(sequence), statement)
        for statement in range(statements)
    ]
    heapq.heapify(arrivals)
    slot_free_at = [0.0] * SLOTS
    ends = []
    served = 0
    while arrivals:
        now, _, statement = heapq.heappop(arrivals)
        ends = [end for end in ends if end > now]
        if len(ends) < SLOTS + QUEUE_LENGTH:
            end = max(now, heapq.heappop(slot_free_at)) + WORK_SECONDS
            heapq.heappush(slot_free_at, end)
            ends.append(end)
            served += end <= TIMEOUT_SECONDS
            continue
        delay = next_delay(delays[statement], now=now, deadline=TIMEOUT_SECONDS)
        if delay is not None:
            heapq.heappush(arrivals, (now + delay, next(sequence), statement))
    return served


def _no_retry(rng):
    """Returns delays that refuse a statement without a retry."""
    return itertools.repeat(TIMEOUT_SECONDS)


def _short_delays(rng):
    """Returns delays for four attempts, 10 ms apart."""
    return itertools.chain([0.01] * 3, itertools.repeat(TIMEOUT_SECONDS))


def test_load_pattern_all_callers_return_at_once():
    with_backoff = _serve(lambda rng: backoff_delays(rng.random))
    assert with_backoff == RETURNING_STATEMENTS
    assert _serve(_no_retry) < RETURNING_STATEMENTS / 2
    assert _serve(_short_delays) < RETURNING_STATEMENTS / 2


def test_load_pattern_more_return_than_can_be_served_in_time():
    """The excess is refused, but refusals leave no slot idle."""
    with_backoff = _serve(
        lambda rng: backoff_delays(rng.random), statements=400
    )
    possible = SLOTS * TIMEOUT_SECONDS / WORK_SECONDS
    assert with_backoff >= 0.9 * possible


def test_pauses_grow_up_to_their_bound():
    longest = list(itertools.islice(backoff_delays(lambda: 1.0), 6))
    assert longest[0] == FIRST_BACKOFF_SECONDS
    assert longest[-1] == MAX_BACKOFF_SECONDS
    assert longest == sorted(longest)
    shortest = list(itertools.islice(backoff_delays(lambda: 0.0), 6))
    assert shortest == [delay / 2 for delay in longest]


@pytest.mark.parametrize(("left", "expected"), [(0.02, None), (0.03, 0.02)])
def test_no_pause_lasts_beyond_the_deadline(left, expected):
    delays = backoff_delays(lambda: 1.0)
    assert next_delay(delays, now=5.0, deadline=5.0 + left) == expected
