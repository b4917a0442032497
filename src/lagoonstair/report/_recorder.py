"""Counts the requests of one instance in windows of a minute."""

from collections import deque
from collections.abc import Callable

from lagoonstair.exceptions import ErrorKind
from lagoonstair.report import _histogram
from lagoonstair.report._measurements import (
    ANSWERED,
    Measurements,
    Objectives,
    WindowCounts,
    WorkspaceMeasurements,
)

WINDOW_SECONDS = 60.0
WINDOWS = 360
"""How many windows are kept: six hours."""
MAX_WORKSPACES = 4096
"""Requests of further workspaces are counted together."""
OTHERS = "others"

FAILURES = frozenset(
    {
        ErrorKind.UNAVAILABLE,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.NOT_FRESH,
        ErrorKind.INTERNAL,
    }
)
"""The kinds that make up a gap in service."""
REFUSALS_BY_RATE = frozenset({ErrorKind.RATE_LIMITED, ErrorKind.OVERLOADED})

ObjectivesOf = Callable[[str], Objectives]


def _default_objectives(workspace: str) -> Objectives:
    del workspace
    return Objectives()


class _Minute:
    """The counts of one window, by its number since the clock's zero."""

    __slots__ = ("counts", "number")

    def __init__(self, number: int) -> None:
        self.number = number
        self.counts = WindowCounts(age=0)


class _Workspace:
    """The windows and the latencies of one workspace."""

    __slots__ = ("failing_since", "latencies", "minutes")

    def __init__(self) -> None:
        self.minutes: deque[_Minute] = deque(maxlen=WINDOWS)
        self.latencies = _histogram.make()
        self.failing_since: float | None = None

    def at(self, now: float) -> WindowCounts:
        """Returns the window of a time, which never goes back."""
        number = int(now // WINDOW_SECONDS)
        if not self.minutes or self.minutes[-1].number < number:
            self.minutes.append(_Minute(number))
        return self.minutes[-1].counts


class Recorder:
    """Counts requests; memory is bounded whatever callers do.

    A workspace takes one histogram, and a window for each minute of the last
    six hours in which it was active.
    """

    def __init__(
        self, *, objectives_of: ObjectivesOf = _default_objectives
    ) -> None:
        """Starts with no counts.

        Args:
            objectives_of: Tells what a workspace is promised.
        """
        self._objectives_of = objectives_of
        self._workspaces: dict[str, _Workspace] = {}

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
            workspace: Whose request it was; it must be a known workspace.
            kind: The error it was answered with, if any.
            latency: Seconds from its arrival to its answer.
            served_by_replica: Whether a replica served it.
            within_rate: Whether the workspace was inside its rate.
            now: Monotonic seconds.
        """
        state = self._state_of(workspace)
        window = state.at(now)
        outcome = ANSWERED if kind is None else kind.value
        window.outcomes[outcome] = window.outcomes.get(outcome, 0) + 1
        if kind is None:
            _histogram.record(state.latencies, latency)
            window.by_replica += served_by_replica
            window.slow += latency > self._objectives_of(workspace).latency
        elif within_rate and kind in REFUSALS_BY_RATE:
            window.refused_within_rate += 1
        self._follow_gap(state, window, kind, now - latency, now)

    def measurements(self, instance: str, now: float) -> Measurements:
        """Returns what was counted, with windows by their age."""
        return Measurements(
            instance=instance,
            workspaces={
                name: self._measure(name, state, now)
                for name, state in self._workspaces.items()
            },
        )

    def _state_of(self, workspace: str) -> _Workspace:
        state = self._workspaces.get(workspace)
        if state is None:
            if len(self._workspaces) >= MAX_WORKSPACES:
                workspace = OTHERS
            state = self._workspaces.setdefault(workspace, _Workspace())
        return state

    def _follow_gap(
        self,
        state: _Workspace,
        window: WindowCounts,
        kind: ErrorKind | None,
        began: float,
        now: float,
    ) -> None:
        """Follows a run of failures, from its first arrival to a success."""
        if kind in FAILURES:
            if state.failing_since is None:
                state.failing_since = began
        elif kind is None and state.failing_since is not None:
            window.gap = max(window.gap, now - state.failing_since)
            state.failing_since = None

    def _measure(
        self, name: str, state: _Workspace, now: float
    ) -> WorkspaceMeasurements:
        current = int(now // WINDOW_SECONDS)
        since = state.failing_since
        return WorkspaceMeasurements(
            windows=[
                _aged(minute, current - minute.number)
                for minute in reversed(state.minutes)
                if current - minute.number < WINDOWS
            ],
            latencies=_histogram.encode(state.latencies),
            objectives=self._objectives_of(name),
            gap=0.0 if since is None else now - since,
        )


def _aged(minute: _Minute, age: int) -> WindowCounts:
    counts = minute.counts
    return WindowCounts(
        age=age,
        outcomes=dict(counts.outcomes),
        refused_within_rate=counts.refused_within_rate,
        slow=counts.slow,
        by_replica=counts.by_replica,
        gap=counts.gap,
    )
