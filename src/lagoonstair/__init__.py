"""A database proxy with session consistency."""

from lagoonstair._types import Position
from lagoonstair.exceptions import (
    ANSWERS,
    Answer,
    ErrorKind,
    LagoonstairError,
    Outcome,
)

__all__ = [
    "ANSWERS",
    "Answer",
    "ErrorKind",
    "LagoonstairError",
    "Outcome",
    "Position",
]
