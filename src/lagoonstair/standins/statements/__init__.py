"""Stand-ins for the users' platform: its store, its duties, its databases."""

from lagoonstair.standins.statements._database import Commit, Database, Group
from lagoonstair.standins.statements._duties import DutiesStandin
from lagoonstair.standins.statements._store import StoreStandin

__all__ = ["Commit", "Database", "DutiesStandin", "Group", "StoreStandin"]
