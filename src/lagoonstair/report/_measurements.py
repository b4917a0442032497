"""Request counts of an instance, and their sum over instances."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from lagoonstair.report import _histogram

ANSWERED = "answered"
"""Key, among the outcomes, of requests answered without an error."""


class Objectives(msgspec.Struct, frozen=True, kw_only=True):
    """Service level objectives of a workspace.

    Attributes:
        served: The fraction of valid requests to serve, which each indicator
            other than latency has to reach.
        latency: The time within which to answer a request, in seconds.
        within_latency: The fraction of requests to answer within ``latency``.
        failover_gap: Longest run of failures that is allowed, in seconds.
    """

    served: float = 0.999
    latency: float = 0.25
    within_latency: float = 0.99
    failover_gap: float = 3.0


class WindowCounts(msgspec.Struct, kw_only=True):
    """Counts of one minute, or of a block of minutes that is an hour old.

    Attributes:
        age: Minutes since the window began; 0 for the current minute.
        outcomes: Number of requests by error kind, or ``answered``.
        refused_within_rate: Number of requests refused although the workspace
            was within its rate.
        slow: Number of answered requests that exceeded the latency objective.
        by_replica: Number of answered requests that a replica served.
        gap: Longest run of failures that ended in the window, in seconds.
    """

    age: int
    outcomes: dict[str, int] = {}
    refused_within_rate: int = 0
    slow: int = 0
    by_replica: int = 0
    gap: float = 0.0


class WorkspaceMeasurements(msgspec.Struct, kw_only=True):
    """Counts of one workspace.

    Attributes:
        windows: The windows that hold any request, the latest first.
        latencies: An encoded histogram of the latencies of answered
            requests since the instance's start, in tenths of milliseconds.
        objectives: The workspace's service level objectives.
        gap: Duration of the current run of failures, in seconds; 0 for none.
    """

    windows: list[WindowCounts]
    latencies: str
    objectives: Objectives = Objectives()
    gap: float = 0.0


class Measurements(msgspec.Struct, kw_only=True):
    """Counts of one instance, or the sum over several.

    Attributes:
        instance: The instance's name; empty for a sum.
        workspaces: The counts of each workspace.
    """

    instance: str
    workspaces: dict[str, WorkspaceMeasurements]


def merge(parts: Iterable[Measurements]) -> Measurements:
    """Adds the counts of several instances.

    Windows are matched by age, so the windows of two instances may be shifted
    by up to a minute. Gaps are not added; the longest one is kept.
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
    """Adds the counts of one workspace, with the first part's objectives."""
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
    """Adds the counts of ``window`` to ``total`` in place."""
    for outcome, count in window.outcomes.items():
        total.outcomes[outcome] = total.outcomes.get(outcome, 0) + count
    total.refused_within_rate += window.refused_within_rate
    total.slow += window.slow
    total.by_replica += window.by_replica
    total.gap = max(total.gap, window.gap)
