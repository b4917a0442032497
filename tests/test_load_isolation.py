"""Load pattern of a third of the instances that is cut off for 12 s."""

import math
import random

from lagoonstair.reachability import CONTACT_SECONDS, Contact

INSTANCES = 81
CUT_AT, CUT_SECONDS, END = 5.0, 12.0, 22.0
"""Times of the pattern, in seconds."""

CHECK_SECONDS, ROUND_SECONDS = 0.1, 0.45
LOSS = 0.02
"""Fraction of the answers that are lost without a cut."""


def _run(rng, *, is_cut, starts_cut=False):
    """Returns the times at which an instance counts as isolated."""
    contact = Contact()
    home_at = voter_at = -math.inf
    next_round = rng.uniform(0, ROUND_SECONDS)
    isolated_at = []
    for step in range(int(END / CHECK_SECONDS)):
        now = step * CHECK_SECONDS
        begins = 0.0 if starts_cut else CUT_AT
        while next_round <= now:
            in_cut = is_cut and begins <= next_round < CUT_AT + CUT_SECONDS
            # One home and one voter are asked in each round.
            if not in_cut and rng.random() >= LOSS:
                home_at = next_round
            if not in_cut and rng.random() >= LOSS:
                voter_at = next_round
            next_round += ROUND_SECONDS
        hears_voter = now - voter_at <= CONTACT_SECONDS
        contact.check(now, home_at=home_at, hears_voter=hears_voter)
        if contact.is_isolated:
            isolated_at.append(now)
    return isolated_at


# Guards against: callers that are held by instances which can't serve them, and
# instances in contact that turn callers away.
def test_load_pattern_a_third_of_the_instances_is_cut_off():
    rng = random.Random(3)
    end = CUT_AT + CUT_SECONDS
    for number in range(INSTANCES):
        isolated_at = _run(rng, is_cut=number % 3 == 0)
        if number % 3:
            assert isolated_at == []
            continue
        # A caller that connects during the cut is refused at once, except in
        # its first second and a check.
        assert isolated_at[0] <= CUT_AT + CONTACT_SECONDS + CHECK_SECONDS
        # In contact from the first round on that is answered again.
        assert isolated_at[-1] <= end + 2 * ROUND_SECONDS + CHECK_SECONDS


# Guards against: a restart of all instances whose first ones turn callers away
# before the homes are up.
def test_an_instance_that_has_reached_no_home_yet_is_not_isolated():
    assert _run(random.Random(3), is_cut=True, starts_cut=True) == []


# Guards against: a process that was suspended and takes its own pause for the
# silence of the others.
def test_a_suspended_process_waits_for_answers_before_it_is_isolated():
    contact = Contact()
    contact.check(10.0, home_at=9.9, hears_voter=True)
    for now in (30.0, 30.4, 30.9):
        contact.check(now, home_at=9.9, hears_voter=False)
        assert not contact.is_isolated
    assert contact.check(31.1, home_at=9.9, hears_voter=False)
    assert contact.is_isolated
    assert contact.check(31.2, home_at=31.15, hears_voter=False)
    assert not contact.is_isolated
