"""The list of measurements, each with its sizes and unit."""

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
"""Number of times that a measurement is repeated, unless it is exact."""


class Measure(NamedTuple):
    """One measurement of a cost per unit.

    Attributes:
        run: Returns the cost of handling the given number of units.
        unit: The unit of the slope.
        sizes: The numbers of units that are measured, three or more.
        scale: Factor that converts the cost to the unit of the slope.
        repeats: Number of repeats; one if the cost is exact.
    """

    run: Callable[[int], float]
    unit: str
    sizes: tuple[int, ...]
    scale: float = 1.0
    repeats: int = REPEATS


CALL_SIZES = (2000, 4000, 8000)
"""Numbers of calls or requests per run."""

PROBE_SIZES = (500, 1000, 2000)
"""Numbers of status probes or new connections per run."""

RECORD_SIZES = (1000, 2000, 4000)
"""Numbers of records in the configuration or the listing."""

JOIN_SIZES = (10, 20, 40)
"""Numbers of instances that join at the same time."""

LOAN_SIZES = (10, 20, 40)
"""Numbers of workspaces that a request for tokens covers."""

CONNECTION_SIZES = (500, 1000, 2000)
"""Numbers of idle caller connections."""

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
"""The measurements by the names of their functions."""
