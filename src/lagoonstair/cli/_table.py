"""Plain-text tables for a terminal."""

from collections.abc import Iterable, Sequence
from typing import Any


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Formats rows in columns that are as wide as their longest cell.

    Args:
        headers: The column headers.
        rows: The rows; each has one value per column.
    """
    cells = [
        list(headers),
        *([_format_cell(value) for value in row] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def _format_cell(value: Any) -> str:
    """Formats a value, floats with three decimal places."""
    match value:
        case None:
            return "-"
        case float():
            return f"{value:.3f}"
        case bool():
            return "yes" if value else "no"
    return str(value)
