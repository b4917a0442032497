"""Decisions of the admission at an endpoint."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonstair.admission import (
    MAX_STARTS_BETWEEN,
    AdmissionQueue,
    AdmissionSettings,
    ConcurrencyLimit,
    ConnectionLine,
    PinLoad,
    WorkKind,
)
from lagoonstair.exceptions import ErrorKind
from lagoonstair.queueing import Reject, Start, Work

READ = WorkKind(0, False)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["enter", "enter", "finish", "cancel", "resize"]),
        st.integers(0, 3),
        st.integers(0, 2),
        st.booleans(),
        st.floats(0, 0.3),
    ),
    max_size=120,
)


def _queue(slots=1, max_waiting=64, **settings):
    settings = AdmissionSettings(max_waiting=max_waiting, **settings)
    return AdmissionQueue(slots, settings, lambda: 0.5)


def _work(priority, target_at=1.0, *, in_transaction=False):
    return Work(priority, target_at, 1.0, in_transaction)


def _started(effects):
    return [effect.ticket for effect in effects if isinstance(effect, Start)]


def _drain(queue, ticket, now=0.0):
    """Finishes entries one by one; returns the order of their starts."""
    order = []
    while True:
        now += 0.005
        started = _started(queue.leave(now, ticket))
        if not started:
            return order
        (ticket,) = started
        order.append(ticket)


@given(STEPS)
def test_each_entry_starts_or_is_rejected_once(steps):
    """An entry that is lost or started twice would leak a slot."""
    queue = _queue(slots=2, max_waiting=5)
    now, slots, waiting, running = 0.0, 2, {}, set()
    for ticket, step in enumerate(steps):
        action, priority, workspace, in_transaction, seconds = step
        now += seconds
        effects = []
        if action == "enter":
            waiting[ticket] = priority
            effects = queue.enter(
                now,
                f"w{workspace}",
                ticket,
                deadline=now + 1,
                work=_work(priority, now, in_transaction=in_transaction),
            )
        elif action == "resize":
            slots = 1 + priority
            effects = queue.resize(now, slots)
        elif action == "finish" and running:
            effects = queue.leave(now, running.pop())
        elif action == "cancel" and waiting:
            cancelled = min(waiting)
            del waiting[cancelled]
            effects = queue.leave(now, cancelled)
        for effect in effects:
            del waiting[effect.ticket]
            if isinstance(effect, Start):
                running.add(effect.ticket)
                assert len(running) <= slots
            else:
                assert effect.kind is ErrorKind.OVERLOADED
                assert effect.retry_after > 0
        assert queue.running == len(running)
        assert len(waiting) <= 5
        assert sum(queue.waiting(f"w{n}") for n in range(3)) == len(waiting)
        if waiting and action != "cancel":
            assert len(running) >= slots


@given(st.lists(st.integers(0, 3), min_size=20, max_size=60))
def test_each_waiting_class_gets_one_of_eight_starts(priorities):
    """Strict priority would starve the least urgent classes."""
    queue = _queue()
    queue.enter(0.0, "w", 0, work=_work(0))
    for ticket, priority in enumerate(priorities, 1):
        queue.enter(0.0, f"w{ticket % 3}", ticket, work=_work(priority))
    order = [priorities[ticket - 1] for ticket in _drain(queue, 0)]
    assert sorted(order) == sorted(priorities)
    for priority in set(priorities):
        last = max(i for i, p in enumerate(order) if p == priority)
        gaps = _gaps(order[: last + 1], priority)
        assert max(gaps) < MAX_STARTS_BETWEEN


def _gaps(order, priority):
    gap = 0
    for started in order:
        if started == priority:
            yield gap
        gap = 0 if started == priority else gap + 1


def test_classes_go_by_priority_then_transactions_then_time_left():
    queue = _queue()
    queue.enter(0.0, "w", 0, work=_work(0))
    queue.enter(0.0, "w", 1, work=_work(1, 0.1))
    queue.enter(0.0, "w", 2, work=_work(0, 0.9))
    queue.enter(0.0, "w", 3, work=_work(0, 0.5))
    queue.enter(0.0, "v", 4, work=_work(0, 1.0, in_transaction=True))
    assert _drain(queue, 0) == [4, 3, 2, 1]


def test_a_class_past_its_target_goes_first_once():
    queue = _queue()
    queue.enter(0.0, "w", 0, work=_work(0))
    for ticket in (1, 2):
        queue.enter(0.0, "w", ticket, work=_work(1))
    for ticket in (3, 4):
        queue.enter(1.5, "w", ticket, work=_work(0))
    assert _drain(queue, 0, 1.5) == [1, 3, 4, 2]


def test_transactions_of_one_workspace_leave_room_for_others():
    """A workspace with only transactions must not crowd out its class."""
    queue = _queue(credit=0.01)
    queue.enter(0.0, "w", 0, work=_work(0))
    for ticket in range(1, 9):
        work = _work(0, in_transaction=True)
        queue.enter(0.0, "noisy", ticket, work=work)
    queue.enter(0.0, "quiet", 9, work=_work(0))
    order = _drain(queue, 0)
    assert order.index(9) < 5


def test_a_full_queue_rejects_the_least_urgent_entry():
    queue = _queue(max_waiting=2)
    queue.enter(0.0, "w", 0, work=_work(0))
    queue.enter(0.0, "w", 1, work=_work(2))
    queue.enter(0.0, "w", 2, work=_work(1))
    (rejected,) = queue.enter(0.0, "w", 3, work=_work(0))
    assert isinstance(rejected, Reject)
    assert rejected.ticket == 1
    # One and a half times the time until the two entries before it have run.
    assert rejected.retry_after == 1.5 * 2 * 0.005
    (rejected,) = queue.enter(0.0, "w", 4, work=_work(2))
    assert rejected.ticket == 4


def test_an_entry_that_can_not_start_in_time_is_rejected_at_once():
    queue = _queue(initial_hold=0.5)
    queue.enter(0.0, "w", 0, work=_work(0))
    for ticket in (1, 2):
        assert not queue.enter(0.0, "w", ticket, work=_work(0))
    (rejected,) = queue.enter(0.0, "w", 3, deadline=0.9, work=_work(1))
    assert rejected.ticket == 3
    assert not queue.enter(0.0, "v", 4, deadline=0.9, work=_work(0))


def test_the_entries_of_a_withdrawn_key_are_rejected():
    queue = _queue()
    queue.enter(0.0, "w", 0)
    queue.enter(0.0, "w", 1, key_id="k")
    (rejected,) = queue.withdraw("k")
    assert (rejected.ticket, rejected.kind) == (1, ErrorKind.UNAUTHENTICATED)
    assert not _drain(queue, 0)


@given(
    st.lists(
        st.tuples(
            st.floats(0, 0.2), st.sampled_from(["busy", "late", "in time"])
        )
    )
)
def test_the_limit_stays_within_its_bounds(events):
    """A limit of 0 would stop an endpoint for good."""
    limit, now, lowered_at = ConcurrencyLimit(4), 0.0, -1.0
    limit.record_answer(now, READ, 0.006, running=1)
    for seconds, event in events:
        now += seconds
        before = limit.exact
        if event == "busy":
            limit.record_busy(now)
        else:
            took = 1.0 if event == "late" else 0.006
            limit.record_answer(now, READ, took, running=limit.value)
        assert 1 <= limit.exact <= 4
        if limit.exact < before:
            assert now - lowered_at >= 0.1
            lowered_at = now


def test_the_limit_grows_only_where_it_is_reached():
    limit = ConcurrencyLimit(4)
    assert limit.record_busy(0.0)
    lowered = limit.exact
    limit.record_answer(0.0, READ, 0.006, running=1)
    assert limit.exact == lowered
    limit.record_answer(0.0, READ, 0.006, running=2)
    assert limit.exact == lowered + 1 / lowered


def test_the_minimum_of_one_kind_does_not_apply_to_another():
    """Writes wait for replicas, so reads must not make them look late."""
    limit = ConcurrencyLimit(4)
    limit.record_answer(0.0, READ, 0.006, running=1)
    assert not limit.record_answer(0.0, WorkKind(0, True), 0.2, running=1)
    assert limit.record_answer(0.0, READ, 0.2, running=1)


def test_transactions_leave_a_quarter_of_the_connections_to_statements():
    line = ConnectionLine()
    line.add(0.0, 1, _work(0, in_transaction=True))
    assert line.may_pin(PinLoad(8, 8))
    line.add(0.0, 2, _work(2))
    assert line.pop(0.0, PinLoad(6, 8)) == 2
    line.add(0.0, 3, _work(2))
    assert line.pop(0.0, PinLoad(5, 8)) == 1
    assert line.pop(0.0, PinLoad(6, 8)) == 3
    assert line.pop(0.0, PinLoad(0, 8)) is None
