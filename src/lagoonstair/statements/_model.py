"""Statements and replies of a session, free of any wire format."""

import enum
from dataclasses import dataclass
from typing import NamedTuple

from lagoonstair._types import Position


@dataclass(frozen=True, slots=True)
class Begin:
    """Opens a transaction; ``read_only`` lets a replica run it."""

    read_only: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """Commits the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rolls the open transaction back."""


@dataclass(frozen=True, slots=True)
class Read:
    """Reads an item; ``text`` is the statement as the caller sent it."""

    text: str


@dataclass(frozen=True, slots=True)
class Write:
    """Writes an item; ``text`` is the statement as the caller sent it."""

    text: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Sets a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Names a statement of the session."""

    name: str
    shape: "PreparedStatement"


@dataclass(frozen=True, slots=True)
class Execute:
    """Runs a prepared statement; ``arguments`` holds item and data."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Drops a prepared statement's name."""

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
    """What a prepared statement runs.

    Attributes:
        writes: Whether it writes.
        text: The shape's own text.
    """

    writes: bool
    text: str


class TransactionState(enum.Enum):
    """The state of a session or of an endpoint's connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class ErrorCode(enum.Enum):
    """Every error that a caller can get for a statement."""

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
"""Errors of an endpoint that mean that the statement did not run."""


@dataclass(frozen=True, slots=True)
class Success:
    """A statement that succeeded.

    Attributes:
        rows: The rows, as the endpoint sent them.
        signature: The endpoint's proof that it ran the statement; ``-`` for
            an answer that no endpoint gave.
    """

    rows: tuple[bytes, ...] = ()
    signature: str = "-"


@dataclass(frozen=True, slots=True)
class Failure:
    """A statement that failed.

    Attributes:
        code: The error.
        message: What went wrong, in words for the caller.
    """

    code: ErrorCode
    message: str


Result = Success | Failure


class Reply(NamedTuple):
    """What an endpoint answered to one statement.

    Attributes:
        result: How it ended.
        state: The state of the connection afterwards.
        position: The end of the endpoint's log, if it told.
    """

    result: Result
    state: TransactionState
    position: Position | None
