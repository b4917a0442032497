"""Works out what a large fleet needs from the slopes."""

from collections.abc import Mapping
from typing import NamedTuple

INSTANCES = 910
DATABASES = 2200
GROUPS = DATABASES / 3
CONNECTIONS_PER_INSTANCE = 2640
STATEMENTS_PER_INSTANCE = 540_000 / INSTANCES
CHANGES_PER_DAY = 1900
REPLACEMENTS_PER_DAY = 520
WORKSPACES = DATABASES * 8 / 9
KEYS = WORKSPACES * 10
SECONDS_PER_DAY = 86_400.0

STANDBYS = 2
MEMBERS = 3
HOLDERS = 7
PROBE_INTERVAL_SECONDS = 0.25
STANDBY_INTERVAL_SECONDS = 0.5
ASK_INTERVAL_SECONDS = 0.1
LISTING_POLL_SECONDS = 2.0
REAPER_POLL_SECONDS = 7.5
HEAD_POLL_SECONDS = INSTANCES / 400 * 0.75
"""The mean of a wait between half the interval and the whole."""
HTTP_HEAD_BYTES = 150.0
"""Assumed size of the head of a request or an answer."""

SECONDS_PER_MICROSECOND = 1e-6
CPU_BUDGET_CORES = 0.017
MEMORY_BUDGET_BYTES = 128e6
NETWORK_BUDGET_BYTES_PER_SECOND = 23e3

Slopes = Mapping[str, float]


class Load(NamedTuple):
    """One load on one node, or on the store.

    Attributes:
        role: Who carries it.
        what: What it is, with the mechanism.
        value: How much.
        unit: Its unit.
    """

    role: str
    what: str
    value: float
    unit: str


def compute_loads(slopes: Slopes) -> list[Load]:
    """Returns the loads of all roles."""
    return [
        *_compute_entry_loads(slopes),
        *_compute_owner_loads(slopes),
        *_compute_holder_loads(slopes),
        *_compute_platform_loads(slopes),
    ]


def listing_bytes(slopes: Slopes) -> float:
    """The size of the platform's whole list."""
    instances = INSTANCES * slopes["listed_instance"]
    return instances + DATABASES * slopes["listed_endpoint"]


def _compute_entry_loads(slopes: Slopes) -> list[Load]:
    changes = (CHANGES_PER_DAY + 2 * REPLACEMENTS_PER_DAY) / SECONDS_PER_DAY
    push = INSTANCES * (slopes["peer_call_client"]) * changes / INSTANCES
    take = slopes["peer_call_server"] * changes
    template = slopes["template_change"] * WORKSPACES
    ranking = slopes["ranked_duty"] * (GROUPS + WORKSPACES)
    moves = 2 * REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
    polls = 1 / LISTING_POLL_SECONDS + 1 / REAPER_POLL_SECONDS
    return [
        Load(
            "entry",
            "idle callers' connections",
            CONNECTIONS_PER_INSTANCE * slopes["caller_connections"],
            "bytes",
        ),
        Load(
            "entry",
            "workspaces, keys and members of the configuration",
            WORKSPACES * slopes["workspace_memory"]
            + KEYS * slopes["key_memory"]
            + INSTANCES * slopes["member_memory"],
            "bytes",
        ),
        Load(
            "entry",
            "counts of all workspaces, busy for six hours",
            WORKSPACES * slopes["recorder_full_memory"],
            "bytes",
        ),
        Load(
            "entry",
            "connections from all other instances",
            INSTANCES * slopes["peer_connections"],
            "bytes",
        ),
        Load(
            "entry",
            "counting requests",
            STATEMENTS_PER_INSTANCE
            * slopes["recorded_request"]
            * SECONDS_PER_MICROSECOND,
            "cores",
        ),
        Load(
            "entry",
            "pushing and taking changes",
            (push + take) * SECONDS_PER_MICROSECOND,
            "cores",
        ),
        Load(
            "entry",
            "one edit of a template of all workspaces",
            template * SECONDS_PER_MICROSECOND,
            "CPU seconds at once",
        ),
        Load(
            "entry",
            "ranking all duties after one change of the list",
            ranking * SECONDS_PER_MICROSECOND,
            "CPU seconds at once",
        ),
        Load(
            "entry",
            "the same, on average",
            ranking * moves * SECONDS_PER_MICROSECOND,
            "cores",
        ),
        Load(
            "entry",
            "reading the platform's whole list, twice",
            listing_bytes(slopes) * polls,
            "bytes/s",
        ),
        Load(
            "entry",
            "serving HTTP (data path)",
            STATEMENTS_PER_INSTANCE
            * slopes["http_request_server"]
            * SECONDS_PER_MICROSECOND,
            "cores",
        ),
    ]


def _compute_owner_loads(slopes: Slopes) -> list[Load]:
    active = MEMBERS / PROBE_INTERVAL_SECONDS
    standby = STANDBYS * MEMBERS / STANDBY_INTERVAL_SECONDS
    probes = GROUPS * (active + standby) / INSTANCES
    size = 2 * HTTP_HEAD_BYTES + slopes["status_first_bytes"]
    return [
        Load("owner", "status probes, standbys included", probes, "calls/s"),
        Load(
            "owner",
            "the same",
            probes * slopes["status_probe"] * SECONDS_PER_MICROSECOND,
            "cores",
        ),
        Load("owner", "the same", probes * size, "bytes/s"),
        Load(
            "owner",
            "the same, a third of the instances gone",
            probes * 1.5 * slopes["status_probe"] * SECONDS_PER_MICROSECOND,
            "cores",
        ),
    ]


def _compute_holder_loads(slopes: Slopes) -> list[Load]:
    lenders = HOLDERS * WORKSPACES / GROUPS
    asks = GROUPS * lenders / ASK_INTERVAL_SECONDS / INSTANCES
    call = slopes["peer_call_client"] + slopes["peer_call_server"]
    loan = slopes["loan_borrower"] + slopes["loan_lender"]
    return [
        Load("holder", "asks sent, every group busy", asks, "calls/s"),
        Load(
            "holder",
            "the same",
            asks * (call + loan) * SECONDS_PER_MICROSECOND,
            "cores",
        ),
        Load("holder", "the same", asks * slopes["loan_bytes"], "bytes/s"),
    ]


def _compute_platform_loads(slopes: Slopes) -> list[Load]:
    listings = INSTANCES * (1 / LISTING_POLL_SECONDS + 1 / REAPER_POLL_SECONDS)
    changes = (CHANGES_PER_DAY + 2 * REPLACEMENTS_PER_DAY) / SECONDS_PER_DAY
    return [
        Load(
            "platform",
            "reads of the head",
            INSTANCES / HEAD_POLL_SECONDS,
            "reads/s",
        ),
        Load("platform", "changes, two rows each", changes, "writes/s"),
        Load("platform", "listings", listings, "calls/s"),
        Load(
            "platform",
            "the same",
            listings * listing_bytes(slopes),
            "bytes/s",
        ),
    ]
