"""A database proxy that provides session consistency."""

from lagoonstair._types import Position
from lagoonstair.exceptions import (
    ERROR_RESPONSES,
    ErrorKind,
    ErrorResponse,
    LagoonstairError,
    Outcome,
)

__all__ = [
    "ERROR_RESPONSES",
    "ErrorKind",
    "ErrorResponse",
    "LagoonstairError",
    "Outcome",
    "Position",
]
