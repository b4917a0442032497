"""Tests of the failover and read measurements, on short runs."""

import random

import pytest

from lagoonstair.measure._acknowledge import (
    confirm_by_position,
    confirm_by_term,
    run_lagging,
)
from lagoonstair.measure._failover import (
    CAUSES,
    LEASE_SECONDS,
    lease_gap,
    run_failover,
    run_quiet,
)
from lagoonstair.measure._model import VEMBANAD
from lagoonstair.measure._replica_reads import ReadCase, run_reads


@pytest.mark.parametrize("cause", ["cut off", "killed with its owner"])
def test_a_failover_loses_no_answered_write(cause):
    found = run_failover(VEMBANAD, CAUSES[cause], 5)
    assert found.answered > 0
    assert (found.lost, found.promotions) == (0, 1)
    assert found.gap < lease_gap(random.Random(5))


def test_lag_jitter_and_short_freezes_promote_nobody():
    found = run_quiet(VEMBANAD, 1.0, 5)
    assert found.freezes > 0
    assert found.promotions == 0


def test_a_lease_waits_for_its_end_and_for_the_store():
    rng = random.Random(1)
    assert lease_gap(rng) > LEASE_SECONDS / 2
    assert lease_gap(rng, store_outage=300.0) > 300.0


def test_reads_that_may_run_on_replicas_do():
    share = run_reads(VEMBANAD, ReadCase(0.05, 0.1, 0.01), 1)
    assert share.refused == 0
    assert share.allowed_on_replica >= 0.95 * share.allowed > 0


def test_the_term_alone_answers_writes_that_a_promotion_loses():
    kept = run_lagging(VEMBANAD, 1.0, confirm_by_position, 1)
    lost = run_lagging(VEMBANAD, 1.0, confirm_by_term, 1)
    assert kept.answered > 0
    assert (kept.lost, lost.lost > 0) == (0, True)
