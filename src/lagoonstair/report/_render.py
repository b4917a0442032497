"""Renders a report as text and as one HTML page."""

import html
from collections.abc import Iterable

from lagoonstair.report._burn import INDICATORS, Burn, Report, WorkspaceReport

PAGE_STYLE = (
    "body{font:15px sans-serif;margin:2em;max-width:72em}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #999;padding:.3em .6em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
    ".bad{background:#fbd5d5}"
)
"""Style sheet of the HTML page."""
LEADING_COLUMNS = ("workspace", "indicator", "target", "valid", "bad")
"""Headers of the table's columns before those of the burn rates."""
MILLISECONDS_PER_SECOND = 1000.0
"""Factor from seconds to milliseconds."""


def render_text(report: Report) -> str:
    """Renders a report as text for a terminal."""
    lines = [_format_coverage(report), *_format_silent(report), ""]
    for workspace in report.workspaces:
        mark = "  BURNING" if workspace.burning else ""
        lines.append(f"{workspace.workspace}{mark}")
        lines.append(f"  {_format_summary(workspace)}")
        lines.extend(f"  {_format_burn(burn)}" for burn in workspace.burns)
        lines.append("")
    if not report.workspaces:
        lines.append("no requests were counted in the last six hours")
    return "\n".join(lines)


def render_html(report: Report) -> str:
    """Renders a report as one HTML page without external files."""
    silent = "".join(
        f'<p class="bad">{html.escape(line)}</p>'
        for line in _format_silent(report)
    )
    meanings = "".join(
        f"<li>{indicator.name}: {indicator.meaning}</li>"
        for indicator in INDICATORS
    )
    rows = "".join(
        _render_row(workspace, burn)
        for workspace in report.workspaces
        for burn in workspace.burns
    )
    summaries = "".join(
        f"<li>{html.escape(workspace.workspace)}: "
        f"{_format_summary(workspace)}</li>"
        for workspace in report.workspaces
    )
    headers = "".join(f"<th>{name}</th>" for name in _table_headers(report))
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        "<title>lagoonstair: service-level burn</title>"
        f"<style>{PAGE_STYLE}</style><h1>Service-level burn</h1>"
        f"<p>{html.escape(_format_coverage(report))}</p>"
        f"{silent}<table><tr>{headers}</tr>{rows}</table>"
        f"<ul>{summaries}</ul><p>What uses up a budget:</p><ul>{meanings}</ul>"
        "</html>\n"
    )


def _format_coverage(report: Report) -> str:
    """Formats how many instances responded."""
    total = len(report.answered) + len(report.silent)
    return f"{len(report.answered)} of {total} instances answered"


def _format_silent(report: Report) -> list[str]:
    """Formats one line per instance that the report lacks."""
    return [
        f"not in this report: {name} ({reason})"
        for name, reason in report.silent.items()
    ]


def _format_summary(workspace: WorkspaceReport) -> str:
    """Formats the counts, latencies and gaps of a workspace."""
    latencies = " ".join(
        f"p{percentile:g}={seconds * MILLISECONDS_PER_SECOND:.1f}ms"
        for percentile, seconds in workspace.latencies
    )
    now = f", failing for {workspace.gap_now:.1f}s" * (workspace.gap_now > 0)
    return (
        f"answered={workspace.answered} "
        f"replicas={workspace.replica_share:.1%} {latencies} "
        f"longest gap={workspace.gap:.1f}s "
        f"(objective {workspace.gap_objective:g}s){now}"
    )


def _format_burn(burn: Burn) -> str:
    """Formats the burn of one indicator."""
    rates = " ".join(
        f"{span}m={rate:.2f}" for span, rate in _sorted_rates(burn)
    )
    mark = "  BURNING" if burn.burning else ""
    return (
        f"{burn.indicator:<13} target={burn.target:.2%} "
        f"bad={burn.bad}/{burn.valid} burn {rates} "
        f"budget left={burn.budget_left:.0%}{mark}"
    )


def _sorted_rates(burn: Burn) -> Iterable[tuple[int, float]]:
    """Returns pairs of a window in minutes and its burn rate, sorted."""
    return sorted(burn.rates.items())


def _table_headers(report: Report) -> list[str]:
    """Returns the headers; any burn gives those of the burn rates."""
    spans = next(
        (
            [f"burn {span}m" for span, _ in _sorted_rates(burn)]
            for workspace in report.workspaces
            for burn in workspace.burns
        ),
        [],
    )
    return [*LEADING_COLUMNS, *spans, "budget left"]


def _render_row(workspace: WorkspaceReport, burn: Burn) -> str:
    """Renders one row of the table, highlighted if a budget burns too fast."""
    cells = [
        workspace.workspace,
        burn.indicator,
        f"{burn.target:.2%}",
        str(burn.valid),
        str(burn.bad),
        *(f"{rate:.2f}" for _, rate in _sorted_rates(burn)),
        f"{burn.budget_left:.0%}",
    ]
    mark = ' class="bad"' if burn.burning else ""
    columns = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
    return f"<tr{mark}>{columns}</tr>"
