"""Burn rates of the error budgets over several windows.

A burn rate of 1 uses up the budget exactly. An alert fires when both windows
of a pair exceed the pair's threshold, so that it starts early and ends soon
after the failures do.
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
"""Percentiles of the latency that a report holds, in percent."""
BUDGET_WINDOW_MINUTES = 360
"""Length, in minutes, of the window that ``budget_left`` is computed over."""


class WindowPair(NamedTuple):
    """Two windows that must both exceed a burn rate.

    Attributes:
        short: The short window, in minutes.
        long: The long window, in minutes.
        threshold: The burn rate that both must exceed to raise an alert.
    """

    short: int
    long: int
    threshold: float


FAST_BURN_WINDOWS = WindowPair(5, 60, 14.4)
"""Windows, in minutes, and burn rate that detect a fast burn."""
SLOW_BURN_WINDOWS = WindowPair(30, 360, 6.0)
"""Windows, in minutes, and burn rate that detect a slow burn."""

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
"""Errors caused by the request itself, which say nothing of the service."""
STALENESS_KINDS = frozenset({ErrorKind.TOO_STALE, ErrorKind.SESSION_LOST})
"""Errors that use up the staleness budget."""
UNAVAILABILITY_KINDS = OUTAGE_KINDS | {
    ErrorKind.DRAINING,
    ErrorKind.TRANSACTION_GONE,
}
"""Errors that use up the availability budget."""


class Indicator(NamedTuple):
    """A service level indicator, which has an error budget.

    Attributes:
        name: The indicator's name.
        meaning: The kind of request that uses up its budget.
    """

    name: str
    meaning: str


WITHIN_RATE = Indicator("within_rate", "refused although within the rate")
STALENESS = Indicator("staleness", "refused as too stale or session lost")
AVAILABILITY = Indicator("availability", "failed, or outcome unknown")
LATENCY = Indicator("latency", "answered later than the objective")
INDICATORS = (WITHIN_RATE, STALENESS, AVAILABILITY, LATENCY)
"""All indicators, in the order of a report."""


class Burn(msgspec.Struct, frozen=True, kw_only=True):
    """How fast one indicator uses up its budget.

    Attributes:
        indicator: The indicator's name.
        target: The objective, as a fraction of the valid requests.
        valid: The number of valid requests in the last six hours.
        bad: The number of these that used up budget.
        rates: The burn rate by length of the window, in minutes.
        budget_left: The fraction of the six hours' budget that is left;
            negative when more than the budget is used.
        burning: Whether both windows of a pair exceed its threshold.
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
        workspace: The workspace's name.
        burns: The burn of each indicator.
        answered: The number of requests answered in the last six hours.
        replica_share: The fraction of the answered requests that replicas
            served.
        latencies: Pairs of a percentile and its latency in seconds, since the
            instances' starts.
        gap: The longest gap in service of the last six hours, in seconds.
        gap_objective: The longest gap that the objective allows, in seconds.
        gap_now: Duration of the current gap so far, in seconds; 0 for none.
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
        """Whether a budget burns too fast or a gap exceeds its objective."""
        gap = max(self.gap, self.gap_now)
        return gap > self.gap_objective or any(
            burn.burning for burn in self.burns
        )


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The report over all instances.

    Attributes:
        answered: The instances whose counts are in the report.
        silent: The instances that did not respond, with the reason; the
            report lacks their counts.
        workspaces: The report on each workspace.
    """

    answered: list[str]
    silent: dict[str, str]
    workspaces: list[WorkspaceReport]


def make_report(
    parts: Sequence[Measurements], *, silent: dict[str, str]
) -> Report:
    """Builds the report from the measurements of several instances.

    Args:
        parts: The measurements, one per instance.
        silent: The reason by instance whose measurements are missing.
    """
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
    """Builds the report on one workspace."""
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
    """Computes the burn of one indicator from the windows of six hours."""
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
    """Computes the burn rate of the last minutes.

    Args:
        counts: The age in minutes, the valid and the bad requests by window.
        minutes: The length of the period.
        target: The objective, as a fraction of the valid requests.

    Returns:
        The fraction of bad requests over the fraction that the target allows;
        0 without valid requests.
    """
    inside = [(valid, bad) for age, valid, bad in counts if age < minutes]
    valid = sum(valid for valid, _ in inside)
    bad = sum(bad for _, bad in inside)
    return bad / valid / (1.0 - target) if valid else 0.0


def _objective_target(indicator: Indicator, objectives: Objectives) -> float:
    """Returns the objective of an indicator, as a fraction."""
    if indicator is LATENCY:
        return objectives.within_latency
    return objectives.served


def _count_requests(
    indicator: Indicator, window: WindowCounts
) -> tuple[int, int]:
    """Counts the valid and the bad requests of a window.

    Answered requests are the valid ones for latency. For other indicators,
    errors that the caller caused and refusals above the rate are not valid.
    """
    answered = window.outcomes.get(ANSWERED, 0)
    if indicator is LATENCY:
        return answered, window.slow
    excluded_outcomes = CALLER_ERROR_KINDS | {
        ErrorKind.RATE_LIMITED,
        ErrorKind.OVERLOADED,
    }
    valid = window.refused_within_rate + sum(
        count
        for outcome, count in window.outcomes.items()
        if outcome not in excluded_outcomes
    )
    match indicator:
        case Indicator(name=WITHIN_RATE.name):
            return valid, window.refused_within_rate
        case Indicator(name=STALENESS.name):
            return valid, _sum_outcomes(window, STALENESS_KINDS)
    return valid, _sum_outcomes(window, UNAVAILABILITY_KINDS)


def _sum_outcomes(window: WindowCounts, kinds: Iterable[ErrorKind]) -> int:
    """Returns how many requests of a window had one of these errors."""
    return sum(window.outcomes.get(kind.value, 0) for kind in kinds)
