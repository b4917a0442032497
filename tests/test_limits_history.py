"""Admissions stay within rate x window + burst under faults (virtual time)."""

import msgspec
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from lagoonstair.limits import (
    MICROS_PER_TOKEN,
    Borrower,
    Limiter,
    LimitSettings,
    ShareBucket,
    WorkspaceLimit,
    _lender,
)
from limits_fleet import NAMES, Change, Fleet, Process, check
from soak import examples

SECOND = 1_000_000_000
LIMITS = st.builds(
    WorkspaceLimit.from_config,
    rate=st.sampled_from([4, 20]),
    burst=st.sampled_from([1, 13, 20]),
    holders=st.permutations(NAMES).map(tuple),
)
INSTANCES = st.sampled_from(NAMES)
NUMBERS = st.integers(0, 50)
WAITS = st.sampled_from([0.001, 0.05, 0.3, 0.9, 1.2, 4.0, 6.3])


class LimitMachine(RuleBasedStateMachine):
    """Runs requests, message faults and limit changes in random order."""

    @initialize(limit=LIMITS)
    def boot(self, limit):
        self.fleet = Fleet()
        self.fleet.accept(limit)
        for _ in range(4):
            self.learn_all()
            self.pass_time(4.0)
        self.learn_all()

    def process(self, name, retired):
        previous = [x for x in self.fleet.retired if x.name == name]
        return (
            previous[-1] if retired and previous else self.fleet.processes[name]
        )

    @rule(seconds=WAITS)
    def pass_time(self, seconds):
        self.fleet.now += int(seconds * SECOND)

    @rule()
    def learn_all(self):
        for process in self.fleet.processes.values():
            self.fleet.learn(process)

    @rule(name=INSTANCES)
    def learn(self, name):
        self.fleet.learn(self.fleet.processes[name])

    @rule(name=INSTANCES, retired=st.booleans(), count=st.integers(1, 25))
    def request(self, name, retired, count):
        self.fleet.request(self.process(name, retired), count)

    @rule(name=INSTANCES, count=st.integers(5, 25))
    def borrow(self, name, count):
        process = self.fleet.processes[name]
        self.fleet.request(process, count)
        self.fleet.cancel_all(process)
        for _ in range(len(NAMES) * 4):
            self.fleet.deliver(0)

    @rule(name=INSTANCES, retired=st.booleans())
    def tick(self, name, retired):
        self.fleet.tick(self.process(name, retired))

    @rule(name=INSTANCES, count=st.integers(1, 25))
    def request_and_deliver_all(self, name, count):
        self.fleet.request(self.fleet.processes[name], count)
        for _ in range(len(NAMES) * 4):
            self.fleet.deliver(0)

    @rule(index=NUMBERS)
    def deliver(self, index):
        self.fleet.deliver(index)

    @rule(index=NUMBERS)
    def repeat(self, index):
        self.fleet.deliver(index, keep=True)

    @rule(index=NUMBERS, tell=st.booleans())
    def lose(self, index, tell):
        self.fleet.lose(index, tell=tell)

    @rule(limit=LIMITS)
    def change(self, limit):
        self.fleet.accept(limit)

    @rule(name=INSTANCES)
    def restart(self, name):
        self.fleet.restart(name)

    def teardown(self):
        if hasattr(self, "fleet"):
            assert not self.fleet.violations()


class TestLimits(LimitMachine.TestCase):
    settings = settings(
        derandomize=True,
        deadline=None,
        max_examples=examples(150),
        stateful_step_count=50,
        suppress_health_check=list(HealthCheck),
    )


def _full_fleet(holders):
    fleet = Fleet()
    _accept(fleet, holders)
    for _ in range(4):
        _learn_and_wait(fleet, 4.0)
    return fleet


def _accept(fleet, holders):
    limit = WorkspaceLimit.from_config(rate=20, burst=20, holders=holders)
    fleet.accept(limit)


def _learn_and_wait(fleet, seconds, names=NAMES):
    for name in names:
        fleet.learn(fleet.processes[name])
    fleet.now += int(seconds * SECOND)


def _deliver_all(fleet):
    while fleet.messages:
        fleet.deliver(0)


def _tick_all(fleet):
    for process in fleet.processes.values():
        fleet.tick(process)
    fleet.messages.clear()


def _request_until_refused(fleet, process):
    fleet.request(process, 60)
    _deliver_all(fleet)
    fleet.cancel_all(process)


def _borrow(fleet, name):
    """Gives an instance loans that it leaves unspent."""
    process = fleet.processes[name]
    fleet.request(process, 20)
    fleet.cancel_all(process)
    fleet.admissions.clear()
    _deliver_all(fleet)
    return process


def spend_loans_after_the_holders_refill():
    fleet = _full_fleet(NAMES)
    process = _borrow(fleet, "a")
    _learn_and_wait(fleet, 0.01)
    _tick_all(fleet)
    _learn_and_wait(fleet, 0.9)
    _request_until_refused(fleet, process)
    return fleet


def spend_loans_after_their_expiry():
    fleet = _full_fleet(NAMES)
    process = _borrow(fleet, "a")
    _learn_and_wait(fleet, 1.5)
    _tick_all(fleet)
    _learn_and_wait(fleet, 3.4)
    _request_until_refused(fleet, process)
    return fleet


def repeat_an_ask_while_its_loan_is_unspent():
    fleet = _full_fleet(NAMES)
    fleet.request(fleet.processes["a"], 20)
    asks = [
        (kind, sender, target, msgspec.structs.replace(ask, wants=()))
        for kind, sender, target, ask in fleet.messages
    ]
    fleet.cancel_all(fleet.processes["a"])
    fleet.admissions.clear()
    _deliver_all(fleet)
    fleet.messages += asks
    _deliver_all(fleet)
    _request_until_refused(fleet, fleet.processes["b"])
    _request_until_refused(fleet, fleet.processes["a"])
    return fleet


def wake_a_paused_holder_after_it_was_replaced():
    fleet = _full_fleet(("a", "b", "c", "d"))
    _accept(fleet, ("b", "c", "d", "e"))
    for _ in range(2):
        _learn_and_wait(fleet, 4.5, names=("b", "c", "d", "e"))
    _request_until_refused(fleet, fleet.processes["a"])
    _request_until_refused(fleet, fleet.processes["e"])
    return fleet


def replace_a_holder_that_has_not_heard_of_it():
    fleet = _full_fleet(("a", "b", "c", "d"))
    _learn_and_wait(fleet, 0.0)
    _accept(fleet, ("b", "c", "d", "e"))
    _learn_and_wait(fleet, 4.9, names=("b", "c", "d", "e"))
    _request_until_refused(fleet, fleet.processes["e"])
    _request_until_refused(fleet, fleet.processes["a"])
    return fleet


def restart_a_holder_whose_old_run_goes_on():
    fleet = _full_fleet(NAMES)
    _learn_and_wait(fleet, 0.0)
    fleet.restart("a")
    _learn_and_wait(fleet, 4.9)
    _request_until_refused(fleet, fleet.processes["a"])
    _request_until_refused(fleet, fleet.retired[0])
    return fleet


def _lend_uncounted(self, now, amount):
    return self.take(now, amount)


def _settle_uncounted(self, now, amount):
    self._advance(now)


class _AccountWithoutSequence(_lender._Account):
    last_seq = property(lambda self: 0, lambda self, seq: None)


NO_DELAY = [(LimitSettings, "share_delay", 0.0)]
LOANS_UNCOUNTED = [
    (ShareBucket, "lend", _lend_uncounted),
    (ShareBucket, "settle", _settle_uncounted),
    (ShareBucket, "refund", _settle_uncounted),
]
GUARDS = [
    (spend_loans_after_the_holders_refill, LOANS_UNCOUNTED),
    (
        spend_loans_after_the_holders_refill,
        [(LimitSettings, "lender_ttl", 0.0)],
    ),
    (
        spend_loans_after_their_expiry,
        [(Borrower, "_close_expired", lambda self, now, workspace: None)],
    ),
    (
        repeat_an_ask_while_its_loan_is_unspent,
        [(_lender, "_Account", _AccountWithoutSequence)],
    ),
    (
        wake_a_paused_holder_after_it_was_replaced,
        [(Process, "fresh", lambda self, now: True)],
    ),
    (replace_a_holder_that_has_not_heard_of_it, NO_DELAY),
    (restart_a_holder_whose_old_run_goes_on, NO_DELAY),
]


@pytest.mark.parametrize(("script", "guard"), GUARDS)
def test_script_breaks_the_bound_only_without_its_guard(
    script, guard, monkeypatch
):
    fleet = script()
    assert fleet.admissions
    assert not fleet.violations()
    for target, attribute, replacement in guard:
        monkeypatch.setattr(target, attribute, replacement)
    assert script().violations()


@pytest.mark.parametrize(("version", "tokens"), [(4, 4), (5, 0)])
def test_created_workspace_starts_full_unless_a_version_was_skipped(
    version, tokens
):
    limit = WorkspaceLimit.from_config(rate=20, burst=20, holders=NAMES)
    limiter = Limiter("a", "a1", LimitSettings())
    limiter.apply(1.0, 3, {})
    limiter.apply(1.0, version, {"new": limit}, created={"new"})
    assert limiter.available(1.0, "new") == tokens * MICROS_PER_TOKEN


BAD_LIMIT = WorkspaceLimit.from_config(rate=10, burst=4, holders=("a",))


@pytest.mark.parametrize(
    ("seconds", "expected"),
    [
        ([1, 1, 1, 1], 0),
        ([1, 1, 1, 1, 1], 1),
        ([1, 1, 1, 1, 1.1], 0),
        ([1, 1, 1, 1, 1.09], 1),
        ([0.5, 2, 2, 2, 2, 2.3, 2.3, 2.3], 0),
        ([0.5, 2, 2, 2, 2, 2.2, 2.2, 2.2], 1),
    ],
)
def test_checker_finds_only_bad_windows(seconds, expected):
    admissions = [int(second * SECOND) for second in seconds]
    found = check(admissions, [Change(0, BAD_LIMIT)], 0)
    assert bool(found) == bool(expected)


def test_checker_forgets_an_earlier_limit_after_the_delay():
    changes = [
        Change(0, WorkspaceLimit.from_config(rate=10, burst=8, holders=("a",))),
        Change(SECOND, BAD_LIMIT),
    ]
    assert not check([2 * SECOND] * 8, changes, SECOND)
    assert check([2 * SECOND + 1] * 8, changes, SECOND)
