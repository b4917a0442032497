"""Counts the requests of one instance in windows of one minute."""

import contextlib
from collections.abc import Callable

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.report import _histogram
from lagoonstair.report._measurements import (
    ANSWERED,
    Measurements,
    Objectives,
    WindowCounts,
    WorkspaceMeasurements,
)
from lagoonstair.report._windows import PackedWindows

WINDOW_SECONDS = 60.0
"""Length of a window, in seconds."""
MAX_WORKSPACES = 4096
"""Highest number of workspaces with counts of their own; it bounds memory."""
OVERFLOW_WORKSPACE = "others"
"""Name under which the requests of all further workspaces are counted."""

OUTAGE_KINDS = frozenset(
    {
        ErrorKind.UNAVAILABLE,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.NOT_FRESH,
        ErrorKind.INTERNAL,
    }
)
"""Errors that make up a gap in service."""
RATE_REFUSAL_KINDS = frozenset({ErrorKind.RATE_LIMITED, ErrorKind.OVERLOADED})
"""Errors that use up budget only while the workspace is within its rate."""

ObjectivesLookup = Callable[[str], Objectives]
"""Returns the objectives of a workspace, given its name."""


def _default_objectives(workspace: str) -> Objectives:
    """Returns the default objectives for any workspace."""
    del workspace
    return Objectives()


class _WorkspaceState:
    """Counts and objectives of one workspace.

    Attributes:
        current_window: The counts of the current minute.
        windows: The counts of earlier windows.
        latencies: The latencies of answered requests.
        failing_since: Start of the current run of failures, in monotonic
            seconds; None if there is none.
        objectives: The last known objectives of the workspace.
    """

    __slots__ = (
        "_minute",
        "current_window",
        "failing_since",
        "latencies",
        "objectives",
        "windows",
    )

    def __init__(self) -> None:
        self._minute = -1
        self.current_window = WindowCounts(age=0)
        self.windows = PackedWindows()
        self.latencies = _histogram.new_histogram()
        self.failing_since: float | None = None
        self.objectives = Objectives()

    def advance_to(self, minute: int) -> WindowCounts:
        """Returns the window of a minute, after closing an earlier one.

        The window never goes back: for an earlier minute, the current window
        is returned.
        """
        if minute > self._minute:
            if self._minute >= 0:
                self.windows.add(self._minute, self.current_window)
            self.windows.compact(minute)
            self.current_window = WindowCounts(age=0)
            self._minute = minute
        return self.current_window


class Recorder:
    """Counts requests in memory that is bounded whatever callers do.

    A workspace takes one histogram and at most ``MAX_WINDOWS`` windows.
    """

    def __init__(
        self, *, objectives_of: ObjectivesLookup = _default_objectives
    ) -> None:
        """Creates a recorder without counts.

        Args:
            objectives_of: Returns the objectives of a workspace; it may raise
                ``LagoonstairError`` for a workspace that was removed.
        """
        self._objectives_of = objectives_of
        self._workspaces: dict[str, _WorkspaceState] = {}

    def record(
        self,
        workspace: str,
        kind: ErrorKind | None,
        latency: float,
        *,
        served_by_replica: bool = False,
        within_rate: bool = True,
        now: float,
    ) -> None:
        """Counts one finished request.

        Args:
            workspace: The request's workspace, which must be a known one.
            kind: The error of the response; None for a success.
            latency: Time from the arrival to the response, in seconds.
            served_by_replica: Whether a replica served the request.
            within_rate: Whether the workspace was within its rate.
            now: The current time, in monotonic seconds.
        """
        state = self._get_or_create_state(workspace)
        window = state.advance_to(int(now // WINDOW_SECONDS))
        outcome = ANSWERED if kind is None else kind.value
        window.outcomes[outcome] = window.outcomes.get(outcome, 0) + 1
        if kind is None:
            _histogram.record(state.latencies, latency)
            window.by_replica += served_by_replica
            self._update_objectives(workspace, state)
            window.slow += latency > state.objectives.latency
        elif within_rate and kind in RATE_REFUSAL_KINDS:
            window.refused_within_rate += 1
        self._track_gap(state, window, kind, now - latency, now)

    def measurements(self, instance: str, now: float) -> Measurements:
        """Returns the counts so far, with windows by their age.

        Args:
            instance: The name of this instance.
            now: The current time, in monotonic seconds.
        """
        return Measurements(
            instance=instance,
            workspaces={
                name: self._measure(name, state, now)
                for name, state in self._workspaces.items()
            },
        )

    def _get_or_create_state(self, workspace: str) -> _WorkspaceState:
        """Returns a workspace's state, or the shared one above the bound."""
        state = self._workspaces.get(workspace)
        if state is None:
            if len(self._workspaces) >= MAX_WORKSPACES:
                workspace = OVERFLOW_WORKSPACE
            state = self._workspaces.setdefault(workspace, _WorkspaceState())
        return state

    def _update_objectives(
        self, workspace: str, state: _WorkspaceState
    ) -> None:
        """Updates the objectives; a removed workspace keeps its last ones."""
        with contextlib.suppress(LagoonstairError):
            state.objectives = self._objectives_of(workspace)

    def _track_gap(
        self,
        state: _WorkspaceState,
        window: WindowCounts,
        kind: ErrorKind | None,
        arrived_at: float,
        now: float,
    ) -> None:
        """Tracks a run of failures, from its first arrival to a success.

        Errors of other kinds neither start nor end a run.
        """
        if kind in OUTAGE_KINDS:
            if state.failing_since is None:
                state.failing_since = arrived_at
        elif kind is None and state.failing_since is not None:
            window.gap = max(window.gap, now - state.failing_since)
            state.failing_since = None

    def _measure(
        self, name: str, state: _WorkspaceState, now: float
    ) -> WorkspaceMeasurements:
        """Returns the counts of one workspace up to now."""
        minute = int(now // WINDOW_SECONDS)
        state.advance_to(minute)
        self._update_objectives(name, state)
        failing_since = state.failing_since
        current = (
            [state.current_window] if state.current_window.outcomes else []
        )
        return WorkspaceMeasurements(
            windows=[*current, *state.windows.list(minute)],
            latencies=_histogram.encode(state.latencies),
            objectives=state.objectives,
            gap=0.0 if failing_since is None else now - failing_since,
        )
