"""The session's state machine, and the errors reported for failures."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lagoonstair.statements import (
    Begin,
    Commit,
    Deallocate,
    DeliveryStatus,
    EndTransaction,
    ErrorCode,
    Execute,
    Failure,
    LocalResult,
    OpenTransaction,
    OperationKind,
    Prepare,
    PreparedStatement,
    Read,
    Rollback,
    Run,
    Session,
    SetValue,
    Success,
    TransactionState,
    Write,
    failure_for_caller,
)
from lagoonstair.statements._session import MAX_NAMES
from soak import examples

NAMES = st.sampled_from(["a", "b"])
SHAPES = st.builds(
    PreparedStatement, st.booleans(), st.sampled_from(["q1", "q2"])
)
NOTHING_KEPT_CODES = {
    ErrorCode.BUSY,
    ErrorCode.LAGGING,
    ErrorCode.READ_ONLY,
    ErrorCode.MISROUTED,
    ErrorCode.CONGESTED,
    ErrorCode.ABORTED,
}
"""Codes that state that no part of the caller's operation was kept."""


class SessionMachine(RuleBasedStateMachine):
    """Compares a session with a model of its guarantees."""

    def __init__(self):
        super().__init__()
        self.session = Session()
        self.state = TransactionState.IDLE
        self.values = {}
        self.prepared = {}

    @rule(name=NAMES, value=st.text("xyz", max_size=3))
    def set_value(self, name, value):
        step = self.session.step(SetValue(name, value))
        if self.state is TransactionState.FAILED:
            assert step.result.code is ErrorCode.MALFORMED
        else:
            assert step == LocalResult(Success())
            self.values[name] = value

    @rule(name=NAMES, shape=SHAPES)
    def prepare(self, name, shape):
        step = self.session.step(Prepare(name, shape))
        if self.state is not TransactionState.FAILED:
            assert step == LocalResult(Success())
            self.prepared[name] = shape

    @rule(name=NAMES)
    def deallocate(self, name):
        step = self.session.step(Deallocate(name))
        if self.state is TransactionState.FAILED:
            assert step.result.code is ErrorCode.MALFORMED
        elif self.prepared.pop(name, None) is None:
            assert step.result.code is ErrorCode.NO_STATEMENT

    @rule(name=NAMES)
    def execute(self, name):
        step = self.session.step(Execute(name, "x1 data"))
        if self.state is TransactionState.FAILED:
            assert step.result.code is ErrorCode.MALFORMED
        elif name not in self.prepared:
            assert step.result.code is ErrorCode.NO_STATEMENT
        else:
            shape = self.prepared[name]
            assert step.shape == shape
            assert step.writes == shape.writes
            assert step.autocommit == (self.state is TransactionState.IDLE)

    @rule(statement=st.sampled_from([Read("READ a"), Write("WRITE a b")]))
    def run(self, statement):
        step = self.session.step(statement)
        if self.state is TransactionState.FAILED:
            assert step.result.code is ErrorCode.MALFORMED
        else:
            assert isinstance(step, Run)
            assert step.text == statement.text
            assert step.autocommit == (self.state is TransactionState.IDLE)

    @rule(read_only=st.booleans())
    def begin(self, read_only):
        step = self.session.step(Begin(read_only))
        if self.state is TransactionState.IDLE:
            assert step == OpenTransaction(read_only)
            self.session.mark_opened()
            self.state = TransactionState.OPEN
        else:
            assert step.result.code is ErrorCode.MALFORMED

    @rule()
    def fail(self):
        self.session.mark_failed()
        if self.state is TransactionState.OPEN:
            self.state = TransactionState.FAILED

    @rule(statement=st.sampled_from([Commit(), Rollback()]))
    def end(self, statement):
        step = self.session.step(statement)
        commits = isinstance(statement, Commit)
        match self.state:
            case TransactionState.IDLE:
                assert step.result.code is ErrorCode.MALFORMED
            case TransactionState.OPEN:
                assert step == EndTransaction(commits)
                self.session.mark_ended()
            case TransactionState.FAILED:
                # A failed transaction was rolled back, so COMMIT must not
                # report success, which only an endpoint's signature proves.
                assert isinstance(step.result, Failure) == commits
        if self.state is not TransactionState.IDLE:
            self.state = TransactionState.IDLE

    @rule()
    def unparsable(self):
        step = self.session.step(None)
        assert step.result.code is ErrorCode.MALFORMED

    @invariant()
    def matches_model(self):
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
        assert session.step(SetValue(str(number), "v")) == LocalResult(
            Success()
        )
    step = session.step(SetValue("one more", "v"))
    assert step.result.code is ErrorCode.TOO_LARGE
    assert session.step(SetValue("1", "w")) == LocalResult(Success())


@pytest.mark.parametrize(
    ("work", "sent", "received", "reported"),
    [
        (
            OperationKind.READ,
            DeliveryStatus.NOT_SENT,
            ErrorCode.BUSY,
            ErrorCode.BUSY,
        ),
        (
            OperationKind.WRITE,
            DeliveryStatus.NOT_SENT,
            ErrorCode.BUSY,
            ErrorCode.BUSY,
        ),
        (
            OperationKind.WRITE,
            DeliveryStatus.NOT_SENT,
            ErrorCode.CONGESTED,
            ErrorCode.CONGESTED,
        ),
        (
            OperationKind.IN_TRANSACTION,
            DeliveryStatus.NOT_SENT,
            ErrorCode.BUSY,
            ErrorCode.BUSY,
        ),
        (
            OperationKind.COMMIT,
            DeliveryStatus.NOT_SENT,
            ErrorCode.ABORTED,
            ErrorCode.ABORTED,
        ),
        (
            OperationKind.READ,
            DeliveryStatus.UNANSWERED,
            ErrorCode.TIMEOUT,
            ErrorCode.ABORTED,
        ),
        (
            OperationKind.WRITE,
            DeliveryStatus.UNANSWERED,
            ErrorCode.TIMEOUT,
            ErrorCode.IN_DOUBT,
        ),
        (
            OperationKind.WRITE,
            DeliveryStatus.UNANSWERED,
            ErrorCode.BUSY,
            ErrorCode.IN_DOUBT,
        ),
        (
            OperationKind.IN_TRANSACTION,
            DeliveryStatus.UNANSWERED,
            ErrorCode.TIMEOUT,
            ErrorCode.ABORTED,
        ),
        (
            OperationKind.COMMIT,
            DeliveryStatus.UNANSWERED,
            ErrorCode.TIMEOUT,
            ErrorCode.IN_DOUBT,
        ),
        (
            OperationKind.READ,
            DeliveryStatus.ANSWERED,
            ErrorCode.FAILED,
            ErrorCode.FAILED,
        ),
        (
            OperationKind.READ,
            DeliveryStatus.ANSWERED,
            ErrorCode.LAGGING,
            ErrorCode.LAGGING,
        ),
        (
            OperationKind.WRITE,
            DeliveryStatus.ANSWERED,
            ErrorCode.BUSY,
            ErrorCode.BUSY,
        ),
        (
            OperationKind.WRITE,
            DeliveryStatus.ANSWERED,
            ErrorCode.READ_ONLY,
            ErrorCode.READ_ONLY,
        ),
        (
            OperationKind.WRITE,
            DeliveryStatus.ANSWERED,
            ErrorCode.FAILED,
            ErrorCode.IN_DOUBT,
        ),
        (
            OperationKind.WRITE,
            DeliveryStatus.ANSWERED,
            ErrorCode.TIMEOUT,
            ErrorCode.IN_DOUBT,
        ),
        (
            OperationKind.IN_TRANSACTION,
            DeliveryStatus.ANSWERED,
            ErrorCode.FAILED,
            ErrorCode.ABORTED,
        ),
        (
            OperationKind.IN_TRANSACTION,
            DeliveryStatus.ANSWERED,
            ErrorCode.BUSY,
            ErrorCode.BUSY,
        ),
        (
            OperationKind.COMMIT,
            DeliveryStatus.ANSWERED,
            ErrorCode.FAILED,
            ErrorCode.IN_DOUBT,
        ),
        (
            OperationKind.COMMIT,
            DeliveryStatus.ANSWERED,
            ErrorCode.READ_ONLY,
            ErrorCode.READ_ONLY,
        ),
    ],
)
def test_failure_for_caller(work, sent, received, reported):
    assert (
        failure_for_caller(work, sent, Failure(received, "why")).code
        is reported
    )


@pytest.mark.parametrize("received", list(ErrorCode))
def test_a_write_without_an_answer_is_never_reported_as_not_kept(received):
    for work in (OperationKind.WRITE, OperationKind.COMMIT):
        reported = failure_for_caller(
            work, DeliveryStatus.UNANSWERED, Failure(received, "why")
        )
        assert reported.code not in NOTHING_KEPT_CODES
