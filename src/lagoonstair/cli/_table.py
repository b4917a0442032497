"""Plain tables for a terminal."""

from collections.abc import Iterable, Sequence
from typing import Any


def format_table(heads: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Lays rows out in columns as wide as their longest cell."""
    cells = [
        list(heads),
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
    match value:
        case None:
            return "-"
        case float():
            return f"{value:.3f}"
        case bool():
            return "yes" if value else "no"
    return str(value)
