"""Checks histories of several instances under faults, in logical time."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from config_samples import KEYS, workspace
from config_world import (
    BOUND,
    Accepted,
    Ask,
    Checker,
    HistoryError,
    Served,
    World,
)
from lagoonstair import config
from lagoonstair.config import _electorates
from lagoonstair.config._freshness import FreshnessProof
from lagoonstair.config._log import LogState
from soak import examples

SIZE = 5
NUMBER = st.integers(0, SIZE - 1)
SIDE = st.sets(NUMBER, max_size=SIZE)
WITHDRAW = config.WithdrawKey(KEYS["kosice"].id)


class Instances(RuleBasedStateMachine):
    """Edits by operators, with faults of instances, store and network."""

    def __init__(self):
        super().__init__()
        self.world = World(SIZE)
        self.asks = []
        self.reads = []
        self.serial = 0

    @rule(number=NUMBER, receivers=SIDE, lost=st.booleans())
    def edit(self, number, receivers, lost):
        self.serial += 1
        put = config.PutWorkspace(workspace("zilina", float(self.serial)))
        self.world.commit(number, put, answer_lost=lost)
        self.push(number, receivers, lost=False)

    @rule(number=NUMBER, receivers=SIDE)
    def withdraw(self, number, receivers):
        if self.world.log_state.configuration.key_is_live(WITHDRAW.id):
            self.world.commit(number, WITHDRAW)
        self.push(number, receivers, lost=False)

    @rule(number=NUMBER, receivers=SIDE, lost=st.booleans())
    def push(self, number, receivers, lost):
        for receiver in receivers:
            self.world.push(number, receiver, answer_lost=lost)

    @rule(number=NUMBER)
    def read_store(self, number):
        self.reads.append(self.world.read_store(number))

    @rule(data=st.data())
    def deliver_head(self, data):
        reads = [read for read in self.reads if read is not None]
        if reads:
            self.world.deliver_head(data.draw(st.sampled_from(reads)))

    @rule(number=NUMBER)
    def ask(self, number):
        if number not in self.world.paused:
            ask = Ask(self.world.cores[number], self.world.now)
            self.asks.append(ask)

    @rule(data=st.data(), numbers=SIDE, relay=st.booleans())
    def answer(self, data, numbers, relay):
        if self.asks:
            ask = data.draw(st.sampled_from(self.asks[-4:]))
            for number in sorted(numbers):
                self.world.answer(ask, number, relay=relay)
            self.world.conclude(ask)

    @rule(seconds=st.sampled_from([0.5, 2.0, BOUND, BOUND + 1]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(number=NUMBER)
    def restart(self, number):
        self.world.restart(number)

    @rule(numbers=SIDE)
    def pause(self, numbers):
        self.world.paused = set(numbers)

    @rule(numbers=SIDE)
    def store_down(self, numbers):
        self.world.down = set(numbers)

    @rule(side=SIDE)
    def partition(self, side):
        self.world.partition(side)

    @rule(number=NUMBER)
    def join(self, number):
        if not self.world.cores[number].joined:
            self.world.join(number)

    @rule(side=SIDE, number=NUMBER, restarted=SIDE, relay=st.booleans())
    def edit_beside_an_outage(self, side, number, restarted, relay):
        self.world.partition(side)
        self.world.down = set(side)
        for other in sorted(restarted):
            self.world.restart(other)
        self.edit(number, range(SIZE), lost=False)
        self.world.check()
        for _ in range(4):
            self.world.advance(2.0)
            self.everybody_asks(relay)
            self.world.check()

    @rule(relay=st.booleans())
    def everybody_asks(self, relay):
        for number in range(SIZE):
            if number not in self.world.paused:
                ask = Ask(self.world.cores[number], self.world.now)
                for other in range(SIZE):
                    self.world.answer(ask, other, relay=relay)
                self.world.conclude(ask)

    @rule(numbers=SIDE)
    def many_poll(self, numbers):
        for number in numbers:
            read = self.world.read_store(number)
            if read is not None:
                self.world.deliver_head(read)

    @rule()
    def recover(self):
        self.world.cut = set()
        self.world.down = set()
        self.world.paused = set()
        self.many_poll(range(SIZE))
        for number in range(SIZE):
            self.join(number)
            self.push(number, range(SIZE), lost=False)

    @invariant()
    def history_holds(self):
        self.world.check()


TestInstances = Instances.TestCase
TestInstances.settings = settings(
    derandomize=True,
    max_examples=examples(150),
    stateful_step_count=50,
    deadline=None,
)


def _start():
    world = World(5)
    Instances.many_poll(WorldHolder(world), range(5))
    world.check()
    return world


class WorldHolder:
    """Stands in for the state machine, so that its rules can be called."""

    def __init__(self, world):
        self.world = world


def _isolate(world, *side):
    world.partition(set(side))
    world.down = set(side)


def _withdraw(world, number, *receivers):
    world.commit(number, WITHDRAW)
    for receiver in receivers:
        world.push(number, receiver)
    world.check()


def _advance_and_ask(world, *, relay=False):
    for _ in range(4):
        world.advance(2.0)
        Instances.everybody_asks(WorldHolder(world), relay)
        world.check()


# Each scenario breaks a guarantee once the guard named in GUARDS is replaced.


def _majority_without_the_store():
    world = _start()
    _isolate(world, 0, 1, 2)
    _withdraw(world, 3, 4)
    _advance_and_ask(world)


def _members_changed_since():
    world = _start()
    _isolate(world, 0, 1, 2)
    for number in (5, 6, 7):
        world.restart(number)
    world.partition({0, 1, 2})
    _withdraw(world, 3, 4, 5, 6, 7)
    _advance_and_ask(world)


def _answer_arrives_late():
    world = _start()
    read = world.read_store(4)
    _isolate(world, 4)
    world.advance(4.5)
    _withdraw(world, 0, 1, 2, 3)
    world.advance(0.7)
    world.deliver_head(read)
    for _ in range(11):
        world.advance(0.5)
        world.check()


def _relayed_proof_is_old():
    world = _start()
    _isolate(world, 3, 4)
    world.advance(0.5)
    _withdraw(world, 0, 1, 2)
    world.advance(4.0)
    ask = Ask(world.cores[3], world.now)
    world.answer(ask, 4, relay=True)
    world.advance(1.5)
    world.check()


def _voter_forgot():
    world = _start()
    _withdraw(world, 2, 3, 4)
    _isolate(world, 0, 1, 2)
    world.restart(2)
    _advance_and_ask(world)


def _cut_from_all():
    world = _start()
    _isolate(world, 4)
    _withdraw(world, 0, 1, 2, 3)
    _advance_and_ask(world)


def _voters_are_ahead():
    world = _start()
    _withdraw(world, 2, 3, 4)
    world.down = {0}
    for _ in range(4):
        world.advance(2.0)
        ask = Ask(world.cores[0], world.now)
        for number in (2, 3, 4):
            world.answer(ask, number, fetch=False)
        world.conclude(ask)
        world.check()


def _old_peer_comes_back():
    world = _start()
    old = world.cores[0].log_state
    _withdraw(world, 1, 0, 2)
    world.cores[0].install_state(LogState.from_snapshot(old.to_snapshot()))
    world.check()


def _head_without_its_entries():
    world = _start()
    _withdraw(world, 0, 1, 2)
    world.advance(2.0)
    world.cores[4].add_store_proof(len(world.log), world.now)
    world.advance(4.0)
    world.check()


def _load_without_check(core, log_state):
    core.log_state = log_state


def _count_all_voters(members, version, reports, asked_at):
    voters = {report.id for report in reports if report.votes}
    proved = _electorates.is_majority(voters, members)
    return FreshnessProof(version, asked_at) if proved else None


def _count_names_only(members, version, reports, asked_at):
    names = {report.name for report in reports if report.version <= version}
    known = {member.name for member in members}
    proved = _electorates.is_majority(names, known)
    return FreshnessProof(version, asked_at) if proved else None


def _proof_dated_at_arrival(core, head, asked_at):
    # The core's last tick approximates the time at which the read arrived.
    core._add_proof(FreshnessProof(head, core._ticked_at))


def _proof_without_age(report, asked_at):
    return FreshnessProof(report.proof_version, asked_at)


def _proof_of_any_version(freshness, proof, version):
    return freshness._replace(proof=proof)


GUARDS = [
    (
        _majority_without_the_store,
        "_core.ReplicaCore.is_accepted",
        lambda core, version: version <= core.version,
    ),
    (
        _members_changed_since,
        "_core.prune_electorates",
        lambda known, accepted: known[-1:],
    ),
    (
        _answer_arrives_late,
        "_core.ReplicaCore.add_store_proof",
        _proof_dated_at_arrival,
    ),
    (_relayed_proof_is_old, "_core.relayed_proof", _proof_without_age),
    (_voter_forgot, "_core.majority_proof", _count_names_only),
    (
        _cut_from_all,
        "_freshness.Freshness.is_fresh",
        lambda freshness, now: freshness.proof.asked_at > 0,
    ),
    (_voters_are_ahead, "_core.majority_proof", _count_all_voters),
    (
        _old_peer_comes_back,
        "_core.ReplicaCore.install_state",
        _load_without_check,
    ),
    (
        _head_without_its_entries,
        "_freshness.Freshness.with_proof",
        _proof_of_any_version,
    ),
]


@pytest.mark.parametrize("scenario", [scenario for scenario, _, _ in GUARDS])
def test_history_holds_in(scenario):
    scenario()


@pytest.mark.parametrize(("scenario", "guard", "without"), GUARDS)
def test_history_breaks_without_the_guard(
    monkeypatch, scenario, guard, without
):
    monkeypatch.setattr(f"lagoonstair.config.{guard}", without)
    with pytest.raises(HistoryError):
        scenario()


ONE = config.MemberId("a", "1")


def _replay(checker, events):
    for version, at in events:
        keys = frozenset(checker.states[min(version, 2)].keys)
        checker.serve(Served(ONE, version, keys, at))


@pytest.mark.parametrize(
    ("events", "fault"),
    [
        ([(1, 0.0), (0, 1.0)], "reverts"),
        ([(3, 0.0)], "never committed"),
        ([(1, 1.0 + BOUND + 1)], "older than"),
    ],
)
def test_checker_finds_a_bad_history(events, fault):
    world = World(1)
    checker = Checker(world.checker.states[:3])
    checker.accept(Accepted(2, 1.0))
    with pytest.raises(HistoryError, match=fault):
        _replay(checker, events)


def test_checker_finds_a_missing_part():
    checker = World(1).checker
    with pytest.raises(HistoryError, match="not complete"):
        checker.serve(Served(ONE, 1, frozenset(), 0.0))


def test_checker_finds_an_accept_that_is_not_durable():
    checker = World(1).checker
    with pytest.raises(HistoryError, match="not durable"):
        checker.accept(Accepted(9, 0.0))
