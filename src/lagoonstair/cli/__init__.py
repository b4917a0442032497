"""Command-line tool ``lagoonstair`` for operators and callers."""

from lagoonstair.cli._exits import Exit
from lagoonstair.cli._main import main

__all__ = ["Exit", "main"]
