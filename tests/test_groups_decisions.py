"""Tests of the decision logic for groups, one case per known failure mode."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from groups_history import listed_group
from lagoonstair._types import EMPTY_LOG_POSITION, Position
from lagoonstair.groups import (
    Confirmation,
    GroupView,
    Liveness,
    Timing,
    assess_confirmation,
    is_discarded,
    log_contains,
    truncate_to_log,
)
from lagoonstair.groups._age import (
    FreshnessProof,
    FreshnessProofs,
    derive_proof,
)
from lagoonstair.groups._choose import NoTargetReason, rank_read_targets
from lagoonstair.groups._health import Health
from lagoonstair.groups._observer import Observer
from lagoonstair.groups._opinion import (
    should_defer_to_connected,
    should_defer_to_ranked,
)
from lagoonstair.groups._orders import (
    Fence,
    Follow,
    Promote,
    PromotionCause,
    PromotionFailed,
    PromotionSucceeded,
    StartPromotion,
)
from lagoonstair.groups._promotion import (
    FenceAnswered,
    GraceElapsed,
    PromoteAnswered,
    Promotion,
)
from lagoonstair.measure._member import Entry, Member
from lagoonstair.ports import (
    EndpointStatus,
    FenceAnswer,
    ListingState,
    Role,
    TermStart,
)

TIMING = Timing()
STARTS = {1: 1, 3: 11, 4: 21}


def status(name, term, last, *, role=Role.REPLICA, primary="a", starts=STARTS):
    history = tuple(TermStart(t, o) for t, o in starts.items() if o <= last[1])
    return EndpointStatus(
        name=name,
        role=role,
        term=term,
        last=Position(*last),
        history=history,
        primary=primary,
    )


def leader(term, last, name="a", **more):
    return status(name, term, last, role=Role.PRIMARY, primary=name, **more)


@pytest.mark.parametrize(
    ("position", "held", "lost", "kept"),
    [
        (Position(1, 10), True, False, Position(1, 10)),
        (Position(1, 11), False, True, Position(1, 10)),
        (Position(2, 11), False, True, Position(1, 10)),
        (Position(3, 11), True, False, Position(3, 11)),
        (Position(3, 25), False, True, Position(3, 20)),
        (Position(4, 31), False, False, Position(4, 31)),
        (Position(5, 1), False, False, Position(5, 1)),
        (EMPTY_LOG_POSITION, True, False, EMPTY_LOG_POSITION),
    ],
)
def test_term_history_tells_whether_a_position_survives(
    position, held, lost, kept
):
    log = leader(4, (4, 30))
    assert log_contains(log, position) is held
    assert is_discarded(log, position) is lost
    assert truncate_to_log(log, position) == kept


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        ([leader(4, (4, 30)), status("b", 4, (4, 25))], "confirmed"),
        ([leader(4, (4, 30)), status("b", 4, (4, 24))], "unconfirmed"),
        # Entries of an older term at the end of a log do not count, however
        # many there are.
        ([leader(4, (4, 30)), status("b", 4, (3, 99))], "unconfirmed"),
        # A majority that has only been fenced confirms nothing.
        ([status("a", 5, (4, 30)), status("b", 5, (4, 30))], "unconfirmed"),
        (
            [
                leader(5, (5, 31), starts={**STARTS, 5: 31}),
                status("b", 5, (5, 31), starts={**STARTS, 5: 31}),
            ],
            "confirmed",
        ),
        (
            [
                leader(5, (5, 25), starts={**STARTS, 5: 23}),
                status("b", 5, (5, 24), starts={**STARTS, 5: 23}),
            ],
            "replaced",
        ),
    ],
)
def test_confirmation_of_a_write_at_term_4_offset_25(reports, expected):
    result = assess_confirmation(Position(4, 25), reports, 2)
    assert result is Confirmation(expected)


def test_dead_requires_silence_and_repeated_failures():
    health = Health(heard_at=10.0)
    for asked_at in (10.1, 10.2, 10.3, 10.4):
        health = health.failed(asked_at)
    assert health.liveness(11.4, TIMING) is Liveness.SUSPECT
    assert health.liveness(11.5, TIMING) is Liveness.DEAD
    late = health.answered(10.3)
    assert late.liveness(11.9, TIMING) is Liveness.ALIVE
    assert late.failed(10.2) == late
    assert Health(heard_at=0.0).failed(1.0).liveness(99, TIMING) is (
        Liveness.SUSPECT
    )


def test_age_counts_from_when_the_round_was_asked():
    reports = [leader(4, (4, 30)), status("b", 4, (4, 5))]
    assert derive_proof(7.0, reports, 2) == FreshnessProof(Position(4, 30), 7.0)
    assert derive_proof(7.0, reports[:1], 2) is None
    assert derive_proof(7.0, [reports[1], status("c", 4, (4, 30))], 2) is None
    assert derive_proof(7.0, [leader(4, (3, 30)), reports[1]], 2) is None
    observer = Observer(listed_group(), timing=TIMING, now=0.0)
    observer.observe("a", leader(4, (4, 30)), 7.0)
    observer.observe("b", status("b", 4, (4, 30)), 8.0)
    assert observer.snapshot(9.0).proofs == ()
    observer.observe("b", status("b", 4, (4, 30)), 7.0)
    assert observer.snapshot(9.0).proofs == (
        FreshnessProof(Position(4, 30), 7.0),
    )


@given(st.lists(st.tuples(st.integers(1, 9), st.integers(0, 9))))
@settings(derandomize=True, database=None)
def test_the_ledger_keeps_what_proves_an_age(items):
    ledger = FreshnessProofs()
    for offset, asked_at in items:
        ledger.add(FreshnessProof(Position(1, offset), float(asked_at)))
    kept = ledger.snapshot()
    for offset in range(11):
        best = max((t for o, t in items if o <= offset), default=None)
        found = [p.asked_at for p in kept if p.position.offset <= offset]
        assert max(found, default=None) == best


def attempt(**more):
    names = ("a", "b", "c")
    return Promotion(
        **{
            "term": 5,
            "candidate": "x/1",
            "members": names,
            "expected": ("b", "c"),
            "attempts": 2,
            **more,
        }
    )


def grant(name, last):
    answer = FenceAnswer(granted=True, status=status(name, 5, last))
    return FenceAnswered(member=name, answer=answer)


def refusal(name, term):
    answer = FenceAnswer(granted=False, status=status(name, term, (4, 30)))
    return FenceAnswered(member=name, answer=answer)


def test_promotion_fences_all_and_promotes_the_most_advanced():
    promotion = attempt()
    assert [e.member for e in promotion.start()] == ["a", "b", "c"]
    assert promotion.handle(grant("b", (3, 99))) == []
    promote = Promote(member="c", term=5, candidate="x/1")
    assert promotion.handle(grant("c", (4, 21))) == [promote]
    assert promotion.handle(grant("a", (4, 40))) == []
    assert promotion.handle(PromoteAnswered(status=None)) == [promote]
    done = promotion.handle(PromoteAnswered(status=leader(5, (5, 22), "c")))
    assert done[:2] == [
        Follow(member=name, term=5, primary="c") for name in "ab"
    ]
    assert done[2] == PromotionSucceeded(member="c", term=5)
    assert promotion.handle(grant("a", (4, 40))) == []


@pytest.mark.parametrize(
    "events",
    [
        [refusal("b", 6)],
        [refusal("a", 5), refusal("b", 5)],
        [
            grant("b", (4, 1)),
            FenceAnswered(member="a", answer=None),
            refusal("c", 5),
        ],
        [
            grant("b", (4, 1)),
            grant("c", (4, 1)),
            PromoteAnswered(status=None),
            PromoteAnswered(status=None),
        ],
        [
            grant("b", (4, 1)),
            grant("c", (4, 1)),
            PromoteAnswered(status=status("c", 6, (4, 1))),
        ],
    ],
)
def test_promotion_gives_up_when_superseded_or_unanswered(events):
    promotion = attempt()
    effects = [e for event in events for e in promotion.handle(event)]
    assert isinstance(effects[-1], PromotionFailed)
    assert promotion.ended
    assert promotion.handle(GraceElapsed()) == []


def test_promotion_waits_for_live_members_only_as_long_as_the_grace():
    promotion = attempt(expected=("a", "b", "c"), avoid=("b",))
    assert promotion.handle(grant("b", (4, 30))) == []
    assert promotion.handle(grant("c", (4, 30))) == []
    (effect,) = promotion.handle(GraceElapsed())
    assert effect.member == "c"


def test_two_attempts_cannot_share_a_term():
    members = {name: Member(name) for name in "abc"}
    granted = {
        candidate: [
            name for name in order if members[name].fence(1, candidate).granted
        ]
        for candidate, order in (("x/1", "ab"), ("y/1", "bc"))
    }
    assert granted == {"x/1": ["a", "b"], "y/1": ["c"]}


VIEW = GroupView(watcher="y", term=4, primary="a", silence=0.2, can_act=True)


@pytest.mark.parametrize(
    ("more", "expected"),
    [
        ({}, True),
        ({"silence": 1.3}, False),
        ({"primary": ""}, False),
        ({"term": 3}, False),
    ],
)
def test_a_watcher_defers_when_another_reaches_the_primary(more, expected):
    view = GroupView(
        **{f: getattr(VIEW, f) for f in VIEW.__struct_fields__} | more
    )
    found = should_defer_to_connected(
        term=4, silence=1.6, views=[view], margin=0.6
    )
    assert found is expected


@pytest.mark.parametrize(
    ("watcher", "expected"), [("x", False), ("z", True), ("other", True)]
)
def test_a_standby_leaves_the_promotion_to_a_higher_ranked(watcher, expected):
    ranking = ("x", "y", "z")
    found = should_defer_to_ranked(
        watcher=watcher, ranking=ranking, views=[VIEW]
    )
    assert found is expected


def observer_at(now, *reports, group=None, **more):
    observer = Observer(group or listed_group(), timing=TIMING, now=0.0, **more)
    observer.tick(now - 0.1)
    for report in reports:
        observer.observe(report.name, report, now)
    observer.tick(now)
    return observer


HEALTHY = (
    leader(4, (4, 30)),
    status("b", 4, (4, 30)),
    status("c", 4, (4, 28)),
)


def silence(observer, start, stop, names="a"):
    """Advances time while the named members fail and the others answer."""
    orders = []
    steps = round((stop - start) / 0.25)
    for now in (start + 0.25 * i for i in range(1, steps + 1)):
        for report in HEALTHY:
            if report.name in names:
                observer.failed(report.name, now - 0.1)
            else:
                observer.observe(report.name, report, now - 0.1)
        orders += observer.tick(now)
    return orders


def test_a_dead_primary_is_replaced_at_the_next_term():
    observer = observer_at(1.0, *HEALTHY)
    assert observer.snapshot(1.0).primary == "a"
    assert silence(observer, 1.0, 2.25) == []
    (order,) = silence(observer, 2.25, 2.5)
    assert (order.cause, order.term) == (PromotionCause.DEAD, 5)
    assert order.expected == {"b", "c"}
    assert observer.snapshot(2.5).primary is None
    assert silence(observer_at(1.0, *HEALTHY), 1.0, 9.0, "abc") == []


def test_a_watcher_that_was_paused_suspects_nobody():
    observer = observer_at(1.0, *HEALTHY)
    for asked_at in (1.1, 1.2, 1.3, 1.4):
        observer.failed("a", asked_at)
    assert observer.tick(60.0) == []
    assert observer.snapshot(60.0).primary == "a"


def test_a_term_left_without_a_primary_is_superseded():
    fenced = [status(n, 5, (4, 30), primary="") for n in "bc"]
    observer = observer_at(1.0, *HEALTHY)
    for report in fenced:
        observer.observe(report.name, report, 1.1)
    state = observer.snapshot(1.1)
    assert state.primary is None
    plan = rank_read_targets(state, max_age=None, now=1.1, rng=random.Random(1))
    assert plan.no_target_reason is NoTargetReason.UNAVAILABLE
    assert observer.tick(1.2) == []
    assert observer.tick(2.1) == []
    (order,) = observer.tick(2.5)
    assert (order.cause, order.term) == (PromotionCause.ORPHANED, 6)


def test_an_old_primary_that_returns_follows_and_serves_nothing():
    old = leader(3, (3, 99))
    new = leader(4, (4, 30), "b")
    observer = observer_at(1.0, old, new, status("c", 4, (4, 30), primary="b"))
    assert observer.tick(1.1) == [Follow(member="a", term=4, primary="b")]
    state = observer.snapshot(1.1)
    # It has accepted the term and its primary, but has not discarded the
    # entries that the new primary lacks.
    observer.observe("a", status("a", 4, (3, 99), primary="b"), 1.2)
    after = observer.snapshot(1.2)
    for known in (state, after):
        plan = rank_read_targets(
            known, max_age=None, now=1.2, rng=random.Random(1)
        )
        assert [t.member for t in plan.targets] == ["c", "b"]
    # A session whose last write is not in the new log is lost.
    tail = Position(3, 50)
    plan = rank_read_targets(
        state, last_write=tail, max_age=None, now=1.1, rng=random.Random(1)
    )
    assert plan.no_target_reason is NoTargetReason.SESSION_LOST


def test_late_and_crossed_reports_change_nothing():
    observer = observer_at(1.0, *HEALTHY)
    observer.observe("b", status("b", 4, (4, 10)), 0.5)
    observer.observe("b", leader(3, (3, 15), "b"), 0.4)
    state = observer.snapshot(1.0)
    assert state.member("b").status == HEALTHY[1]
    assert len(observer.asked_since(1.0)) == 3
    assert observer.asked_since(1.1) == []


def test_leaving_members_get_no_new_work_and_older_lists_are_ignored():
    observer = observer_at(1.0, *HEALTHY)
    leaving = listed_group(b=ListingState.LEAVING)
    assert observer.update_listing(7, leaving, 1.0)
    assert not observer.update_listing(6, listed_group(), 1.0)
    state = observer.snapshot(1.0)
    plan = rank_read_targets(state, max_age=None, now=1.0, rng=random.Random(1))
    assert [t.member for t in plan.targets] == ["c", "a"]


@given(
    states=st.lists(
        st.dictionaries(
            st.sampled_from("abc"), st.sampled_from(ListingState), max_size=3
        ),
        min_size=1,
        max_size=5,
    ),
    order=st.randoms(use_true_random=False),
)
@settings(derandomize=True, database=None)
def test_reordered_lists_never_bring_a_leaving_member_back(states, order):
    observer = observer_at(1.0, *HEALTHY)
    versions = list(enumerate(states))
    order.shuffle(versions)
    newest = -1
    for version, listed in versions:
        observer.update_listing(version, listed_group(**listed), 1.0)
        newest = max(newest, version)
        leaving = {
            n for n, s in states[newest].items() if s != ListingState.LIVE
        }
        state = observer.snapshot(1.0)
        plan = rank_read_targets(
            state, max_age=None, now=1.0, rng=random.Random(1)
        )
        used = {t.member for t in plan.targets} | {state.primary}
        assert not used & leaving


def test_a_leaving_primary_hands_over_once_a_member_has_caught_up():
    observer = observer_at(1.0, *HEALTHY)
    observer.update_listing(7, listed_group(a=ListingState.LEAVING), 1.0)
    assert observer.snapshot(1.0).primary is None
    orders = [o for i in range(1, 6) for o in observer.tick(1.0 + i / 4)]
    assert [o.cause for o in orders] == [PromotionCause.LEAVING]
    assert isinstance(orders[0], StartPromotion)
    assert orders[0].avoid == {"a"}


AHEAD = Position(4, 30)


@pytest.mark.parametrize(
    ("write", "max_age", "now", "targets", "obstacle"),
    [
        (EMPTY_LOG_POSITION, None, 1.0, "bca", None),
        (AHEAD, None, 1.0, "ba", None),
        (AHEAD, 0.5, 1.4, "ba", None),
        (EMPTY_LOG_POSITION, 0.5, 1.4, "ba", None),
        (Position(4, 31), 0.5, 1.4, "a", None),
        (AHEAD, 0.5, 1.6, "", NoTargetReason.TOO_STALE),
        (Position(5, 1), None, 1.0, "", NoTargetReason.BEHIND),
        (Position(2, 12), None, 1.0, "", NoTargetReason.SESSION_LOST),
    ],
)
def test_reads_go_to_replicas_that_cover_and_are_fresh(
    write, max_age, now, targets, obstacle
):
    state = observer_at(1.0, *HEALTHY).snapshot(now)
    load = {"c": 1.0}
    plan = rank_read_targets(
        state,
        last_write=write,
        max_age=max_age,
        now=now,
        rng=random.Random(1),
        load=load,
        wait_limit=0.01,
    )
    assert "".join(t.member for t in plan.targets) == targets
    assert plan.no_target_reason is obstacle
    lost = obstacle is NoTargetReason.SESSION_LOST
    assert (plan.replica_wait > 0) is (targets in ("a", "") and not lost)


def test_the_model_member_keeps_the_assumptions_of_the_port():
    a, b = Member("a"), Member("b")
    assert a.fence(1, "x").granted
    assert not a.fence(1, "y").granted
    assert a.promote(1, "x").last == Position(1, 1)
    a.commit(1, "kept")
    b.append([Entry(1, ""), Entry(0, "tail")])
    b.follow(1, "a")
    b.replicate(a, 9)
    assert b.log == a.log
    assert isinstance(Fence(member="a", term=1, candidate="x"), Fence)
