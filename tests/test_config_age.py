"""Decisions by the age of the known configuration; no network is needed."""

import math

import pytest

from lagoonstair.proxy._config_age import (
    BEHIND_FRACTION,
    CHECK_FRACTION,
    UNKNOWN_AGE_SECONDS,
    ConfigAge,
)

BOUND = 3.0
CHECK = BOUND * CHECK_FRACTION
BEHIND = BOUND * BEHIND_FRACTION


def _due(config_age, now, *, is_voter):
    return config_age.is_check_due(now, is_voter=is_voter, fraction=1.0)


def test_without_any_read_every_instance_reads():
    config_age = ConfigAge(BOUND)
    assert _due(config_age, 100, is_voter=True)
    assert _due(config_age, 100, is_voter=False)
    assert not config_age.is_current(100)
    assert config_age.age(100) == UNKNOWN_AGE_SECONDS


def test_a_feed_without_an_answer_does_not_count_as_a_read():
    """Silence of the feed must end in a read before the bound is reached."""
    config_age = ConfigAge(BOUND)
    config_age.note_read(10)
    assert not _due(config_age, 10 + CHECK, is_voter=True)
    assert _due(config_age, 10 + CHECK + 0.01, is_voter=True)
    assert not _due(config_age, 10 + BEHIND, is_voter=False)
    assert _due(config_age, 10 + BEHIND + 0.01, is_voter=False)


def test_a_peer_is_as_current_as_its_last_read():
    config_age = ConfigAge(BOUND)
    config_age.note_peer("i2", 20, 0.5)
    assert config_age.read_at == 19.5
    config_age.note_peer("i3", 21, 9.0)
    assert config_age.read_at == 19.5
    assert config_age.is_peer_behind("i3")
    assert not config_age.is_peer_behind("i2")
    config_age.note_peer("i3", 22, 0.0)
    assert not config_age.is_peer_behind("i3")


def test_an_answer_without_an_age_tells_nothing():
    config_age = ConfigAge(BOUND)
    config_age.note_peer("i2", 20, UNKNOWN_AGE_SECONDS)
    assert config_age.read_at == -math.inf
    assert not config_age.is_peer_behind("i2")


@pytest.mark.parametrize("bound", [3.0, 5.0, 6.0])
def test_a_chain_of_voter_and_instance_stays_within_the_bound(bound):
    """Read, relay to another voter, relay to an instance: all in time."""
    gossip_round = 0.45
    lost_round = 0.85
    latest = bound * CHECK_FRACTION + 2 * gossip_round + lost_round
    assert latest < bound
