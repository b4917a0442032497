"""The port to one database of a group.

An endpoint is one database: the primary or a replica of its group. The
messages name no key of any caller.
"""

import enum
from typing import Any, Protocol

import msgspec

from lagoonstair._types import Position

Result = list[list[Any]]
"""The rows of one statement."""


class Role(enum.StrEnum):
    """What an endpoint is in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class EndpointRefusal(enum.StrEnum):
    """Why an endpoint refused; every refusal means that nothing was run."""

    STALE_TERM = "stale_term"
    NOT_PRIMARY = "not_primary"
    STATEMENT_FAILED = "statement_failed"
    SERIALIZATION = "serialization"
    REQUEST_ID_REUSED = "request_id_reused"
    NO_TRANSACTION = "no_transaction"
    BUSY = "busy"
    BAD_REQUEST = "bad_request"


class EndpointRefusedError(Exception):
    """The endpoint refused; nothing was run.

    Attributes:
        refusal: The reason.
        message: The endpoint's words.
        term: The endpoint's term when it refused, 0 if it did not say.
    """

    def __init__(
        self, refusal: EndpointRefusal, message: str, *, term: int = 0
    ) -> None:
        super().__init__(f"{refusal}: {message}")
        self.refusal = refusal
        self.message = message
        self.term = term


class EndpointUnreachableError(Exception):
    """No connection to the endpoint; nothing was sent to it."""


class ResultUnknownError(Exception):
    """The call was sent and its answer was not received whole."""


class Statement(msgspec.Struct, frozen=True):
    """One SQL statement with named parameters.

    Attributes:
        sql: The text, with parameters as ``:name``.
        params: The value of each parameter.
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
    """What an endpoint reports of itself.

    Attributes:
        name: The endpoint's name.
        role: Its role in ``term``.
        term: The greatest term it has accepted.
        last: The position of its last applied entry.
        history: The start of each term in its log, oldest first.
        primary: The name of the primary it follows, or its own; empty when
            it knows none in ``term``.
        contact_age: Seconds since a replica last heard from its primary;
            ``None`` on a primary, or where that is not known.
    """

    name: str
    role: Role
    term: int
    last: Position
    history: tuple[TermStart, ...] = ()
    primary: str = ""
    contact_age: float | None = None


class FenceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to an attempt to raise the term.

    Attributes:
        granted: Whether the term is now granted to the asking candidate. A
            member grants a term to one candidate only.
        status: The member's status after the attempt.
    """

    granted: bool
    status: EndpointStatus


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """Runs statements as one transaction on its own.

    Attributes:
        call_id: Matches the answer to the call.
        term: The term the endpoint must be in.
        workspace: The workspace on whose behalf the statements run.
        statements: What to run, in order.
        read_only: Whether the statements may run on a replica.
        request_id: Recorded with the write in the same transaction; a second
            run with the same workspace and id returns the first results.
        digest: Digest of the request; a differing one with the same id is
            refused.
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
        call_id: Matches the answer to the call.
        term: The term the endpoint must be in.
        workspace: The workspace on whose behalf the statements run.
        statements: What to run, in order.
    """

    call_id: int
    term: int
    workspace: str
    statements: tuple[Statement, ...]


class Commit(msgspec.Struct, frozen=True, kw_only=True):
    """Commits the connection's open transaction.

    Attributes:
        call_id: Matches the answer to the call.
        term: The term the endpoint must be in.
        workspace: The workspace of the transaction.
        request_id: As in ``Run``.
        digest: As in ``Run``.
    """

    call_id: int
    term: int
    workspace: str
    request_id: str | None = None
    digest: str = ""


class RunAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to ``Run``, ``Execute`` and ``Commit``.

    Attributes:
        call_id: The call's id.
        term: The endpoint's term when it answered.
        position: For a write the position of its entry, else the position
            of the snapshot that was read.
        results: One result per statement.
        duplicate: Whether the results are those of an earlier run with the
            same request id.
    """

    call_id: int
    term: int
    position: Position
    results: tuple[Result, ...] = ()
    duplicate: bool = False


class EndpointConnection(Protocol):
    """One connection to an endpoint; it runs one call at a time.

    Every method raises ``EndpointRefusedError`` when nothing was run, and
    ``ResultUnknownError`` when the call was sent and its answer is missing,
    late or not its own. After ``ResultUnknownError`` or a cancellation the
    connection is unusable and must be closed. Closing rolls an open
    transaction back.
    """

    async def run(self, call: Run) -> RunAnswer:
        """Runs statements as one transaction."""
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
    """One database of a group.

    Control calls are idempotent. They raise ``EndpointUnreachableError`` when
    nothing was sent and ``ResultUnknownError`` when the answer is missing.
    """

    async def connect(self) -> EndpointConnection:
        """Opens a connection for statements."""
        ...

    async def status(self) -> EndpointStatus:
        """Reads the term, role and position."""
        ...

    async def fence(self, term: int, candidate: str) -> FenceAnswer:
        """Asks the member to accept ``term`` for ``candidate`` only.

        A member that has granted a term refuses every call, and every
        replication, of a lower term from then on.
        """
        ...

    async def promote(self, term: int, candidate: str) -> EndpointStatus:
        """Makes the member the primary of ``term``.

        The member must have granted ``term`` to ``candidate``. It writes an
        entry of the new term before it answers.
        """
        ...

    async def follow(self, term: int, primary: str) -> EndpointStatus:
        """Tells the member which endpoint is the primary of ``term``."""
        ...
