"""Maps the known outcome of a failed statement to the error for its caller.

A caller repeats its whole operation after an error that says that no part of
the operation was kept. Such an error must therefore be true. Every other error
leaves the outcome open.
"""

import enum

from lagoonstair.statements._model import (
    NOT_RUN_CODES,
    Begin,
    Commit,
    Deallocate,
    ErrorCode,
    Failure,
    Prepare,
    Read,
    Rollback,
    SetValue,
    Statement,
)

NO_LASTING_EFFECT = Read | Begin | Rollback | SetValue | Prepare | Deallocate
"""Statements without an effect that outlasts their session."""


class OperationKind(enum.Enum):
    """The kind of operation that a statement belongs to."""

    READ = "read"
    WRITE = "write"
    IN_TRANSACTION = "in_transaction"
    COMMIT = "commit"


class DeliveryStatus(enum.Enum):
    """How far a statement got before it failed."""

    NOT_SENT = "no"
    UNANSWERED = "unanswered"
    ANSWERED = "answered"


def is_busy(delivery: DeliveryStatus, failure: Failure) -> bool:
    """Returns whether an endpoint refused a statement as being overloaded."""
    return (
        delivery is DeliveryStatus.ANSWERED and failure.code is ErrorCode.BUSY
    )


def failure_without_answer(
    statement: Statement | None, *, in_transaction: bool, message: str
) -> Failure:
    """Returns the failure to report for a statement whose fate is unknown.

    Args:
        statement: The statement; ``None`` if its text is not valid, or if
            nobody knows which one it is.
        in_transaction: Whether it certainly belongs to an open transaction,
            which is rolled back unless the statement commits it.
        message: The reason, for the caller.
    """
    if isinstance(statement, NO_LASTING_EFFECT) or (
        in_transaction and not isinstance(statement, Commit)
    ):
        return Failure(ErrorCode.ABORTED, message)
    return Failure(ErrorCode.IN_DOUBT, message)


def failure_for_caller(
    operation: OperationKind, delivery: DeliveryStatus, failure: Failure
) -> Failure:
    """Returns the failure to report for a statement that failed.

    Args:
        operation: The kind of operation that the statement belongs to. The
            caller of this function must roll back the transaction of a failed
            statement or close its connection, which has the same effect.
        delivery: Whether an endpoint may have run the statement.
        failure: The endpoint's error, or the reason why the statement was not
            sent.
    """
    match operation, delivery:
        case (_, DeliveryStatus.NOT_SENT):
            return failure
        case (OperationKind.READ, DeliveryStatus.UNANSWERED):
            # A read has no lasting effect, whether or not it ran.
            return Failure(ErrorCode.ABORTED, failure.message)
        case (OperationKind.IN_TRANSACTION, DeliveryStatus.UNANSWERED):
            # The COMMIT was never sent, and the connection is closed.
            return Failure(ErrorCode.ABORTED, failure.message)
        case (
            OperationKind.WRITE | OperationKind.COMMIT,
            DeliveryStatus.UNANSWERED,
        ):
            return Failure(ErrorCode.IN_DOUBT, failure.message)
        case (OperationKind.READ, DeliveryStatus.ANSWERED):
            return failure
        case (OperationKind.IN_TRANSACTION, DeliveryStatus.ANSWERED):
            if failure.code in NOT_RUN_CODES - {ErrorCode.NO_STATEMENT}:
                return failure
            return Failure(ErrorCode.ABORTED, failure.message)
        case (
            OperationKind.WRITE | OperationKind.COMMIT,
            DeliveryStatus.ANSWERED,
        ):
            if failure.code in NOT_RUN_CODES - {ErrorCode.NO_STATEMENT}:
                return failure
            return Failure(ErrorCode.IN_DOUBT, failure.message)
    raise AssertionError((operation, delivery))
