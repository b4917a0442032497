"""From what is known about a statement to what its caller is told.

A caller repeats its whole operation after an answer that says that nothing of
it is kept, so such an answer must be true; every other answer leaves it open.
"""

import enum

from lagoonstair.statements._model import NOT_RUN, Code, Failure


class Work(enum.Enum):
    """What a statement is part of."""

    READ = "read"
    WRITE = "write"
    IN_TRANSACTION = "in_transaction"
    COMMIT = "commit"


class Sent(enum.Enum):
    """How far a statement came before it failed."""

    NO = "no"
    UNANSWERED = "unanswered"
    ANSWERED = "answered"


def is_busy(sent: Sent, failure: Failure) -> bool:
    """Whether an endpoint refused a statement because it has too many."""
    return sent is Sent.ANSWERED and failure.code is Code.BUSY


def outcome_of(work: Work, sent: Sent, failure: Failure) -> Failure:
    """The answer to a statement that failed.

    Args:
        work: What the statement is part of. The transaction of a failed
            statement has to be rolled back by the caller of this function,
            or its connection closed, which does the same.
        sent: Whether an endpoint may have run it.
        failure: What the endpoint answered, or what kept it from being sent.
    """
    match work, sent:
        case (_, Sent.NO):
            return failure
        case (Work.READ, Sent.UNANSWERED):
            # A read keeps nothing, whether or not it ran.
            return Failure(Code.ABORTED, failure.message)
        case (Work.IN_TRANSACTION, Sent.UNANSWERED):
            # Its COMMIT was never sent, and the connection is closed.
            return Failure(Code.ABORTED, failure.message)
        case (Work.WRITE | Work.COMMIT, Sent.UNANSWERED):
            return Failure(Code.IN_DOUBT, failure.message)
        case (Work.READ, Sent.ANSWERED):
            return failure
        case (Work.IN_TRANSACTION, Sent.ANSWERED):
            if failure.code in NOT_RUN - {Code.NO_STATEMENT}:
                return failure
            return Failure(Code.ABORTED, failure.message)
        case (Work.WRITE | Work.COMMIT, Sent.ANSWERED):
            if failure.code in NOT_RUN - {Code.NO_STATEMENT}:
                return failure
            return Failure(Code.IN_DOUBT, failure.message)
    raise AssertionError((work, sent))
