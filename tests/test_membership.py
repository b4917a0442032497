"""Tests of rendezvous ranking: spread over domains, minimal reassignment."""

from lagoonstair.membership import (
    OWNERS_PER_GROUP,
    RankedInstance,
    Ranking,
    Suspects,
    rank_instances,
)

INSTANCES = [RankedInstance(f"i{n}", "abc"[n % 3]) for n in range(7)]
DUTIES = [f"d{n}" for n in range(300)]


def test_owners_are_in_different_domains():
    ranking = Ranking(INSTANCES)
    domains = dict(INSTANCES)
    for duty in DUTIES:
        found = {domains[name] for name in ranking.owners(duty)}
        assert len(found) == OWNERS_PER_GROUP


def test_order_does_not_depend_on_the_input_order():
    assert rank_instances("d", INSTANCES) == rank_instances(
        "d", reversed(INSTANCES)
    )


def test_a_leaving_instance_moves_only_its_own_duties():
    rest = INSTANCES[1:]
    for duty in DUTIES:
        before = rank_instances(duty, INSTANCES)[0]
        if before != "i0":
            assert rank_instances(duty, rest)[0] == before


def test_duties_are_spread_over_all_instances():
    firsts = [rank_instances(duty, INSTANCES)[0] for duty in DUTIES]
    assert min(firsts.count(i.name) for i in INSTANCES) > 10


def test_suspects_come_last_until_the_suspicion_ends():
    suspects = Suspects(duration=1.0)
    suspects.suspect("a", 10.0)
    assert suspects.order(("a", "b"), 10.5) == ("b", "a")
    assert suspects.order(("a", "b"), 11.5) == ("a", "b")
    suspects.suspect("a", 20.0)
    suspects.clear("a")
    assert suspects.order(("a", "b"), 20.5) == ("a", "b")
