"""A stand-in for one member of a replicated database group.

It runs SQL in memory, replicates a log, takes part in promotions by term and
injects faults on request.
"""

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
