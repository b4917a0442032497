"""Matching of an endpoint's answers to the statements that they answer.

Answers carry no id: the n-th answer on a connection belongs to the n-th
statement only as long as the endpoint answers each statement once. An endpoint
may answer one a second time, at any later moment, so that each answer is
checked against the statement that awaits it.
"""

import enum

import xxhash

from lagoonstair.statements._model import (
    Failure,
    Reply,
    Success,
    TransactionState,
)

UNSIGNED = "-"
"""Signature of an answer that no read, write or commit led to."""

MAX_SIGNATURES = 1024
"""Number of signed answers after which a connection is replaced, which bounds
the memory of their signatures."""


class Expected(enum.Enum):
    """The answer that a statement can lead to, if it succeeds.

    Attributes:
        GREETING: The session is open; there is no result.
        SIGNED: A signature, and the state is unchanged.
        COMMITTED: A signature, and no transaction is open.
        UNCHANGED: No signature, and the state is unchanged.
        BEGUN: No signature, and a transaction is open.
        ENDED: No signature, and no transaction is open.
    """

    GREETING = "greeting"
    SIGNED = "signed"
    COMMITTED = "committed"
    UNCHANGED = "unchanged"
    BEGUN = "begun"
    ENDED = "ended"


class Mismatch(enum.Enum):
    """Why an answer can't be that of the statement that awaits one."""

    GREETING = "greeting"
    REPEATED = "repeated"
    UNSIGNED = "unsigned"
    SIGNED = "signed"
    STATE = "state"
    ROWS = "rows"


class AnswerMatcher:
    """Tells the answers that one connection's statements can have led to.

    A signature that was not seen before is certainly the awaited one, because
    no more than one statement awaits a signature at a time. A failure is
    certainly the awaited answer if no failure came before it on the connection
    and no statement but ``BEGIN`` is refused without a signed one after it.
    """

    def __init__(self) -> None:
        self._signatures: set[int] = set()

    @property
    def is_exhausted(self) -> bool:
        """Whether it remembers as many signatures as it may."""
        return len(self._signatures) >= MAX_SIGNATURES

    def check(
        self, expected: Expected, before: TransactionState, reply: Reply
    ) -> Mismatch | None:
        """Checks an answer, and remembers its signature.

        Args:
            expected: The answer that the statement can lead to.
            before: The state of the connection before the statement.
            reply: The answer.

        Returns:
            Why it is not the statement's own; ``None`` if it may be.
        """
        match reply.result:
            case Failure():
                return None
            case Success(rows, signature):
                return self._check_kind(
                    expected, signature, bool(rows)
                ) or _check_state(expected, before, reply.state)

    def _check_kind(
        self, expected: Expected, signature: str, has_rows: bool
    ) -> Mismatch | None:
        is_signed = expected in (Expected.SIGNED, Expected.COMMITTED)
        if (expected is Expected.GREETING) is not (signature == ""):
            return Mismatch.GREETING
        if expected is Expected.GREETING:
            return None
        if signature == UNSIGNED:
            if is_signed:
                return Mismatch.UNSIGNED
            if has_rows and expected is not Expected.UNCHANGED:
                return Mismatch.ROWS
            return None
        digest = xxhash.xxh3_64_intdigest(signature.encode())
        if digest in self._signatures:
            return Mismatch.REPEATED
        if not is_signed:
            return Mismatch.SIGNED
        self._signatures.add(digest)
        return None


def _check_state(
    expected: Expected, before: TransactionState, state: TransactionState
) -> Mismatch | None:
    match expected:
        case Expected.SIGNED | Expected.UNCHANGED:
            allowed = before
        case Expected.BEGUN:
            allowed = TransactionState.OPEN
        case Expected.GREETING | Expected.COMMITTED | Expected.ENDED:
            allowed = TransactionState.IDLE
    return None if state is allowed else Mismatch.STATE
