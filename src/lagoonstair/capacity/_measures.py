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

MICROSECONDS_PER_SECOND = 1e6
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


CALL_SIZES = (2000, 4000, 8000)
PROBE_SIZES = (500, 1000, 2000)
RECORD_SIZES = (1000, 2000, 4000)
JOIN_SIZES = (10, 20, 40)
LOAN_SIZES = (10, 20, 40)
CONNECTION_SIZES = (500, 1000, 2000)

_ALL: tuple[Measure, ...] = (
    Measure(
        _calls.peer_call_client,
        "us CPU/call",
        CALL_SIZES,
        MICROSECONDS_PER_SECOND,
    ),
    Measure(
        _calls.peer_call_server,
        "us CPU/call",
        CALL_SIZES,
        MICROSECONDS_PER_SECOND,
    ),
    Measure(
        _calls.peer_connect,
        "us CPU/connect",
        PROBE_SIZES,
        MICROSECONDS_PER_SECOND,
    ),
    Measure(
        _calls.http_request_server,
        "us CPU/call",
        CALL_SIZES,
        MICROSECONDS_PER_SECOND,
    ),
    Measure(
        _calls.status_probe,
        "us CPU/probe",
        PROBE_SIZES,
        MICROSECONDS_PER_SECOND,
    ),
    Measure(
        _records.recorded_request,
        "us CPU/request",
        CALL_SIZES,
        MICROSECONDS_PER_SECOND,
    ),
    Measure(
        _records.key_change, "us CPU/key", RECORD_SIZES, MICROSECONDS_PER_SECOND
    ),
    Measure(
        _records.template_change,
        "us CPU/workspace",
        RECORD_SIZES,
        MICROSECONDS_PER_SECOND,
    ),
    Measure(
        _records.ranked_duty,
        "us CPU/duty",
        (50, 100, 200),
        MICROSECONDS_PER_SECOND,
    ),
    Measure(_records.workspace_memory, "bytes/workspace", RECORD_SIZES),
    Measure(_records.key_memory, "bytes/key", RECORD_SIZES),
    Measure(_records.member_memory, "bytes/member", RECORD_SIZES),
    Measure(_records.recorder_memory, "bytes/workspace", (500, 1000, 2000)),
    Measure(_records.recorder_full_memory, "bytes/workspace", (50, 100, 200)),
    Measure(_store.join_reads, "reads/join", JOIN_SIZES),
    Measure(_store.join_writes, "writes/join", JOIN_SIZES),
    Measure(
        _loans.loan_borrower,
        "us CPU/workspace",
        LOAN_SIZES,
        MICROSECONDS_PER_SECOND,
    ),
    Measure(
        _loans.loan_lender,
        "us CPU/workspace",
        LOAN_SIZES,
        MICROSECONDS_PER_SECOND,
    ),
    Measure(_loans.loan_bytes, "bytes/workspace", LOAN_SIZES, repeats=1),
    Measure(
        _connections.caller_connections, "bytes/connection", CONNECTION_SIZES
    ),
    Measure(_connections.peer_connections, "bytes/connection", (250, 500, 900)),
    Measure(_sizes.listed_instance, "bytes/instance", RECORD_SIZES, repeats=1),
    Measure(_sizes.listed_endpoint, "bytes/database", (900, 1500, 3000), 1, 1),
    Measure(_sizes.status_bytes, "bytes/term", (1, 10, 20), repeats=1),
    Measure(_sizes.peer_view_bytes, "bytes/view", (10, 20, 40), repeats=1),
)

MEASURES = {measure.run.__name__: measure for measure in _ALL}
