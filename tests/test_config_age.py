"""Decisions by the age of the known configuration; no network is needed."""

import math

import pytest

from lagoonstair.proxy._config_age import (
    BEHIND_FRACTION,
    READ_FRACTION,
    TAKEOVER_FRACTION,
    UNKNOWN_AGE_SECONDS,
    ConfigAge,
)

BOUND = 3.0
GOSSIP_ROUND = 0.45
BEHIND = BOUND * BEHIND_FRACTION


LIMITS = {
    0: BOUND * READ_FRACTION,
    1: BOUND * TAKEOVER_FRACTION,
    6: BOUND * TAKEOVER_FRACTION,
    None: BEHIND,
}
"""Age (s) beyond which an instance reads, by its place among the voters."""


def _due(config_age, now, rank):
    return config_age.is_read_due(now, rank=rank, jitter=1.0)


@pytest.mark.parametrize("rank", LIMITS)
def test_without_any_read_every_instance_reads(rank):
    config_age = ConfigAge(BOUND)
    assert _due(config_age, 100, rank)
    assert not config_age.is_current(100)
    assert config_age.age(100) == UNKNOWN_AGE_SECONDS


@pytest.mark.parametrize(("rank", "limit"), LIMITS.items())
def test_a_feed_without_an_answer_does_not_count_as_a_read(rank, limit):
    """Silence of the feed must end in a read before the bound is reached."""
    config_age = ConfigAge(BOUND)
    config_age.note_read(10)
    assert not _due(config_age, 10 + limit, rank)
    assert _due(config_age, 10 + limit + 0.01, rank)


def test_load_pattern_one_voter_reads_for_all():
    """While the first voter reads, the knowledge of no other one grows old.

    Its read reaches the other voters within a round of gossip, and the other
    instances within two.
    """
    first, other, none = LIMITS[0], LIMITS[1], LIMITS[None]
    examination = 0.15
    assert first + examination + GOSSIP_ROUND < other * 0.9
    assert first + examination + 2 * GOSSIP_ROUND < none


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
    """Read, relay to another voter, relay to an instance: all in time.

    The first voter is gone, and one of the rounds is lost.
    """
    lost_round = 0.4
    latest = bound * TAKEOVER_FRACTION + 2 * GOSSIP_ROUND + lost_round
    assert latest < bound
