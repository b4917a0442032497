"""Statements and replies of a session, independent of any wire format."""

import enum
from dataclasses import dataclass
from typing import NamedTuple

from lagoonstair._types import Position


@dataclass(frozen=True, slots=True)
class Begin:
    """Begins a transaction. ``read_only`` allows a replica to run it."""

    read_only: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """Commits the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rolls back the open transaction."""


@dataclass(frozen=True, slots=True)
class Read:
    """Reads an item. ``text`` is the statement as the caller sent it."""

    text: str


@dataclass(frozen=True, slots=True)
class Write:
    """Writes an item. ``text`` is the statement as the caller sent it."""

    text: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Sets a session variable."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Creates a named prepared statement in the session."""

    name: str
    shape: "PreparedStatement"


@dataclass(frozen=True, slots=True)
class Execute:
    """Runs a prepared statement. ``arguments`` holds the item and the data."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Removes a prepared statement."""

    name: str


Statement = (
    Begin
    | Commit
    | Rollback
    | Read
    | Write
    | SetValue
    | Prepare
    | Execute
    | Deallocate
)


class PreparedStatement(NamedTuple):
    """The statement that a prepared name runs.

    Attributes:
        writes: Whether it writes.
        text: The text of the statement without its arguments.
    """

    writes: bool
    text: str


class TransactionState(enum.Enum):
    """The transaction state of a session or of an endpoint's connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class ErrorCode(enum.Enum):
    """The errors that a caller can receive for a statement.

    Attributes:
        BUSY: No endpoint or connection was free or usable; the statement did
            not run.
        LAGGING: The replica's log lacks the required position.
        READ_ONLY: The endpoint is not a primary and refused to write.
        MISROUTED: The connection was opened to another group or endpoint than
            the one that answered.
        CONGESTED: The endpoint accepts no further connection at present.
        ABORTED: The statement has no lasting effect; its transaction, if any,
            is rolled back.
        FAILED: The endpoint reported an error in the statement, or one that is
            not listed here.
        NO_STATEMENT: No statement is prepared under the given name.
        TIMEOUT: No answer came in time.
        NO_AUTH: The caller's key is unknown or not valid for the session.
        NO_DATABASE: No route has the given name.
        TOO_LARGE: A message or the session's state exceeds its size limit.
        MALFORMED: A message violates the protocol or does not fit the state of
            the session.
        IN_DOUBT: It is unknown whether the write or commit took effect.
    """

    BUSY = "busy"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    MISROUTED = "misrouted"
    CONGESTED = "congested"
    ABORTED = "aborted"
    FAILED = "failed"
    NO_STATEMENT = "no_statement"
    TIMEOUT = "timeout"
    NO_AUTH = "no_auth"
    NO_DATABASE = "no_database"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    IN_DOUBT = "in_doubt"


NOT_RUN_CODES = frozenset(
    {
        ErrorCode.BUSY,
        ErrorCode.LAGGING,
        ErrorCode.READ_ONLY,
        ErrorCode.NO_STATEMENT,
        ErrorCode.MISROUTED,
        ErrorCode.CONGESTED,
    }
)
"""Error codes of an endpoint that prove that the statement did not run."""


@dataclass(frozen=True, slots=True)
class Success:
    """A statement that succeeded.

    Attributes:
        rows: The rows, as the endpoint sent them.
        signature: The endpoint's proof that it ran the statement; ``-`` for
            an answer that proves nothing, and empty for a greeting.
    """

    rows: tuple[bytes, ...] = ()
    signature: str = "-"


@dataclass(frozen=True, slots=True)
class Failure:
    """A statement that failed.

    Attributes:
        code: The error code.
        message: A description of the error for the caller.
    """

    code: ErrorCode
    message: str


Result = Success | Failure


class Reply(NamedTuple):
    """An endpoint's answer to one statement.

    Attributes:
        result: The result of the statement.
        state: The state of the connection afterwards.
        position: The end of the endpoint's log, if reported.
    """

    result: Result
    state: TransactionState
    position: Position | None
