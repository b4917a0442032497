"""When a refused statement is tried again, here or by its caller; pure."""

import itertools
from collections.abc import Callable, Iterator

from lagoonstair.exceptions import LagoonstairError
from lagoonstair.statements import ErrorCode, Failure

FIRST_BACKOFF_SECONDS = 0.02
"""The first pause: about what a statement takes, so that a slot has become
free meanwhile."""

MAX_BACKOFF_SECONDS = 0.16
"""The longest pause; a full queue of an endpoint is worked off in about this
time."""


BUSY_FAILURE = Failure(
    ErrorCode.BUSY,
    f"the endpoint is busy; retry_after_ms={int(MAX_BACKOFF_SECONDS * 1000)}",
)
"""What a caller is told once its time is over; nothing has run."""

DEFAULT_RETRY_AFTER_SECONDS = 1.0
"""When a refused caller is told to come back if nothing tells a better time."""


def backoff_delays(draw: Callable[[], float]) -> Iterator[float]:
    """Pauses between two tries of a busy endpoint, in seconds.

    Each is up to twice as long as the one before, and drawn, so that the
    statements that were refused together do not return together.

    Args:
        draw: A random number from 0 to 1.
    """
    for doublings in itertools.count():
        longest = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**doublings)
        yield longest * (1 + draw()) / 2


def refusal_failure(exc: LagoonstairError) -> Failure:
    """What a caller is told that this instance refuses; nothing has run."""
    seconds = exc.retry_after or DEFAULT_RETRY_AFTER_SECONDS
    later = f"retry_after_ms={int(seconds * 1000)}"
    return Failure(ErrorCode.BUSY, f"{exc.message}; {later}")


def next_delay(
    pauses: Iterator[float], *, now: float, deadline: float
) -> float | None:
    """The next pause, if there is time for it.

    Args:
        pauses: Those that are left.
        now: The time, in seconds.
        deadline: When the statement must have been answered.
    """
    pause = next(pauses)
    return pause if now + pause < deadline else None
