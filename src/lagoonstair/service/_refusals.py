"""Mapping of endpoint refusals and failed read plans to callers' errors."""

from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome
from lagoonstair.groups import NoTargetReason
from lagoonstair.ports import EndpointRefusal, EndpointRefusedError

REFUSAL_KINDS: dict[EndpointRefusal, ErrorKind] = {
    EndpointRefusal.STALE_TERM: ErrorKind.UNAVAILABLE,
    EndpointRefusal.NOT_PRIMARY: ErrorKind.UNAVAILABLE,
    EndpointRefusal.STATEMENT_FAILED: ErrorKind.STATEMENT_FAILED,
    EndpointRefusal.SERIALIZATION: ErrorKind.CONFLICT,
    EndpointRefusal.REQUEST_ID_REUSED: ErrorKind.REQUEST_ID_REUSED,
    EndpointRefusal.NO_TRANSACTION: ErrorKind.TRANSACTION_GONE,
    EndpointRefusal.BUSY: ErrorKind.OVERLOADED,
    EndpointRefusal.BAD_REQUEST: ErrorKind.BAD_REQUEST,
}
"""Error kind for each refusal. A refused call had no effect."""

NO_TARGET_ERRORS: dict[NoTargetReason, tuple[ErrorKind, str]] = {
    NoTargetReason.SESSION_LOST: (
        ErrorKind.SESSION_LOST,
        "the surviving log lacks the session's last write",
    ),
    NoTargetReason.TOO_STALE: (
        ErrorKind.TOO_STALE,
        "no database can prove the age that the route asks for",
    ),
    NoTargetReason.BEHIND: (
        ErrorKind.UNAVAILABLE,
        "no database holds the session's position yet",
    ),
    NoTargetReason.UNAVAILABLE: (
        ErrorKind.UNAVAILABLE,
        "no database of the group may take work",
    ),
}
"""Error for each reason why no member can serve a read."""


def refusal_error(exc: EndpointRefusedError) -> LagoonstairError:
    """Returns the caller's error for an endpoint's refusal."""
    return LagoonstairError(REFUSAL_KINDS[exc.refusal], exc.message)


def no_target_error(reason: NoTargetReason) -> LagoonstairError:
    """Returns the error for a read that no member can serve."""
    kind, message = NO_TARGET_ERRORS[reason]
    return LagoonstairError(kind, message)


def unknown_error(message: str) -> LagoonstairError:
    """Returns the error for a request that may or may not have run."""
    return LagoonstairError(ErrorKind.OUTCOME_UNKNOWN, message)


def unavailable_error(message: str) -> LagoonstairError:
    """Returns the error for a request that could not run."""
    return LagoonstairError(ErrorKind.UNAVAILABLE, message)


def combined_error(
    outcome: Outcome, last: LagoonstairError
) -> LagoonstairError:
    """Returns an error that accounts for all attempts at a request.

    Args:
        outcome: The known outcome of all attempts together.
        last: The error of the last attempt.
    """
    if outcome is last.response.outcome:
        return last
    return unknown_error(
        "an attempt may have run; repeat with the same request id"
    )
