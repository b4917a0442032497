"""Burn rates of the error budgets, over several windows.

A burn rate of 1 uses up the budget exactly; a page is due when both windows of
a pair are over the pair's threshold, so that it starts early and ends soon
after the trouble has ended.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

import msgspec

from lagoonstair.exceptions import ErrorKind
from lagoonstair.report import _histogram
from lagoonstair.report._measurements import (
    ANSWERED,
    Measurements,
    Objectives,
    WindowCounts,
    WorkspaceMeasurements,
    merge,
)
from lagoonstair.report._recorder import OUTAGE_KINDS

PERCENTILES = (50.0, 99.0, 99.9)
BUDGET_WINDOW_MINUTES = 360


class WindowPair(NamedTuple):
    """Two windows that must both burn fast.

    Attributes:
        short: The short window, in minutes.
        long: The long window, in minutes.
        threshold: The burn rate above which both call for action.
    """

    short: int
    long: int
    threshold: float


FAST_BURN_WINDOWS = WindowPair(5, 60, 14.4)
SLOW_BURN_WINDOWS = WindowPair(30, 360, 6.0)

CALLER_ERROR_KINDS = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.TOO_LARGE,
        ErrorKind.UNAUTHENTICATED,
        ErrorKind.FORBIDDEN,
        ErrorKind.NOT_FOUND,
        ErrorKind.CONFLICT,
        ErrorKind.REQUEST_ID_REUSED,
        ErrorKind.SESSION_INVALID,
        ErrorKind.STATEMENT_FAILED,
    }
)
"""Kinds that say nothing of the service."""
STALENESS_KINDS = frozenset({ErrorKind.TOO_STALE, ErrorKind.SESSION_LOST})
UNAVAILABILITY_KINDS = OUTAGE_KINDS | {
    ErrorKind.DRAINING,
    ErrorKind.TRANSACTION_GONE,
}


class Indicator(NamedTuple):
    """A measure of service.

    Attributes:
        name: The indicator's name.
        meaning: What uses up its budget.
    """

    name: str
    meaning: str


WITHIN_RATE = Indicator("within_rate", "refused while inside the rate")
STALENESS = Indicator("staleness", "refused as too stale or session lost")
AVAILABILITY = Indicator("availability", "failed, or its outcome unknown")
LATENCY = Indicator("latency", "answered later than promised")
INDICATORS = (WITHIN_RATE, STALENESS, AVAILABILITY, LATENCY)


class Burn(msgspec.Struct, frozen=True, kw_only=True):
    """How fast one indicator uses up its budget.

    Attributes:
        indicator: The indicator's name.
        target: The fraction that is promised.
        valid: Valid requests in the last six hours.
        bad: Those of them that used up budget.
        rates: Burn rate by window, in minutes.
        budget_left: The fraction of the six hours' budget that is left;
            negative when it is overdrawn.
        burning: Whether a pair of windows is over its threshold.
    """

    indicator: str
    target: float
    valid: int
    bad: int
    rates: dict[int, float]
    budget_left: float
    burning: bool


class WorkspaceReport(msgspec.Struct, frozen=True, kw_only=True):
    """The report on one workspace.

    Attributes:
        workspace: Its name.
        burns: One entry for each indicator.
        answered: Requests answered in the last six hours.
        replica_share: The fraction of the answered that replicas served.
        latencies: Percentile and seconds, since the instances' starts.
        gap: The longest gap in service of the last six hours, in seconds.
        gap_objective: The gap that is promised, in seconds.
        gap_now: How long the present gap lasts, in seconds.
    """

    workspace: str
    burns: list[Burn]
    answered: int
    replica_share: float
    latencies: list[tuple[float, float]]
    gap: float
    gap_objective: float
    gap_now: float

    @property
    def burning(self) -> bool:
        """Whether the workspace needs an operator."""
        gap = max(self.gap, self.gap_now)
        return gap > self.gap_objective or any(
            burn.burning for burn in self.burns
        )


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The report over all instances.

    Attributes:
        answered: The instances whose counts are in the report.
        silent: The instances that did not answer, with the reason; the
            report lacks their counts.
        workspaces: The report on each workspace.
    """

    answered: list[str]
    silent: dict[str, str]
    workspaces: list[WorkspaceReport]


def make_report(
    parts: Sequence[Measurements], *, silent: dict[str, str]
) -> Report:
    """Makes the report of what instances have counted."""
    return Report(
        answered=sorted(part.instance for part in parts),
        silent=dict(sorted(silent.items())),
        workspaces=[
            _build_workspace_report(name, measured)
            for name, measured in merge(parts).workspaces.items()
        ],
    )


def _build_workspace_report(
    name: str, measured: WorkspaceMeasurements
) -> WorkspaceReport:
    windows = measured.windows
    answered = sum(window.outcomes.get(ANSWERED, 0) for window in windows)
    by_replica = sum(window.by_replica for window in windows)
    quantiles = _histogram.quantiles(measured.latencies, PERCENTILES)
    return WorkspaceReport(
        workspace=name,
        burns=[
            _compute_burn(indicator, windows, measured.objectives)
            for indicator in INDICATORS
        ],
        answered=answered,
        replica_share=by_replica / answered if answered else 0.0,
        latencies=list(zip(PERCENTILES, quantiles, strict=True)),
        gap=max((window.gap for window in windows), default=0.0),
        gap_objective=measured.objectives.failover_gap,
        gap_now=measured.gap,
    )


def _compute_burn(
    indicator: Indicator,
    windows: Sequence[WindowCounts],
    objectives: Objectives,
) -> Burn:
    target = _objective_target(indicator, objectives)
    counts = [
        (window.age, *_count_requests(indicator, window)) for window in windows
    ]
    spans = sorted({*FAST_BURN_WINDOWS[:2], *SLOW_BURN_WINDOWS[:2]})
    rates = {span: _burn_rate(counts, span, target) for span in spans}
    return Burn(
        indicator=indicator.name,
        target=target,
        valid=sum(valid for _, valid, _ in counts),
        bad=sum(bad for _, _, bad in counts),
        rates=rates,
        budget_left=1.0 - rates[BUDGET_WINDOW_MINUTES],
        burning=any(
            min(rates[pair.short], rates[pair.long]) > pair.threshold
            for pair in (FAST_BURN_WINDOWS, SLOW_BURN_WINDOWS)
        ),
    )


def _burn_rate(
    counts: Iterable[tuple[int, int, int]], minutes: int, target: float
) -> float:
    inside = [(valid, bad) for age, valid, bad in counts if age < minutes]
    valid = sum(valid for valid, _ in inside)
    bad = sum(bad for _, bad in inside)
    return bad / valid / (1.0 - target) if valid else 0.0


def _objective_target(indicator: Indicator, objectives: Objectives) -> float:
    if indicator is LATENCY:
        return objectives.within_latency
    return objectives.served


def _count_requests(
    indicator: Indicator, window: WindowCounts
) -> tuple[int, int]:
    """Counts the valid and the bad requests of a window."""
    answered = window.outcomes.get(ANSWERED, 0)
    if indicator is LATENCY:
        return answered, window.slow
    faults = CALLER_ERROR_KINDS | {ErrorKind.RATE_LIMITED, ErrorKind.OVERLOADED}
    valid = window.refused_within_rate + sum(
        count
        for outcome, count in window.outcomes.items()
        if outcome not in faults
    )
    match indicator:
        case Indicator(name=WITHIN_RATE.name):
            return valid, window.refused_within_rate
        case Indicator(name=STALENESS.name):
            return valid, _sum_outcomes(window, STALENESS_KINDS)
    return valid, _sum_outcomes(window, UNAVAILABILITY_KINDS)


def _sum_outcomes(window: WindowCounts, kinds: Iterable[ErrorKind]) -> int:
    return sum(window.outcomes.get(kind.value, 0) for kind in kinds)
