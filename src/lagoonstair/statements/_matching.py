"""Matching of an endpoint's answers to the statements that they answer.

Answers carry no id: the n-th answer on a connection belongs to the n-th
statement only as long as the endpoint answers each statement once. An endpoint
may answer one a second time, at any later moment, so that each answer is
checked against the statement that awaits it.
"""

import enum

import xxhash

from lagoonstair._types import Position
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
        UNCHANGED: No signature, and the state is unchanged; also that of a
            command, which may return rows.
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
    """Why an answer isn't taken by the statement that awaits one.

    Attributes:
        GREETING: It is a greeting, or should be one.
        REPEATED: Its signature was seen before.
        UNSIGNED: It has no signature, but should have one.
        SIGNED: It has a signature, but should have none.
        STATE: The statement can't lead to its state.
        ROWS: It has rows, but should have none.
        DOUBTFUL: It may be the statement's own or a copy of an earlier one.
    """

    GREETING = "greeting"
    REPEATED = "repeated"
    UNSIGNED = "unsigned"
    SIGNED = "signed"
    STATE = "state"
    ROWS = "rows"
    DOUBTFUL = "doubtful"


class _Latest:
    """The latest log position of answers of one kind on a connection."""

    def __init__(self) -> None:
        self._position: Position | None = None
        self.is_empty = True

    def note(self, position: Position | None) -> None:
        """Notes an answer's position; ``None`` if it has none."""
        if position is None or self.is_empty:
            self._position = position
        elif self._position is not None:
            self._position = max(self._position, position)
        self.is_empty = False

    def is_before(self, position: Position | None) -> bool:
        """Returns whether an answer with a position can't be a copy."""
        if self.is_empty:
            return True
        if position is None or self._position is None:
            return False
        return position > self._position


class AnswerMatcher:
    """Tells the answers that one connection's statements can have led to.

    A signature that was not seen before is certainly the awaited one, because
    one statement at a time awaits a signature. So is the first failure on a
    connection, provided that the endpoint does not refuse to set a variable or
    to prepare a statement. A later one may be its copy, unless the log has
    grown since. In the same way, that a transaction was begun is certain only
    if no earlier answer in a transaction can be repeated by it.

    Attributes:
        trusts_begin: Whether an answer that a transaction was begun is taken
            even so, because the endpoint is not known to repeat answers.
    """

    def __init__(self) -> None:
        self._signatures: set[int] = set()
        self._failures = _Latest()
        self._open = _Latest()
        self.trusts_begin = False

    @property
    def is_exhausted(self) -> bool:
        """Whether it remembers as many signatures as it may."""
        return len(self._signatures) >= MAX_SIGNATURES

    def can_begin(self, position: Position | None) -> bool:
        """Returns whether the answer to a BEGIN can be told from a copy.

        Args:
            position: The end of the endpoint's log, which the answer will
                reach; ``None`` if it is unknown.
        """
        return self.trusts_begin or self._open.is_before(position)

    def can_refuse(self, position: Position | None) -> bool:
        """Returns whether a failure can be told from a copy of another one.

        Args:
            position: The end of the endpoint's log, as for ``can_begin``.
        """
        return self._failures.is_before(position)

    def check(
        self, expected: Expected, before: TransactionState, reply: Reply
    ) -> Mismatch | None:
        """Checks an answer, and remembers what it can be repeated by.

        Args:
            expected: The answer that the statement can lead to.
            before: The state of the connection before the statement.
            reply: The answer.

        Returns:
            Why it is not the statement's own; ``None`` if it may be.
        """
        match reply.result:
            case Failure():
                return self._check_failure(before, reply)
            case Success(rows, signature):
                mismatch = self._check_kind(
                    expected, signature, bool(rows)
                ) or _check_state(expected, before, reply.state)
        if mismatch is not None:
            return mismatch
        if expected is Expected.BEGUN and not self.can_begin(reply.position):
            return Mismatch.DOUBTFUL
        if reply.state is TransactionState.OPEN:
            self._open.note(reply.position)
        return None

    def _check_failure(
        self, before: TransactionState, reply: Reply
    ) -> Mismatch | None:
        is_open = before is not TransactionState.IDLE
        has_expected_state = is_open is not (
            reply.state is TransactionState.IDLE
        )
        is_certain = self._failures.is_empty or (
            has_expected_state and self.can_refuse(reply.position)
        )
        self._failures.note(reply.position)
        return None if is_certain else Mismatch.DOUBTFUL

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
