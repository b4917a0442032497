"""Measurements of instances and the report of error budget burn rates."""

from lagoonstair.report._burn import (
    INDICATORS,
    Burn,
    Indicator,
    Report,
    WorkspaceReport,
    make_report,
)
from lagoonstair.report._measurements import (
    Measurements,
    Objectives,
    WindowCounts,
    WorkspaceMeasurements,
    merge,
)
from lagoonstair.report._metrics import Metrics
from lagoonstair.report._recorder import Recorder
from lagoonstair.report._render import render_html, render_text

__all__ = [
    "INDICATORS",
    "Burn",
    "Indicator",
    "Measurements",
    "Metrics",
    "Objectives",
    "Recorder",
    "Report",
    "WindowCounts",
    "WorkspaceMeasurements",
    "WorkspaceReport",
    "make_report",
    "merge",
    "render_html",
    "render_text",
]
