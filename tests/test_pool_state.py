"""Tests of the pool's decision logic with a Hypothesis state machine."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lagoonstair.pool import (
    Close,
    Fail,
    Grant,
    Open,
    PoolLimits,
    PoolState,
    TransactionKey,
    TransactionTable,
)
from soak import examples

LIMITS = PoolLimits(connections=3, min_idle=1, idle_seconds=5, retry_seconds=2)


class PoolMachine(stateful.RuleBasedStateMachine):
    """Simulates callers, the endpoint and the clock of a pool."""

    def __init__(self) -> None:
        super().__init__()
        self.state = PoolState(LIMITS)
        self.now = 0.0
        self.ids = 0
        self.opening = 0
        self.waiting: set[int] = set()
        self.alive: set[int] = set()
        self.lent: set[int] = set()

    def take(self, effects) -> None:
        for effect in effects:
            match effect:
                case Open():
                    self.opening += 1
                case Fail(waiter):
                    self.waiting.remove(waiter)
                case Close(conn):
                    assert conn not in self.lent
                    self.alive.remove(conn)
                case Grant(waiter, conn):
                    assert conn in self.alive
                    assert conn not in self.lent
                    self.waiting.remove(waiter)
                    self.lent.add(conn)

    def next_id(self) -> int:
        self.ids += 1
        return self.ids

    @stateful.rule()
    def acquire(self):
        waiter = self.next_id()
        self.waiting.add(waiter)
        self.take(self.state.acquire(waiter, self.now))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        waiter = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.remove(waiter)
        self.state.cancel(waiter)

    @stateful.precondition(lambda self: self.lent)
    @stateful.rule(data=st.data(), reusable=st.booleans())
    def release(self, data, reusable):
        conn = data.draw(st.sampled_from(sorted(self.lent)))
        self.lent.remove(conn)
        self.take(self.state.release(conn, self.now, reusable=reusable))
        assert reusable or conn not in self.alive

    @stateful.precondition(lambda self: self.opening)
    @stateful.rule()
    def opened(self):
        self.opening -= 1
        conn = self.next_id()
        self.alive.add(conn)
        self.take(self.state.opened(conn, self.now))

    @stateful.precondition(lambda self: self.opening)
    @stateful.rule()
    def failed(self):
        self.opening -= 1
        self.take(self.state.failed(self.now))

    @stateful.rule(seconds=st.floats(0, 10))
    def tick(self, seconds):
        self.now += seconds
        self.take(self.state.tick(self.now))

    @stateful.invariant()
    def stays_within_the_limit(self):
        assert len(self.alive) + self.opening <= LIMITS.connections

    @stateful.invariant()
    def nobody_waits_in_vain(self):
        idle = self.alive - self.lent
        assert not (self.waiting and idle)
        assert not self.waiting or self.lent or self.opening

    @stateful.invariant()
    def counts_are_right(self):
        idle = len(self.alive) - len(self.lent)
        assert self.state.status == (
            idle,
            len(self.lent),
            self.opening,
            len(self.waiting),
        )


TestPoolMachine = PoolMachine.TestCase
TestPoolMachine.settings = hypothesis.settings(
    derandomize=True,
    max_examples=examples(100),
    stateful_step_count=40,
    deadline=None,
)


def test_excess_idle_connections_are_closed():
    state = PoolState(LIMITS)
    state.acquire(1, 0.0)
    state.acquire(2, 0.0)
    state.opened(10, 0.0)
    state.opened(11, 0.0)
    state.release(10, 1.0, reusable=True)
    state.release(11, 2.0, reusable=True)
    assert state.tick(5.9) == []
    assert state.tick(7.0) == [Close(10)]


def test_no_spare_connection_is_opened_soon_after_a_failure():
    state = PoolState(LIMITS)
    assert state.tick(0.0) == [Open()]
    assert state.failed(0.5) == []
    assert state.tick(2.0) == []
    assert state.tick(2.5) == [Open()]


def test_idle_transactions_are_listed_unless_a_call_runs():
    table = TransactionTable(limit=2, idle_seconds=5.0)
    idle, busy = TransactionKey("w", "k", "1"), TransactionKey("w", "k", "2")
    table.begin(idle, 0.0)
    table.begin(busy, 0.0)
    table.call_started(busy)
    assert table.idle_transactions(4.9) == []
    assert table.idle_transactions(5.0) == [idle]
    table.call_ended(busy, 6.0)
    assert table.idle_transactions(10.9) == [idle]


def test_failed_opening_fails_one_waiter_unless_some_are_lent():
    state = PoolState(LIMITS)
    state.acquire(1, 0.0)
    state.acquire(2, 0.0)
    assert state.failed(0.0) == []
    assert state.failed(0.0) == [Fail(1)]
    assert state.opened(10, 0.0) == [Grant(2, 10), Open()]
    state.acquire(3, 0.0)
    state.failed(0.0)
    assert state.status.waiting == 1
    assert state.release(10, 0.5, reusable=True) == [Grant(3, 10)]
