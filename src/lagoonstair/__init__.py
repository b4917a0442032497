"""A database proxy that provides session consistency.

It has two programs: ``lagoonstair.proxy`` serves callers over a line protocol
and uses the platform clients in ``lagoonstair.platform``; the daemon in
``lagoonstair.service`` serves callers over HTTP with JSON.
"""

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
