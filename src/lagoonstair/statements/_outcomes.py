"""From what is known about a statement to what its caller is told.

A caller repeats its whole operation after an answer that says that nothing of
it is kept, so such an answer must be true; every other answer leaves it open.
"""

import enum

from lagoonstair.statements._model import NOT_RUN_CODES, ErrorCode, Failure


class OperationKind(enum.Enum):
    """What a statement is part of."""

    READ = "read"
    WRITE = "write"
    IN_TRANSACTION = "in_transaction"
    COMMIT = "commit"


class DeliveryStatus(enum.Enum):
    """How far a statement came before it failed."""

    NOT_SENT = "no"
    UNANSWERED = "unanswered"
    ANSWERED = "answered"


def is_busy(sent: DeliveryStatus, failure: Failure) -> bool:
    """Whether an endpoint refused a statement because it has too many."""
    return sent is DeliveryStatus.ANSWERED and failure.code is ErrorCode.BUSY


def failure_for_caller(
    work: OperationKind, sent: DeliveryStatus, failure: Failure
) -> Failure:
    """The answer to a statement that failed.

    Args:
        work: What the statement is part of. The transaction of a failed
            statement has to be rolled back by the caller of this function,
            or its connection closed, which does the same.
        sent: Whether an endpoint may have run it.
        failure: What the endpoint answered, or what kept it from being sent.
    """
    match work, sent:
        case (_, DeliveryStatus.NOT_SENT):
            return failure
        case (OperationKind.READ, DeliveryStatus.UNANSWERED):
            # A read keeps nothing, whether or not it ran.
            return Failure(ErrorCode.ABORTED, failure.message)
        case (OperationKind.IN_TRANSACTION, DeliveryStatus.UNANSWERED):
            # Its COMMIT was never sent, and the connection is closed.
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
    raise AssertionError((work, sent))
