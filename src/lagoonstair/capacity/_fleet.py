"""Works out what a large fleet needs from the slopes."""

from collections.abc import Mapping
from typing import NamedTuple

NODES = 910
DATABASES = 2200
GROUPS = DATABASES / 3
CONNECTIONS_A_NODE = 2640
STATEMENTS_A_NODE = 540_000 / NODES
CHANGES_A_DAY = 1900
REPLACED_A_DAY = 520
WORKSPACES = DATABASES * 8 / 9
KEYS = WORKSPACES * 10
DAY = 86_400.0

STANDBYS = 2
MEMBERS = 3
HOLDERS = 7
PROBE_INTERVAL = 0.25
STANDBY_INTERVAL = 0.5
ASK_PERIOD = 0.1
LISTING_POLL = 2.0
REAPER_POLL = 7.5
HEAD_POLL = NODES / 400 * 0.75
"""The mean of a wait between half the interval and the whole."""
HTTP_HEAD_BYTES = 150.0
"""Assumed size of the head of a request or an answer."""

MICRO = 1e-6
CPU_BUDGET = 0.017
MEMORY_BUDGET = 128e6
NETWORK_BUDGET = 23e3

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


def loads(slopes: Slopes) -> list[Load]:
    """Returns the loads of all roles."""
    return [
        *_entry(slopes),
        *_owner(slopes),
        *_holder(slopes),
        *_platform(slopes),
    ]


def listing_bytes(slopes: Slopes) -> float:
    """The size of the platform's whole list."""
    instances = NODES * slopes["listed_instance"]
    return instances + DATABASES * slopes["listed_endpoint"]


def _entry(slopes: Slopes) -> list[Load]:
    changes = (CHANGES_A_DAY + 2 * REPLACED_A_DAY) / DAY
    push = NODES * (slopes["peer_call_client"]) * changes / NODES
    take = slopes["peer_call_server"] * changes
    template = slopes["template_change"] * WORKSPACES
    ranking = slopes["ranked_duty"] * (GROUPS + WORKSPACES)
    moves = 2 * REPLACED_A_DAY / DAY
    polls = 1 / LISTING_POLL + 1 / REAPER_POLL
    return [
        Load(
            "entry",
            "idle callers' connections",
            CONNECTIONS_A_NODE * slopes["caller_connections"],
            "bytes",
        ),
        Load(
            "entry",
            "workspaces, keys and members of the configuration",
            WORKSPACES * slopes["workspace_memory"]
            + KEYS * slopes["key_memory"]
            + NODES * slopes["member_memory"],
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
            NODES * slopes["peer_connections"],
            "bytes",
        ),
        Load(
            "entry",
            "counting requests",
            STATEMENTS_A_NODE * slopes["recorded_request"] * MICRO,
            "cores",
        ),
        Load(
            "entry",
            "pushing and taking changes",
            (push + take) * MICRO,
            "cores",
        ),
        Load(
            "entry",
            "one edit of a template of all workspaces",
            template * MICRO,
            "CPU seconds at once",
        ),
        Load(
            "entry",
            "ranking all duties after one change of the list",
            ranking * MICRO,
            "CPU seconds at once",
        ),
        Load("entry", "the same, on average", ranking * moves * MICRO, "cores"),
        Load(
            "entry",
            "reading the platform's whole list, twice",
            listing_bytes(slopes) * polls,
            "bytes/s",
        ),
        Load(
            "entry",
            "serving HTTP (data path)",
            STATEMENTS_A_NODE * slopes["http_request_server"] * MICRO,
            "cores",
        ),
    ]


def _owner(slopes: Slopes) -> list[Load]:
    active = MEMBERS / PROBE_INTERVAL
    standby = STANDBYS * MEMBERS / STANDBY_INTERVAL
    probes = GROUPS * (active + standby) / NODES
    size = 2 * HTTP_HEAD_BYTES + slopes["status_first_bytes"]
    return [
        Load("owner", "status probes, standbys included", probes, "calls/s"),
        Load(
            "owner",
            "the same",
            probes * slopes["status_probe"] * MICRO,
            "cores",
        ),
        Load("owner", "the same", probes * size, "bytes/s"),
        Load(
            "owner",
            "the same, a third of the instances gone",
            probes * 1.5 * slopes["status_probe"] * MICRO,
            "cores",
        ),
    ]


def _holder(slopes: Slopes) -> list[Load]:
    lenders = HOLDERS * WORKSPACES / GROUPS
    asks = GROUPS * lenders / ASK_PERIOD / NODES
    call = slopes["peer_call_client"] + slopes["peer_call_server"]
    loan = slopes["loan_borrower"] + slopes["loan_lender"]
    return [
        Load("holder", "asks sent, every group busy", asks, "calls/s"),
        Load("holder", "the same", asks * (call + loan) * MICRO, "cores"),
        Load("holder", "the same", asks * slopes["loan_bytes"], "bytes/s"),
    ]


def _platform(slopes: Slopes) -> list[Load]:
    listings = NODES * (1 / LISTING_POLL + 1 / REAPER_POLL)
    changes = (CHANGES_A_DAY + 2 * REPLACED_A_DAY) / DAY
    return [
        Load("platform", "reads of the head", NODES / HEAD_POLL, "reads/s"),
        Load("platform", "changes, two rows each", changes, "writes/s"),
        Load("platform", "listings", listings, "calls/s"),
        Load(
            "platform",
            "the same",
            listings * listing_bytes(slopes),
            "bytes/s",
        ),
    ]
