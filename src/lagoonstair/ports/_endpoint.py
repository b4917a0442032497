"""Interface to one database of a group.

An endpoint is one database: the primary or a replica of its group. The
messages do not contain any caller's key.
"""

import enum
from typing import Any, Protocol

import msgspec

from lagoonstair._types import Position

Result = list[list[Any]]
"""The rows that one statement returned."""


class Role(enum.StrEnum):
    """The role of an endpoint in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class EndpointRefusal(enum.StrEnum):
    """The reason for a refusal; every refusal means that nothing was run.

    Attributes:
        STALE_TERM: The call is of another term than the endpoint's, or the
            term is not granted to the candidate.
        NOT_PRIMARY: The endpoint is a replica, or is not yet in step with its
            primary.
        STATEMENT_FAILED: The database rejected a statement.
        SERIALIZATION: Data that the transaction relies on has changed.
        REQUEST_ID_REUSED: The request id belongs to a different request.
        NO_TRANSACTION: The connection has no open transaction to commit.
        BUSY: The endpoint has no connection left.
        BAD_REQUEST: The call contradicts the endpoint's state, such as a
            transaction of another workspace.
    """

    STALE_TERM = "stale_term"
    NOT_PRIMARY = "not_primary"
    STATEMENT_FAILED = "statement_failed"
    SERIALIZATION = "serialization"
    REQUEST_ID_REUSED = "request_id_reused"
    NO_TRANSACTION = "no_transaction"
    BUSY = "busy"
    BAD_REQUEST = "bad_request"


class EndpointRefusedError(Exception):
    """The endpoint refused a call; nothing was run.

    Attributes:
        refusal: The reason for the refusal.
        message: The endpoint's description of the error.
        term: The endpoint's term when it refused; 0 if it was not stated.
    """

    def __init__(
        self, refusal: EndpointRefusal, message: str, *, term: int = 0
    ) -> None:
        super().__init__(f"{refusal}: {message}")
        self.refusal = refusal
        self.message = message
        self.term = term


class EndpointUnreachableError(Exception):
    """There is no connection to the endpoint; nothing was sent to it."""


class ResultUnknownError(Exception):
    """The call was sent but its complete answer was not received."""


class Statement(msgspec.Struct, frozen=True):
    """One SQL statement with named parameters.

    Attributes:
        sql: The SQL text, with parameters written as ``:name``.
        params: The value of each parameter by name.
    """

    sql: str
    params: dict[str, Any] = {}


class TermStart(msgspec.Struct, frozen=True, array_like=True):
    """The first entry of a term in a log.

    Attributes:
        term: The term.
        offset: The offset of the term's first entry.
    """

    term: int
    offset: int


class EndpointStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status that an endpoint reports.

    Attributes:
        name: The name of the endpoint.
        role: The role of the endpoint in ``term``.
        term: The highest term that the endpoint has accepted.
        last: The position of the last applied entry.
        history: The first entry of each term in the log, oldest first.
        primary: The name of the primary that the endpoint follows, or its own
            name; empty if it knows no primary of ``term``.
        contact_age: The number of seconds since a replica last heard from its
            primary; ``None`` on a primary or if it is not known.
    """

    name: str
    role: Role
    term: int
    last: Position
    history: tuple[TermStart, ...] = ()
    primary: str = ""
    contact_age: float | None = None


class FenceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a fence call, which attempts to raise the term.

    Attributes:
        granted: Whether the term is now granted to the requesting candidate.
            A member grants each term to one candidate only.
        status: The member's status after the attempt.
    """

    granted: bool
    status: EndpointStatus


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """Runs statements as a single transaction.

    Attributes:
        call_id: The id that matches the answer to the call.
        term: The term in which the endpoint must be.
        workspace: The workspace on whose behalf the statements run.
        statements: The statements to run, in order.
        read_only: Whether the statements may run on a replica.
        request_id: The id that is recorded with the write in the same
            transaction. A second run with the same workspace and id returns
            the first results.
        digest: The digest of the request. A request with the same id and a
            different digest is refused.
    """

    call_id: int
    term: int
    workspace: str
    statements: tuple[Statement, ...]
    read_only: bool = False
    request_id: str | None = None
    digest: str = ""


class Execute(msgspec.Struct, frozen=True, kw_only=True):
    """Runs statements inside the connection's open transaction.

    The first ``Execute`` opens the transaction.

    Attributes:
        call_id: The id that matches the answer to the call.
        term: The term in which the endpoint must be.
        workspace: The workspace on whose behalf the statements run.
        statements: The statements to run, in order.
    """

    call_id: int
    term: int
    workspace: str
    statements: tuple[Statement, ...]


class Commit(msgspec.Struct, frozen=True, kw_only=True):
    """Commits the connection's open transaction.

    Attributes:
        call_id: The id that matches the answer to the call.
        term: The term in which the endpoint must be.
        workspace: The workspace of the transaction.
        request_id: The same as in ``Run``.
        digest: The same as in ``Run``.
    """

    call_id: int
    term: int
    workspace: str
    request_id: str | None = None
    digest: str = ""


class RunAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to ``Run``, ``Execute`` and ``Commit``.

    Attributes:
        call_id: The id of the call.
        term: The endpoint's term when it answered.
        position: For a write, the position of its entry; otherwise the
            position of the snapshot that was read.
        results: The results, one per statement.
        duplicate: Whether the results are those of an earlier run with the
            same request id.
    """

    call_id: int
    term: int
    position: Position
    results: tuple[Result, ...] = ()
    duplicate: bool = False


class EndpointConnection(Protocol):
    """A connection to an endpoint, which runs one call at a time.

    Every method raises ``EndpointRefusedError`` if nothing was run, and
    ``ResultUnknownError`` if the call was sent but its answer is missing,
    late or belongs to another call. After ``ResultUnknownError`` or a
    cancellation the connection is unusable and must be closed. Closing it
    rolls back an open transaction.
    """

    async def run(self, call: Run) -> RunAnswer:
        """Runs statements as a single transaction."""
        ...

    async def execute(self, call: Execute) -> RunAnswer:
        """Runs statements in the open transaction."""
        ...

    async def commit(self, call: Commit) -> RunAnswer:
        """Commits the open transaction."""
        ...

    async def rollback(self) -> None:
        """Rolls the open transaction back."""
        ...

    def close(self) -> None:
        """Closes the connection at once."""
        ...


class Endpoint(Protocol):
    """Client of one database of a group.

    Control calls are idempotent. They raise ``EndpointUnreachableError`` if
    nothing was sent and ``ResultUnknownError`` if the answer is missing.
    """

    async def connect(self) -> EndpointConnection:
        """Opens a connection for statements."""
        ...

    async def status(self) -> EndpointStatus:
        """Returns the term, role and position of the member."""
        ...

    async def fence(self, term: int, candidate: str) -> FenceAnswer:
        """Asks the member to grant ``term`` to ``candidate`` exclusively.

        From then on, a member that has granted the term refuses all calls
        and all replication of lower terms.
        """
        ...

    async def promote(self, term: int, candidate: str) -> EndpointStatus:
        """Makes the member the primary of ``term``.

        The member must have granted ``term`` to ``candidate``. It appends an
        entry of the new term to its log before it answers.
        """
        ...

    async def follow(self, term: int, primary: str) -> EndpointStatus:
        """Tells the member which endpoint is the primary of ``term``."""
        ...
