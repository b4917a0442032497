"""State machine of a caller's session, without I/O."""

from dataclasses import dataclass, field
from typing import TypeVar

from lagoonstair.statements._model import (
    Begin,
    Commit,
    Deallocate,
    ErrorCode,
    Execute,
    Failure,
    Prepare,
    PreparedStatement,
    Read,
    Result,
    Rollback,
    SetValue,
    Statement,
    Success,
    TransactionState,
    Write,
)

_ValueT = TypeVar("_ValueT")

MAX_NAMES = 256
"""Maximum number of variables, and of prepared statements, in one session.

Bounds the session's memory."""


@dataclass(frozen=True, slots=True)
class LocalResult:
    """The statement is answered without an endpoint."""

    result: Result


@dataclass(frozen=True, slots=True)
class Run:
    """An endpoint must run a read or a write.

    Attributes:
        writes: Whether it writes.
        text: The statement, if it is forwarded unchanged.
        shape: The prepared statement, if one is executed.
        arguments: The item and data of a prepared statement.
        autocommit: Whether it runs outside a transaction.
    """

    writes: bool
    text: str = ""
    shape: PreparedStatement | None = None
    arguments: str = ""
    autocommit: bool = True


@dataclass(frozen=True, slots=True)
class OpenTransaction:
    """A transaction begins. Its first statement selects the endpoint."""

    read_only: bool


@dataclass(frozen=True, slots=True)
class EndTransaction:
    """The open transaction ends."""

    commits: bool


Step = LocalResult | Run | OpenTransaction | EndTransaction

SUCCESS = LocalResult(Success())
WRONG_STATE = LocalResult(Failure(ErrorCode.MALFORMED, "not in this state"))
ROLLED_BACK = LocalResult(
    Failure(ErrorCode.ABORTED, "the transaction had failed")
)
TOO_MANY_NAMES = LocalResult(
    Failure(
        ErrorCode.TOO_LARGE,
        "too many names in the session",
    )
)


@dataclass(slots=True)
class Session:
    """The state that a session keeps between two statements.

    Attributes:
        state: Whether a transaction is open or has failed.
        values: The session variables.
        prepared: The prepared statements, by the caller's names.
    """

    state: TransactionState = TransactionState.IDLE
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)

    def step(self, statement: Statement | None) -> Step:
        """Returns the action for a statement; ``None`` is an unparsable one.

        The state of the transaction changes when the caller of this method
        reports the action's completion through ``mark_opened``,
        ``mark_failed`` or ``mark_ended``.
        """
        if self.state is TransactionState.FAILED:
            return self._step_failed(statement)
        match statement:
            case None:
                return LocalResult(
                    Failure(ErrorCode.MALFORMED, "unknown statement")
                )
            case Begin(read_only):
                if self.state is TransactionState.OPEN:
                    return WRONG_STATE
                return OpenTransaction(read_only)
            case Commit() | Rollback():
                if self.state is TransactionState.IDLE:
                    return WRONG_STATE
                return EndTransaction(isinstance(statement, Commit))
            case Read(text):
                return Run(False, text, autocommit=self._autocommit)
            case Write(text):
                return Run(True, text, autocommit=self._autocommit)
            case Execute(name, arguments):
                return self._execute(name, arguments)
            case SetValue(name, value):
                return self._store(self.values, name, value)
            case Prepare(name, shape):
                return self._store(self.prepared, name, shape)
            case Deallocate(name):
                if self.prepared.pop(name, None) is None:
                    return _no_statement(name)
                return SUCCESS

    def refuse(self, statement: Statement | None, message: str) -> Result:
        """Returns the answer to a statement that is not to run.

        Args:
            statement: The statement; ``None`` is an unparsable one.
            message: The reason, for the caller. The open transaction, if any,
                must have been rolled back.
        """
        match self.state, statement:
            case (TransactionState.IDLE, _):
                return Failure(ErrorCode.BUSY, message)
            case (TransactionState.OPEN, Rollback()):
                self.mark_ended()
                return Success()
            case (TransactionState.OPEN, Commit()):
                self.mark_ended()
            case (TransactionState.OPEN, _):
                self.mark_failed()
            case (TransactionState.FAILED, _):
                step = self._step_failed(statement)
                if isinstance(step, LocalResult):
                    return step.result
        return Failure(ErrorCode.ABORTED, message)

    def deny(self, statement: Statement | None, failure: Failure) -> Result:
        """Returns the answer to a statement that its caller may not run.

        The end of a transaction is answered in any state, so that the caller
        gets out of it.

        Args:
            statement: The statement; ``None`` is an unparsable one.
            failure: The reason. The open transaction, if any, must have been
                rolled back.
        """
        match self.state, statement:
            case (TransactionState.IDLE, _):
                return failure
            case (_, Rollback()):
                self.mark_ended()
                return Success()
            case (_, Commit()):
                self.mark_ended()
            case _:
                self.mark_failed()
        return failure

    def mark_opened(self) -> None:
        """Records that a transaction was opened."""
        self.state = TransactionState.OPEN

    def mark_failed(self) -> None:
        """Records that a statement of the open transaction failed."""
        if self.state is TransactionState.OPEN:
            self.state = TransactionState.FAILED

    def mark_ended(self) -> None:
        """Records that the transaction was committed or rolled back."""
        self.state = TransactionState.IDLE

    @property
    def _autocommit(self) -> bool:
        return self.state is TransactionState.IDLE

    def _step_failed(self, statement: Statement | None) -> Step:
        match statement:
            case Rollback():
                self.mark_ended()
                return SUCCESS
            case Commit():
                self.mark_ended()
                return ROLLED_BACK
            case _:
                return WRONG_STATE

    def _execute(self, name: str, arguments: str) -> Step:
        shape = self.prepared.get(name)
        if shape is None:
            return _no_statement(name)
        return Run(
            shape.writes,
            shape=shape,
            arguments=arguments,
            autocommit=self._autocommit,
        )

    def _store(
        self, names: dict[str, _ValueT], name: str, value: _ValueT
    ) -> Step:
        if name not in names and len(names) >= MAX_NAMES:
            return TOO_MANY_NAMES
        names[name] = value
        return SUCCESS


def _no_statement(name: str) -> LocalResult:
    return LocalResult(
        Failure(ErrorCode.NO_STATEMENT, f"{name} is not prepared")
    )
