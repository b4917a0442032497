"""The session's state machine and the table of outcomes."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lagoonstair.statements import (
    Answer,
    Begin,
    Code,
    Commit,
    Deallocate,
    Done,
    EndTransaction,
    Execute,
    Failure,
    OpenTransaction,
    Prepare,
    Read,
    Rollback,
    Run,
    Sent,
    Session,
    SetValue,
    Shape,
    State,
    Work,
    Write,
    outcome_of,
)
from lagoonstair.statements._session import MAX_NAMES
from soak import examples

NAMES = st.sampled_from(["a", "b"])
SHAPES = st.builds(Shape, st.booleans(), st.sampled_from(["q1", "q2"]))
PROMISES = {
    Code.BUSY,
    Code.LAGGING,
    Code.READ_ONLY,
    Code.MISROUTED,
    Code.CONGESTED,
    Code.ABORTED,
}
"""Codes that promise that nothing of the caller's operation is kept."""


class SessionMachine(RuleBasedStateMachine):
    """Compares a session with what a caller may rely on."""

    def __init__(self):
        super().__init__()
        self.session = Session()
        self.state = State.IDLE
        self.values = {}
        self.prepared = {}

    @rule(name=NAMES, value=st.text("xyz", max_size=3))
    def set_value(self, name, value):
        step = self.session.step(SetValue(name, value))
        if self.state is State.FAILED:
            assert step.result.code is Code.MALFORMED
        else:
            assert step == Answer(Done())
            self.values[name] = value

    @rule(name=NAMES, shape=SHAPES)
    def prepare(self, name, shape):
        step = self.session.step(Prepare(name, shape))
        if self.state is not State.FAILED:
            assert step == Answer(Done())
            self.prepared[name] = shape

    @rule(name=NAMES)
    def deallocate(self, name):
        step = self.session.step(Deallocate(name))
        if self.state is State.FAILED:
            assert step.result.code is Code.MALFORMED
        elif self.prepared.pop(name, None) is None:
            assert step.result.code is Code.NO_STATEMENT

    @rule(name=NAMES)
    def execute(self, name):
        step = self.session.step(Execute(name, "x1 data"))
        if self.state is State.FAILED:
            assert step.result.code is Code.MALFORMED
        elif name not in self.prepared:
            assert step.result.code is Code.NO_STATEMENT
        else:
            shape = self.prepared[name]
            assert step.shape == shape
            assert step.writes == shape.writes
            assert step.alone == (self.state is State.IDLE)

    @rule(statement=st.sampled_from([Read("READ a"), Write("WRITE a b")]))
    def run(self, statement):
        step = self.session.step(statement)
        if self.state is State.FAILED:
            assert step.result.code is Code.MALFORMED
        else:
            assert isinstance(step, Run)
            assert step.text == statement.text
            assert step.alone == (self.state is State.IDLE)

    @rule(read_only=st.booleans())
    def begin(self, read_only):
        step = self.session.step(Begin(read_only))
        if self.state is State.IDLE:
            assert step == OpenTransaction(read_only)
            self.session.opened()
            self.state = State.OPEN
        else:
            assert step.result.code is Code.MALFORMED

    @rule()
    def fail(self):
        self.session.failed()
        if self.state is State.OPEN:
            self.state = State.FAILED

    @rule(statement=st.sampled_from([Commit(), Rollback()]))
    def end(self, statement):
        step = self.session.step(statement)
        commits = isinstance(statement, Commit)
        match self.state:
            case State.IDLE:
                assert step.result.code is Code.MALFORMED
            case State.OPEN:
                assert step == EndTransaction(commits)
                self.session.ended()
            case State.FAILED:
                # A failed transaction was rolled back: COMMIT must not tell
                # success, which only an endpoint's signature proves.
                assert isinstance(step.result, Failure) == commits
        if self.state is not State.IDLE:
            self.state = State.IDLE

    @rule()
    def nonsense(self):
        step = self.session.step(None)
        assert step.result.code is Code.MALFORMED

    @invariant()
    def agrees(self):
        assert self.session.state is self.state
        assert self.session.values == self.values
        assert self.session.prepared == self.prepared


TestSession = SessionMachine.TestCase
TestSession.settings = settings(
    max_examples=examples(50), stateful_step_count=40, deadline=None
)


def test_a_session_holds_a_bounded_number_of_names():
    session = Session()
    for number in range(MAX_NAMES):
        assert session.step(SetValue(str(number), "v")) == Answer(Done())
    step = session.step(SetValue("one more", "v"))
    assert step.result.code is Code.TOO_LARGE
    assert session.step(SetValue("1", "w")) == Answer(Done())


@pytest.mark.parametrize(
    ("work", "sent", "said", "told"),
    [
        (Work.READ, Sent.NO, Code.BUSY, Code.BUSY),
        (Work.WRITE, Sent.NO, Code.BUSY, Code.BUSY),
        (Work.WRITE, Sent.NO, Code.CONGESTED, Code.CONGESTED),
        (Work.IN_TRANSACTION, Sent.NO, Code.BUSY, Code.BUSY),
        (Work.COMMIT, Sent.NO, Code.ABORTED, Code.ABORTED),
        (Work.READ, Sent.UNANSWERED, Code.TIMEOUT, Code.ABORTED),
        (Work.WRITE, Sent.UNANSWERED, Code.TIMEOUT, Code.IN_DOUBT),
        (Work.WRITE, Sent.UNANSWERED, Code.BUSY, Code.IN_DOUBT),
        (Work.IN_TRANSACTION, Sent.UNANSWERED, Code.TIMEOUT, Code.ABORTED),
        (Work.COMMIT, Sent.UNANSWERED, Code.TIMEOUT, Code.IN_DOUBT),
        (Work.READ, Sent.ANSWERED, Code.FAILED, Code.FAILED),
        (Work.READ, Sent.ANSWERED, Code.LAGGING, Code.LAGGING),
        (Work.WRITE, Sent.ANSWERED, Code.BUSY, Code.BUSY),
        (Work.WRITE, Sent.ANSWERED, Code.READ_ONLY, Code.READ_ONLY),
        (Work.WRITE, Sent.ANSWERED, Code.FAILED, Code.IN_DOUBT),
        (Work.WRITE, Sent.ANSWERED, Code.TIMEOUT, Code.IN_DOUBT),
        (Work.IN_TRANSACTION, Sent.ANSWERED, Code.FAILED, Code.ABORTED),
        (Work.IN_TRANSACTION, Sent.ANSWERED, Code.BUSY, Code.BUSY),
        (Work.COMMIT, Sent.ANSWERED, Code.FAILED, Code.IN_DOUBT),
        (Work.COMMIT, Sent.ANSWERED, Code.READ_ONLY, Code.READ_ONLY),
    ],
)
def test_outcome_of(work, sent, said, told):
    assert outcome_of(work, sent, Failure(said, "why")).code is told


@pytest.mark.parametrize("said", list(Code))
def test_what_may_have_been_kept_is_never_promised_away(said):
    for work in (Work.WRITE, Work.COMMIT):
        told = outcome_of(work, Sent.UNANSWERED, Failure(said, "why"))
        assert told.code not in PROMISES
