"""Writes report sections as JSON, as plots and as an HTML page."""

import html
from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl
import msgspec
from matplotlib import pyplot

from lagoonstair.measure._section import Section

BAR_INCHES = 0.35
"""Height in inches that a plot has for each of its bars."""

WIDTH_INCHES = 9.0
"""Width of a plot in inches."""

BAR_HEIGHT = 0.4
"""Height of a bar, as a share of the distance between two pairs of bars."""


def write_report(sections: Sequence[Section], folder: Path) -> None:
    """Writes ``measures.json``, ``index.html`` and a plot for each section.

    Args:
        sections: The sections of the report.
        folder: The directory to write into; it is created if it is missing.

    Raises:
        OSError: A file can't be written.
    """
    mpl.use("Agg")
    folder.mkdir(parents=True, exist_ok=True)
    content = msgspec.json.format(msgspec.json.encode(sections))
    (folder / "measures.json").write_bytes(content)
    for section in sections:
        _plot(section, folder / _file_name(section))
    body = "".join(_render_section(section) for section in sections)
    page = (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        "<title>lagoonstair: measures</title>"
        f"<h1>Measures, each beside its baseline</h1>{body}</html>\n"
    )
    (folder / "index.html").write_text(page, encoding="utf-8")


def _plot(section: Section, path: Path) -> None:
    positions = list(range(len(section.bars)))
    height = 1 + 2 * BAR_INCHES * len(positions)
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, height))
    axes.barh(
        [position - BAR_HEIGHT / 2 for position in positions],
        [bar.value for bar in section.bars],
        BAR_HEIGHT,
        label="lagoonstair",
    )
    axes.barh(
        [position + BAR_HEIGHT / 2 for position in positions],
        [bar.baseline for bar in section.bars],
        BAR_HEIGHT,
        label=f"baseline: {section.baseline}",
    )
    axes.set_yticks(positions, [bar.label for bar in section.bars])
    axes.invert_yaxis()
    axes.set_xlabel(section.unit)
    axes.set_title(section.name)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _render_section(section: Section) -> str:
    rows = "".join(
        f"<tr><td>{html.escape(bar.label)}</td><td>{bar.value:.4g}</td>"
        f"<td>{bar.baseline:.4g}</td></tr>"
        for bar in section.bars
    )
    return (
        f"<h2>{html.escape(section.name)}</h2>"
        f"<p>{html.escape(section.unit)}; {html.escape(section.method)}. "
        f"Baseline: {html.escape(section.baseline)}.</p>"
        f'<img src="{_file_name(section)}" alt="{html.escape(section.name)}">'
        "<table><tr><th>run</th><th>lagoonstair</th><th>baseline</th></tr>"
        f"{rows}</table>"
    )


def _file_name(section: Section) -> str:
    return section.name.replace(" ", "-") + ".png"
