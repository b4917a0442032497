"""Load on the order and limit of statements at an endpoint, in virtual time.

The load: 7 instances with a queue each before one endpoint of 4 slots and a
FIFO of 32, at 89% of its capacity; for 6 s the least urgent class sends 2.5
times as much, which is 140%.
"""

import random

import pytest

from admission_sim import INSTANCES, ROUTES, SLOTS, World
from lagoonstair.admission import AdmissionQueue, AdmissionSettings
from lagoonstair.queueing import Reject, Work


def _burst(*, ordered, seed):
    world = World(ordered=ordered, seed=seed)
    for priority in ROUTES:
        world.offer(priority, 0, 20)
    world.offer(2, 6, 12, rate=1.5 * ROUTES[2].rate)
    return world.run()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_burst_of_the_least_urgent_class_costs_mostly_itself(seed):
    """The endpoint's FIFO once served the most urgent class worst of all."""
    before = _burst(ordered=False, seed=seed)
    after = _burst(ordered=True, seed=seed)
    assert before.share(0) < 0.78
    assert before.share(0) < before.share(1) < before.share(2)
    assert after.share(0) > 0.93
    assert after.share(1) > before.share(1) + 0.1
    assert after.share(2) > 0.6


def test_the_least_urgent_class_is_not_starved():
    """More urgent work than the endpoint can do must not stop the rest."""
    world = World(ordered=True)
    world.offer(0, 0, 10, rate=900)
    world.offer(2, 0, 10)
    outcome = world.run()
    # One start in eight is more than it asks for.
    assert outcome.starts.count(2) > 0.95 * outcome.asked[2]


def test_no_workspace_crowds_out_others_of_its_class():
    """One workspace that sends four times what all others do, of one class."""
    world = World(ordered=True)
    world.offer(0, 0, 10)
    world.offer(0, 0, 10, rate=4 * ROUTES[0].rate, workspace="noisy")
    outcome = world.run()
    others = [name for name in outcome.asked_by_workspace if name != "noisy"]
    assert len(others) == 20
    for name in others:
        done = outcome.by_workspace[name]
        assert done > 0.8 * outcome.asked_by_workspace[name]


def test_rejected_entries_do_not_return_together():
    """A queue that rejects many at once must not get them back at once."""
    queue = AdmissionQueue(
        SLOTS, AdmissionSettings(max_waiting=64), random.Random(1).random
    )
    effects = [
        effect
        for ticket in range(300)
        for effect in queue.enter(0.0, f"w{ticket}", ticket, work=Work(2))
    ]
    hints = sorted(e.retry_after for e in effects if isinstance(e, Reject))
    assert len(hints) == 300 - 64 - SLOTS
    assert min(hints) > 0
    width = hints[0] / 10
    for hint in hints:
        together = sum(hint <= other < hint + width for other in hints)
        assert together < len(hints) / 5


def test_the_limit_follows_an_endpoint_that_turns_slow_and_recovers():
    """Statements must wait here, in order, not in a slow endpoint's FIFO."""
    world = World(
        ordered=True, slowness=lambda now: 4.0 if 5 <= now < 10 else 1.0
    )
    for priority in ROUTES:
        world.offer(priority, 0, 20, rate=ROUTES[priority].rate / 2)
    sums = {}
    for second in (4.9, 9.9, 19.9):
        world.at(
            second,
            lambda at: sums.update({at: sum(x.exact for x in world.limits)}),
            second,
        )
    world.run()
    assert sums[4.9] > 0.9 * INSTANCES * SLOTS
    assert sums[9.9] < 0.6 * INSTANCES * SLOTS
    assert sums[19.9] > 0.9 * INSTANCES * SLOTS
