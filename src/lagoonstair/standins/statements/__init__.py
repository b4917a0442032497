"""Stand-ins for what the statement proxy depends on.

These are the users' metadata store, their calls for promotions and their
databases.
"""

from lagoonstair.standins.statements._database import (
    Commit,
    Database,
    Group,
    Stutter,
)
from lagoonstair.standins.statements._duties import DutiesStandin
from lagoonstair.standins.statements._store import StoreStandin

__all__ = [
    "Commit",
    "Database",
    "DutiesStandin",
    "Group",
    "StoreStandin",
    "Stutter",
]
