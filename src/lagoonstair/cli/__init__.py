"""The command-line tool ``lagoonstair``."""

from lagoonstair.cli._exits import Exit
from lagoonstair.cli._main import main

__all__ = ["Exit", "main"]
