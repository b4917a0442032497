"""A database of a group: SQL in memory, a log, terms and faults."""

from lagoonstair.standins.database._config import (
    DatabaseConfig,
    FaultControl,
    Faults,
)
from lagoonstair.standins.database._log import Entry, LogPage, common_offset
from lagoonstair.standins.database._member import Member
from lagoonstair.standins.database._server import Database, Received

__all__ = [
    "Database",
    "DatabaseConfig",
    "Entry",
    "FaultControl",
    "Faults",
    "LogPage",
    "Member",
    "Received",
    "common_offset",
]
