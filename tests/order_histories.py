"""Checks histories of orders against the surviving log."""

from collections import Counter
from typing import NamedTuple


class Attempt(NamedTuple):
    """One order and the outcomes that its caller saw.

    Attributes:
        request_id: The order's request ID.
        outcomes: The outcome of each attempt, in order.
    """

    request_id: str
    outcomes: tuple[str, ...]


class Read(NamedTuple):
    """A read of an order that the same session wrote.

    Attributes:
        request_id: The order's request ID.
        rows: Number of rows that the read returned.
    """

    request_id: str
    rows: int


def faults_of(attempts, reads, log_ids):
    """Describes each guarantee that a history violates.

    Args:
        attempts: The orders as their callers saw them.
        reads: The answered reads of orders.
        log_ids: The request IDs in the surviving log, in order.
    """
    counts = Counter(log_ids)
    faults = [f"{name} ran {n} times" for name, n in counts.items() if n > 1]
    for attempt in attempts:
        answered = "answered" in attempt.outcomes
        if answered and not counts[attempt.request_id]:
            faults.append(f"{attempt.request_id} was answered and is lost")
        refused = set(attempt.outcomes) == {"not_run"}
        if refused and counts[attempt.request_id]:
            faults.append(f"{attempt.request_id} was refused and ran")
    faults += [
        f"{read.request_id} was not read by its own session"
        for read in reads
        if read.rows != 1
    ]
    return faults
