"""A caller's session as a state machine; pure."""

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
"""Values and prepared statements of one session; bounds its memory."""


@dataclass(frozen=True, slots=True)
class LocalResult:
    """The session answers by itself."""

    result: Result


@dataclass(frozen=True, slots=True)
class Run:
    """An endpoint has to run a read or a write.

    Attributes:
        writes: Whether it writes.
        text: The statement, if it goes on as it came.
        shape: What a prepared statement runs.
        arguments: Item and data of a prepared statement.
        autocommit: Whether it is no part of a transaction.
    """

    writes: bool
    text: str = ""
    shape: PreparedStatement | None = None
    arguments: str = ""
    autocommit: bool = True


@dataclass(frozen=True, slots=True)
class OpenTransaction:
    """A transaction begins; an endpoint is chosen with its first statement."""

    read_only: bool


@dataclass(frozen=True, slots=True)
class EndTransaction:
    """The open transaction ends."""

    commits: bool


Step = LocalResult | Run | OpenTransaction | EndTransaction

DONE = LocalResult(Success())
OUT_OF_TURN = LocalResult(Failure(ErrorCode.MALFORMED, "not in this state"))
ROLLED_BACK = LocalResult(
    Failure(ErrorCode.ABORTED, "the transaction had failed")
)
TOO_MANY = LocalResult(
    Failure(ErrorCode.TOO_LARGE, "too many names in the session")
)


@dataclass(slots=True)
class Session:
    """What a session knows between two statements.

    Attributes:
        state: Whether a transaction is open, or failed.
        values: The session's values.
        prepared: The session's prepared statements, by the caller's names.
    """

    state: TransactionState = TransactionState.IDLE
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)

    def step(self, statement: Statement | None) -> Step:
        """What a statement asks for; ``None`` is one that can't be read.

        The state changes when the step is reported as done, by ``mark_opened``,
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
                    return OUT_OF_TURN
                return OpenTransaction(read_only)
            case Commit() | Rollback():
                if self.state is TransactionState.IDLE:
                    return OUT_OF_TURN
                return EndTransaction(isinstance(statement, Commit))
            case Read(text):
                return Run(False, text, autocommit=self._alone)
            case Write(text):
                return Run(True, text, autocommit=self._alone)
            case Execute(name, arguments):
                return self._execute(name, arguments)
            case SetValue(name, value):
                return self._keep(self.values, name, value)
            case Prepare(name, shape):
                return self._keep(self.prepared, name, shape)
            case Deallocate(name):
                if self.prepared.pop(name, None) is None:
                    return _no_statement(name)
                return DONE

    def mark_opened(self) -> None:
        """A transaction was opened."""
        self.state = TransactionState.OPEN

    def mark_failed(self) -> None:
        """A statement of the open transaction failed."""
        if self.state is TransactionState.OPEN:
            self.state = TransactionState.FAILED

    def mark_ended(self) -> None:
        """The transaction ended, either way."""
        self.state = TransactionState.IDLE

    @property
    def _alone(self) -> bool:
        return self.state is TransactionState.IDLE

    def _step_failed(self, statement: Statement | None) -> Step:
        match statement:
            case Rollback():
                self.mark_ended()
                return DONE
            case Commit():
                self.mark_ended()
                return ROLLED_BACK
            case _:
                return OUT_OF_TURN

    def _execute(self, name: str, arguments: str) -> Step:
        shape = self.prepared.get(name)
        if shape is None:
            return _no_statement(name)
        return Run(
            shape.writes,
            shape=shape,
            arguments=arguments,
            autocommit=self._alone,
        )

    def _keep(
        self, kept: dict[str, _ValueT], name: str, value: _ValueT
    ) -> Step:
        if name not in kept and len(kept) >= MAX_NAMES:
            return TOO_MANY
        kept[name] = value
        return DONE


def _no_statement(name: str) -> LocalResult:
    return LocalResult(
        Failure(ErrorCode.NO_STATEMENT, f"{name} is not prepared")
    )
