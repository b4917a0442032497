"""Load patterns after a crash of all instances, on a model; no network.

For two seconds nothing is served, then all callers return at once: an endpoint
gets as many statements in a moment as usually in a second.
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
QUEUE = 24
WORK_SECONDS = 0.014
TIMEOUT_SECONDS = 0.8
RETURNING = 120
"""Statements that come at once; an endpoint needs 0.56 s for them."""


def _serve(pauses_of, statements=RETURNING):
    """How many statements an endpoint serves that all come at once.

    Args:
        pauses_of: From a random generator to the pauses of one statement.
        statements: How many come.
    """
    draw = random.Random(7)
    pauses = [pauses_of(draw) for _ in range(statements)]
    numbers = itertools.count()
    arrivals = [
        (draw.random() * 0.01, next(numbers), statement)
        for statement in range(statements)
    ]
    heapq.heapify(arrivals)
    free = [0.0] * SLOTS
    ends = []
    served = 0
    while arrivals:
        now, _, statement = heapq.heappop(arrivals)
        ends = [end for end in ends if end > now]
        if len(ends) < SLOTS + QUEUE:
            end = max(now, heapq.heappop(free)) + WORK_SECONDS
            heapq.heappush(free, end)
            ends.append(end)
            served += end <= TIMEOUT_SECONDS
            continue
        pause = next_delay(pauses[statement], now=now, deadline=TIMEOUT_SECONDS)
        if pause is not None:
            heapq.heappush(arrivals, (now + pause, next(numbers), statement))
    return served


def _shed(draw):
    """Refuses at once."""
    return itertools.repeat(TIMEOUT_SECONDS)


def _short(draw):
    """Four tries, 10 ms apart."""
    return itertools.chain([0.01] * 3, itertools.repeat(TIMEOUT_SECONDS))


def test_load_pattern_all_callers_return_at_once():
    waiting = _serve(lambda draw: backoff_delays(draw.random))
    assert waiting == RETURNING
    assert _serve(_shed) < RETURNING / 2
    assert _serve(_short) < RETURNING / 2


def test_load_pattern_more_return_than_can_be_served_in_time():
    """What can't be served is refused; the slots are never idle for that."""
    waiting = _serve(lambda draw: backoff_delays(draw.random), statements=400)
    possible = SLOTS * TIMEOUT_SECONDS / WORK_SECONDS
    assert waiting >= 0.9 * possible


def test_pauses_grow_up_to_their_bound():
    longest = list(itertools.islice(backoff_delays(lambda: 1.0), 6))
    assert longest[0] == FIRST_BACKOFF_SECONDS
    assert longest[-1] == MAX_BACKOFF_SECONDS
    assert longest == sorted(longest)
    shortest = list(itertools.islice(backoff_delays(lambda: 0.0), 6))
    assert shortest == [pause / 2 for pause in longest]


@pytest.mark.parametrize(("left", "expected"), [(0.02, None), (0.03, 0.02)])
def test_no_pause_lasts_beyond_the_deadline(left, expected):
    pauses = backoff_delays(lambda: 1.0)
    assert next_delay(pauses, now=5.0, deadline=5.0 + left) == expected
