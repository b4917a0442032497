"""The closed list of error kinds and the response to each."""

import enum
from typing import NamedTuple


class Outcome(enum.StrEnum):
    """Whether a request ran, as far as its response tells."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Retry(enum.StrEnum):
    """Whether and how a caller may retry after an error."""

    NEVER = "never"
    LATER = "later"
    SAME_REQUEST_ID = "same_request_id"


class ErrorKind(enum.StrEnum):
    """All kinds of error that a caller or an operator can get.

    Attributes:
        BAD_REQUEST: The request is invalid.
        TOO_LARGE: The request exceeds a size limit.
        UNAUTHENTICATED: The key is missing, invalid or withdrawn.
        FORBIDDEN: The key, session or transaction doesn't permit the request,
            for example because it is of another workspace.
        NOT_FOUND: The target of the request does not exist.
        CONFLICT: The request conflicts with a change or with an id in use.
        REQUEST_ID_REUSED: The request id belongs to a different request.
        SESSION_INVALID: The session token is too long or can't be decoded.
        SESSION_LOST: The surviving log lacks the session's last write.
        TRANSACTION_GONE: The transaction is not open any more.
        STATEMENT_FAILED: The database rejected a statement.
        RATE_LIMITED: The workspace is over its rate.
        OVERLOADED: The database is too busy to run the request.
        TOO_STALE: No database can prove that its data is as recent as the
            route asks for.
        UNAVAILABLE: No database or other service can take the request.
        NOT_FRESH: The configuration of the instance may be out of date. This
            is about the configuration, unlike ``TOO_STALE``.
        DRAINING: The instance is shutting down.
        OUTCOME_UNKNOWN: It is not known whether the request took effect.
        INTERNAL: The service failed unexpectedly.
    """

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    REQUEST_ID_REUSED = "request_id_reused"
    SESSION_INVALID = "session_invalid"
    SESSION_LOST = "session_lost"
    TRANSACTION_GONE = "transaction_gone"
    STATEMENT_FAILED = "statement_failed"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    TOO_STALE = "too_stale"
    UNAVAILABLE = "unavailable"
    NOT_FRESH = "not_fresh"
    DRAINING = "draining"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


class ErrorResponse(NamedTuple):
    """The response to an error of one kind.

    Attributes:
        status: The HTTP status code.
        outcome: Whether the request ran, as far as the system can prove.
        retry: Whether and how the caller may retry.
    """

    status: int
    outcome: Outcome
    retry: Retry


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, Outcome.NOT_RUN, Retry.NEVER),
    ErrorKind.TOO_LARGE: ErrorResponse(413, Outcome.NOT_RUN, Retry.NEVER),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, Outcome.NOT_RUN, Retry.NEVER),
    ErrorKind.FORBIDDEN: ErrorResponse(403, Outcome.NOT_RUN, Retry.NEVER),
    ErrorKind.NOT_FOUND: ErrorResponse(404, Outcome.NOT_RUN, Retry.NEVER),
    ErrorKind.CONFLICT: ErrorResponse(409, Outcome.NOT_RUN, Retry.LATER),
    ErrorKind.REQUEST_ID_REUSED: ErrorResponse(
        409, Outcome.NOT_RUN, Retry.NEVER
    ),
    ErrorKind.SESSION_INVALID: ErrorResponse(400, Outcome.NOT_RUN, Retry.NEVER),
    ErrorKind.SESSION_LOST: ErrorResponse(410, Outcome.NOT_RUN, Retry.NEVER),
    ErrorKind.TRANSACTION_GONE: ErrorResponse(
        410, Outcome.NOT_RUN, Retry.LATER
    ),
    ErrorKind.STATEMENT_FAILED: ErrorResponse(
        422, Outcome.NOT_RUN, Retry.NEVER
    ),
    ErrorKind.RATE_LIMITED: ErrorResponse(429, Outcome.NOT_RUN, Retry.LATER),
    ErrorKind.OVERLOADED: ErrorResponse(503, Outcome.NOT_RUN, Retry.LATER),
    ErrorKind.TOO_STALE: ErrorResponse(503, Outcome.NOT_RUN, Retry.LATER),
    ErrorKind.UNAVAILABLE: ErrorResponse(503, Outcome.NOT_RUN, Retry.LATER),
    ErrorKind.NOT_FRESH: ErrorResponse(503, Outcome.NOT_RUN, Retry.LATER),
    ErrorKind.DRAINING: ErrorResponse(503, Outcome.NOT_RUN, Retry.LATER),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        504, Outcome.UNKNOWN, Retry.SAME_REQUEST_ID
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        500, Outcome.UNKNOWN, Retry.SAME_REQUEST_ID
    ),
}
"""The response to each error kind."""


class LagoonstairError(Exception):
    """An error with a kind from the closed list.

    Attributes:
        kind: The kind, which determines the response.
        message: A description of the error for the caller.
        retry_after: Seconds after which a retry may succeed, if known.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(f"{kind}: {message}")
        self.kind = kind
        self.message = message
        self.retry_after = retry_after

    @property
    def response(self) -> ErrorResponse:
        """The response to this error, as ``ERROR_RESPONSES`` has it."""
        return ERROR_RESPONSES[self.kind]
