"""What an instance has counted, and the sum over instances."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from lagoonstair.report import _histogram

ANSWERED = "answered"
"""The count of requests that were answered without an error."""


class Objectives(msgspec.Struct, frozen=True, kw_only=True):
    """The service level that a workspace is promised.

    Attributes:
        served: The fraction of valid requests to be served, for each reason
            of a refusal.
        latency: Seconds within which a request is to be answered.
        within_latency: The fraction of requests answered within ``latency``.
        failover_gap: Seconds that requests may fail in a row.
    """

    served: float = 0.999
    latency: float = 0.25
    within_latency: float = 0.99
    failover_gap: float = 3.0


class WindowCounts(msgspec.Struct, kw_only=True):
    """The counts of one minute, or of several when they are an hour old.

    Attributes:
        age: How many minutes ago the window began; 0 is the running minute.
        outcomes: Requests by error kind, or ``answered``.
        refused_within_rate: Requests refused though the workspace was
            inside its rate.
        slow: Answered requests over the latency objective.
        by_replica: Answered requests that a replica served.
        gap: The longest time of failures in a row that ended here, in
            seconds.
    """

    age: int
    outcomes: dict[str, int] = {}
    refused_within_rate: int = 0
    slow: int = 0
    by_replica: int = 0
    gap: float = 0.0


class WorkspaceMeasurements(msgspec.Struct, kw_only=True):
    """One workspace's counts.

    Attributes:
        windows: The windows that hold any request, the latest first.
        latencies: An encoded histogram of the latencies of answered
            requests since the instance's start, in tenths of milliseconds.
        objectives: What the workspace is promised.
        gap: How long the present run of failures lasts, in seconds.
    """

    windows: list[WindowCounts]
    latencies: str
    objectives: Objectives = Objectives()
    gap: float = 0.0


class Measurements(msgspec.Struct, kw_only=True):
    """What one instance, or several together, have counted.

    Attributes:
        instance: The instance's name; empty for a sum.
        workspaces: The counts of each workspace.
    """

    instance: str
    workspaces: dict[str, WorkspaceMeasurements]


def merge(parts: Iterable[Measurements]) -> Measurements:
    """Adds the counts of several instances.

    Windows are matched by age, so two instances' windows may be shifted by
    up to a minute. Gaps are not added: the longest counts.
    """
    by_name: dict[str, list[WorkspaceMeasurements]] = defaultdict(list)
    for part in parts:
        for name, measured in part.workspaces.items():
            by_name[name].append(measured)
    return Measurements(
        instance="",
        workspaces={
            name: _merge_workspace(measured)
            for name, measured in sorted(by_name.items())
        },
    )


def _merge_workspace(
    parts: list[WorkspaceMeasurements],
) -> WorkspaceMeasurements:
    windows: dict[int, WindowCounts] = {}
    for part in parts:
        for window in part.windows:
            total = windows.setdefault(window.age, WindowCounts(age=window.age))
            add_counts(total, window)
    return WorkspaceMeasurements(
        windows=[windows[age] for age in sorted(windows)],
        latencies=_histogram.merge(part.latencies for part in parts),
        objectives=parts[0].objectives,
        gap=max(part.gap for part in parts),
    )


def add_counts(total: WindowCounts, window: WindowCounts) -> None:
    """Adds a window's counts to another's."""
    for outcome, count in window.outcomes.items():
        total.outcomes[outcome] = total.outcomes.get(outcome, 0) + count
    total.refused_within_rate += window.refused_within_rate
    total.slow += window.slow
    total.by_replica += window.by_replica
    total.gap = max(total.gap, window.gap)
