"""Histories that check rows 1 and 2 of the guarantees and the age bound.

They also find the fault of each baseline, which is a weaker protocol.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from groups_history import (
    NAMES,
    GroupHistory,
    Write,
    by_term_alone,
    missing_writes,
    terms_with_several_primaries,
)
from lagoonstair._types import Position
from lagoonstair.groups import Confirmation
from lagoonstair.groups._promotion import Promotion
from lagoonstair.measure._member import Entry, Member
from soak import examples

SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=examples(150),
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)


def test_histories_keep_every_answered_write_and_bound():
    run_state_machine_as_test(GroupHistory, settings=SETTINGS)


class ByTermAlone(GroupHistory):
    def assess(self, write, observer):
        return by_term_alone(write, observer)


class AtThePrimaryOnly(GroupHistory):
    def assess(self, write, observer):
        return Confirmation.CONFIRMED


class OffsetPromotion(Promotion):
    def _rank(self, member):
        return (self._granted[member].last.offset, member)


class ByOffsetAlone(GroupHistory):
    promotion_type = OffsetPromotion


class TailCounts(GroupHistory):
    def assess(self, write, observer):
        statuses = observer.asked_since(write.committed_at)
        held = [s for s in statuses if s.last >= write.position]
        if len(held) >= observer.quorum:
            return Confirmation.CONFIRMED
        return Confirmation.UNCONFIRMED


class OneVotePromotion(Promotion):
    def _select_member(self):
        self._members, members = self._members[:1], self._members
        effects = super()._select_member()
        self._members = members
        return effects


class OneVoteIsEnough(GroupHistory):
    promotion_type = OneVotePromotion


class SessionIsIgnored(GroupHistory):
    def session(self, write):
        return {}


@pytest.mark.parametrize(
    "baseline",
    [
        ByTermAlone,
        AtThePrimaryOnly,
        TailCounts,
        OneVoteIsEnough,
        SessionIsIgnored,
    ],
)
def test_histories_find_the_fault_of_each_baseline(baseline):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            baseline,
            settings=settings(
                SETTINGS, max_examples=1000, phases=[Phase.generate]
            ),
        )


@pytest.mark.parametrize("kind", [GroupHistory, ByOffsetAlone])
def test_a_longer_log_of_an_older_term_is_not_promoted(kind):
    history = kind()
    history.write("b", 4)
    history.promote_among({"a", "c"}, dies=False)
    history.serve(1, {"a", "c"}, 1, "x")
    assert [w.payload for w in history.writes if w.acked_at] == ["w4"]
    if kind is GroupHistory:
        history.teardown()
    else:
        with pytest.raises(AssertionError):
            history.teardown()


def test_checkers_find_a_bad_history():
    lost = Write("w", Position(1, 1), 0.0, acked_at=1.0)
    assert missing_writes([lost], [Entry(2, "v")]) == ["w"]
    assert terms_with_several_primaries([(1, "a"), (2, "a"), (2, "b")]) == [2]


def elect(members, term):
    for member in members:
        member.fence(term, f"owner/{term}")
    members[0].promote(term, f"owner/{term}")
    for member in members[1:]:
        member.follow(term, members[0].name)
        member.replicate(members[0], 9)


def test_a_lease_lets_a_paused_owner_acknowledge_a_lost_write():
    members = [Member(name) for name in NAMES]
    elect(members, 1)
    lease_ends = 10.0
    holds_lease = lease_ends > 9.0
    # The owner is paused from 9.0 to 12.0; another one gets the lease at 10.0.
    elect([members[1], members[2]], 2)
    position = members[0].commit(1, "w")
    acked = Write("w", position, 12.0, acked_at=12.0 if holds_lease else None)
    members[0].follow(2, "b")
    members[0].replicate(members[1], 9)
    assert missing_writes([acked], members[0].log) == ["w"]


def test_a_term_check_at_the_primary_acknowledges_a_lost_write():
    members = [Member(name) for name in NAMES]
    elect(members, 1)
    elect([members[1], members[2]], 2)
    position = members[0].commit(1, "w")
    acked = Write("w", position, 1.0, acked_at=1.0)
    members[0].follow(2, "b")
    members[0].replicate(members[1], 9)
    assert missing_writes([acked], members[0].log) == ["w"]
