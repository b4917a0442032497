"""The measures, each with its sizes and units."""

from collections.abc import Callable
from typing import NamedTuple

from lagoonstair.capacity import (
    _calls,
    _connections,
    _loans,
    _records,
    _sizes,
    _store,
)

MICROSECONDS = 1e6
REPEATS = 3


class Measure(NamedTuple):
    """One measure.

    Attributes:
        run: Returns the cost of a size.
        unit: The unit of the slope.
        sizes: The sizes, three or more.
        scale: What turns the cost into the unit.
        repeats: How often it is run; once for exact ones.
    """

    run: Callable[[int], float]
    unit: str
    sizes: tuple[int, ...]
    scale: float = 1.0
    repeats: int = REPEATS


CALLS = (2000, 4000, 8000)
PROBES = (500, 1000, 2000)
RECORDS = (1000, 2000, 4000)
JOINS = (10, 20, 40)
LOANS = (10, 20, 40)
CONNECTIONS = (500, 1000, 2000)

_ALL: tuple[Measure, ...] = (
    Measure(_calls.peer_call_client, "us CPU/call", CALLS, MICROSECONDS),
    Measure(_calls.peer_call_server, "us CPU/call", CALLS, MICROSECONDS),
    Measure(_calls.peer_connect, "us CPU/connect", PROBES, MICROSECONDS),
    Measure(_calls.http_request_server, "us CPU/call", CALLS, MICROSECONDS),
    Measure(_calls.status_probe, "us CPU/probe", PROBES, MICROSECONDS),
    Measure(_records.recorded_request, "us CPU/request", CALLS, MICROSECONDS),
    Measure(_records.key_change, "us CPU/key", RECORDS, MICROSECONDS),
    Measure(
        _records.template_change, "us CPU/workspace", RECORDS, MICROSECONDS
    ),
    Measure(_records.ranked_duty, "us CPU/duty", (50, 100, 200), MICROSECONDS),
    Measure(_records.workspace_memory, "bytes/workspace", RECORDS),
    Measure(_records.key_memory, "bytes/key", RECORDS),
    Measure(_records.member_memory, "bytes/member", RECORDS),
    Measure(_records.recorder_memory, "bytes/workspace", (500, 1000, 2000)),
    Measure(_records.recorder_full_memory, "bytes/workspace", (50, 100, 200)),
    Measure(_store.join_reads, "reads/join", JOINS),
    Measure(_store.join_writes, "writes/join", JOINS),
    Measure(_loans.loan_borrower, "us CPU/workspace", LOANS, MICROSECONDS),
    Measure(_loans.loan_lender, "us CPU/workspace", LOANS, MICROSECONDS),
    Measure(_loans.loan_bytes, "bytes/workspace", LOANS, repeats=1),
    Measure(_connections.caller_connections, "bytes/connection", CONNECTIONS),
    Measure(_connections.peer_connections, "bytes/connection", (250, 500, 900)),
    Measure(_sizes.listed_instance, "bytes/instance", RECORDS, repeats=1),
    Measure(_sizes.listed_endpoint, "bytes/database", (900, 1500, 3000), 1, 1),
    Measure(_sizes.status_bytes, "bytes/term", (1, 10, 20), repeats=1),
    Measure(_sizes.peer_view_bytes, "bytes/view", (10, 20, 40), repeats=1),
)

MEASURES = {measure.run.__name__: measure for measure in _ALL}
