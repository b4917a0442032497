"""Backoff for refused statements, and the retry hint for callers.

The functions do no I/O; time and random numbers are passed in.
"""

import itertools
from collections.abc import Callable, Iterator

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.statements import ErrorCode, Failure

FIRST_BACKOFF_SECONDS = 0.02
"""Upper bound of the first delay, in seconds: about the duration of a
statement, so that a slot is likely to be free afterwards."""

MAX_BACKOFF_SECONDS = 0.16
"""Upper bound of every delay, in seconds: about the time in which an endpoint
empties a full queue."""


TOO_LONG_MESSAGE = "the statement is too long to be sent on"

TOO_LONG_FAILURE = Failure(ErrorCode.TOO_LARGE, TOO_LONG_MESSAGE)

BUSY_FAILURE = Failure(
    ErrorCode.BUSY,
    f"the endpoint is busy; retry_after_ms={int(MAX_BACKOFF_SECONDS * 1000)}",
)
"""Answer to a statement whose deadline passes while its endpoint is busy; the
statement has not run."""

DEFAULT_RETRY_AFTER_SECONDS = 1.0
"""Retry hint to a refused caller, in seconds, if the refusal has none."""


def backoff_delays(random_unit: Callable[[], float]) -> Iterator[float]:
    """Yields the delays between attempts at a busy endpoint.

    The upper bound doubles with each delay. Jitter keeps statements that were
    refused at the same time from being retried at the same time.

    Args:
        random_unit: Returns a random number from 0 to 1.

    Yields:
        The next delay, in seconds.
    """
    for doublings in itertools.count():
        bound = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**doublings)
        yield bound * (1 + random_unit()) / 2


def refusal_failure(exc: LagoonstairError) -> Failure:
    """Returns the answer to a statement that this instance refuses to run.

    Args:
        exc: The refusal; the statement has not run.

    Returns:
        A busy error whose message tells when to retry, unless a retry can't
        succeed.
    """
    match exc.kind:
        case ErrorKind.UNAUTHENTICATED:
            return Failure(ErrorCode.NO_AUTH, exc.message)
        case ErrorKind.TOO_LARGE:
            return Failure(ErrorCode.TOO_LARGE, exc.message)
    seconds = exc.retry_after or DEFAULT_RETRY_AFTER_SECONDS
    hint = f"retry_after_ms={int(seconds * 1000)}"
    return Failure(ErrorCode.BUSY, f"{exc.message}; {hint}")


def next_delay(
    delays: Iterator[float], *, now: float, deadline: float
) -> float | None:
    """Takes the next delay and checks it against the deadline.

    Args:
        delays: The remaining delays, in seconds.
        now: The current time, in seconds.
        deadline: Time by which the statement must be answered, in seconds.

    Returns:
        The delay, or ``None`` if it would not end before the deadline.
    """
    delay = next(delays)
    return delay if now + delay < deadline else None
