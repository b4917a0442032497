"""Classifies errors of endpoints and of other instances for retries."""

from lagoonstair.exceptions import LagoonstairError, Outcome, Retry
from lagoonstair.peers import PeerNotSentError
from lagoonstair.ports import (
    EndpointRefusal,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from lagoonstair.retries._attempts import AttemptFailure

RETRYABLE_REFUSALS = frozenset(
    {
        EndpointRefusal.STALE_TERM,
        EndpointRefusal.NOT_PRIMARY,
        EndpointRefusal.BUSY,
    }
)
"""Refusals by an endpoint after which another attempt may succeed."""


def classify_failure(exc: BaseException) -> AttemptFailure:
    """Returns what an error proves about an attempt; by default, nothing."""
    match exc:
        case EndpointUnreachableError() | PeerNotSentError():
            return AttemptFailure(Outcome.NOT_RUN)
        case EndpointRefusedError():
            return AttemptFailure(
                Outcome.NOT_RUN, retryable=exc.refusal in RETRYABLE_REFUSALS
            )
        case LagoonstairError():
            return AttemptFailure(
                exc.response.outcome,
                retryable=exc.response.retry is not Retry.NEVER,
                retry_after=exc.retry_after or 0.0,
            )
        case _:
            return AttemptFailure(Outcome.UNKNOWN)
