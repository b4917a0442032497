"""Computes the loads of a large fleet from measured costs per unit."""

from collections.abc import Mapping
from typing import NamedTuple

INSTANCES = 910
"""Number of instances in the fleet."""

DATABASES = 2200
"""Number of databases in the fleet."""

GROUPS = DATABASES / 3
"""Number of database groups, with three databases each."""

CONNECTIONS_PER_INSTANCE = 2640
"""Number of idle caller connections per instance."""

STATEMENTS_PER_INSTANCE = 540_000 / INSTANCES
"""Statements per second of one instance; the fleet has 540,000 per second."""

CHANGES_PER_DAY = 1900
"""Configuration changes per day, other than joining and leaving instances."""

REPLACEMENTS_PER_DAY = 520
"""Instances replaced per day; each changes the configuration twice."""

WORKSPACES = DATABASES * 8 / 9
"""Number of workspaces, eight for every nine databases."""

KEYS = WORKSPACES * 10
"""Number of keys, ten for each workspace."""

SECONDS_PER_DAY = 86_400.0

STANDBYS = 2
"""Number of instances that watch a group besides its owner."""

MEMBERS = 3
"""Number of databases in a group."""

HOLDERS = 7
"""Number of instances that hold a share of a workspace's rate limit."""

PROBE_INTERVAL_SECONDS = 0.25
"""Seconds between two status probes of a member by the group's owner."""

STANDBY_INTERVAL_SECONDS = 0.5
"""Seconds between two status probes of a member by a standby.

An input of the capacity estimate. It is not read from the timing of the
watchers (``standby_interval``), whose default is 0.35 s."""

ASK_INTERVAL_SECONDS = 0.1
"""Seconds between two requests for tokens to the same lender."""

LISTING_POLL_SECONDS = 2.0
"""Seconds between two reads of the platform's listing by an instance."""

REAPER_POLL_SECONDS = 7.5
"""Mean seconds between two reads of the listing to find stopped instances."""

HEAD_POLL_SECONDS = INSTANCES / 400 * 0.75
"""Mean seconds between two reads of the configuration's head by an instance.

The interval is chosen so that the fleet reads at most 400 times per second
if each instance waits for the whole of it. Each wait is drawn between half
the interval and the whole, so its mean is 0.75 of the interval.
"""

HTTP_HEAD_BYTES = 150.0
"""Assumed size in bytes of the head of an HTTP request or response."""

SECONDS_PER_MICROSECOND = 1e-6
"""Factor that converts microseconds to seconds."""

CPU_BUDGET_CORES = 0.017
"""Processor budget of one instance, in cores."""

MEMORY_BUDGET_BYTES = 128e6
"""Memory budget of one instance, in bytes."""

NETWORK_BUDGET_BYTES_PER_SECOND = 23e3
"""Network budget of one instance, in bytes per second."""

Slopes = Mapping[str, float]
"""The cost per unit of each measurement, by its name."""


class Load(NamedTuple):
    """One load of an instance in a role, or of the platform.

    Attributes:
        role: The role that carries the load.
        what: A description of the load.
        value: The amount of the load.
        unit: The unit of the amount.
    """

    role: str
    what: str
    value: float
    unit: str


def compute_loads(slopes: Slopes) -> list[Load]:
    """Computes the loads of all roles.

    Args:
        slopes: The cost per unit of each measurement, and under the name
            ``status_first_bytes`` the bytes of a status with one term.

    Returns:
        The loads, grouped by role.

    Raises:
        KeyError: The cost of a measurement is missing.
    """
    return [
        *_compute_entry_loads(slopes),
        *_compute_owner_loads(slopes),
        *_compute_holder_loads(slopes),
        *_compute_platform_loads(slopes),
    ]


def listing_bytes(slopes: Slopes) -> float:
    """Returns the size in bytes of the platform's complete listing."""
    instances = INSTANCES * slopes["listed_instance"]
    return instances + DATABASES * slopes["listed_endpoint"]


def _compute_entry_loads(slopes: Slopes) -> list[Load]:
    """Returns the loads of an instance that serves callers."""
    changes = (CHANGES_PER_DAY + 2 * REPLACEMENTS_PER_DAY) / SECONDS_PER_DAY
    push_cost = INSTANCES * (slopes["peer_call_client"]) * changes / INSTANCES
    receive_cost = slopes["peer_call_server"] * changes
    template = slopes["template_change"] * WORKSPACES
    ranking = slopes["ranked_duty"] * (GROUPS + WORKSPACES)
    membership_changes = 2 * REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
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
            (push_cost + receive_cost) * SECONDS_PER_MICROSECOND,
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
            ranking * membership_changes * SECONDS_PER_MICROSECOND,
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
    """Returns the loads of probing the members of all groups, per instance."""
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
    """Returns the loads of exchanging tokens of rate limits, per instance."""
    lenders = HOLDERS * WORKSPACES / GROUPS
    asks_per_second = GROUPS * lenders / ASK_INTERVAL_SECONDS / INSTANCES
    call = slopes["peer_call_client"] + slopes["peer_call_server"]
    loan = slopes["loan_borrower"] + slopes["loan_lender"]
    return [
        Load(
            "holder", "asks sent, every group busy", asks_per_second, "calls/s"
        ),
        Load(
            "holder",
            "the same",
            asks_per_second * (call + loan) * SECONDS_PER_MICROSECOND,
            "cores",
        ),
        Load(
            "holder",
            "the same",
            asks_per_second * slopes["loan_bytes"],
            "bytes/s",
        ),
    ]


def _compute_platform_loads(slopes: Slopes) -> list[Load]:
    """Returns the loads that all instances together put on the platform."""
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
