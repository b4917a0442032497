"""Load pattern of a primary that 65% of the homes can't reach for 7 s."""

import random

from lagoonstair.reachability import RefusingHomes, is_out_of_reach

HOMES = [f"h{n}" for n in range(20)]
CUT_OFF = frozenset(HOMES[:13])
ENTRIES, WORKSPACES, CANDIDATES = 30, 60, 6
CUT_SECONDS, STARTS_PER_SECOND = 7.0, 400
RECORD = "epoch 1"


# Guards against: callers that are held or refused by homes that can't reach the
# primary, while others do, and entries that ask those again at each start.
def test_load_pattern_a_primary_is_cut_off_from_most_homes():
    rng = random.Random(9)
    entries = [RefusingHomes() for _ in range(ENTRIES)]
    ranked = [rng.sample(HOMES, CANDIDATES) for _ in range(WORKSPACES)]
    starts = opened = refusals = 0
    for step in range(int(CUT_SECONDS * STARTS_PER_SECOND)):
        now = step / STARTS_PER_SECOND
        entry, candidates = rng.choice(entries), rng.choice(ranked)
        starts += 1
        for home in entry.order(
            now, "g", RECORD, candidates=candidates, homes=HOMES
        ):
            unreachable = now if home in CUT_OFF else 0.0
            if not is_out_of_reach(unreachable, promoting=""):
                opened += home not in CUT_OFF or now <= 0.5
                break
            entry.note(now, home, "g", RECORD)
            refusals += 1
    assert opened >= 0.98 * starts
    # Each entry learns of each of these homes once a second.
    assert refusals <= ENTRIES * len(CUT_OFF) * CUT_SECONDS


# Guards against: homes that are skipped although another primary is recorded.
def test_a_refusal_counts_for_its_group_and_record_for_a_second():
    homes = RefusingHomes()
    assert homes.note(1.0, "a", "g", RECORD)
    assert not homes.note(1.1, "a", "g", RECORD)

    def order(now, group="g", record=RECORD):
        return homes.order(
            now, group, record, candidates=["a"], homes=["a", "b"]
        )

    assert order(2.0) == ("b",)
    for asked in (order(2.2), order(2.0, "x"), order(2.0, record="epoch 2")):
        assert asked == ("a", "b")


def test_a_promotion_in_progress_moves_no_session():
    assert is_out_of_reach(0.6, promoting="")
    assert not is_out_of_reach(0.6, promoting="i1")
    assert not is_out_of_reach(0.4, promoting="")
    assert not is_out_of_reach(-1.0, promoting="")
