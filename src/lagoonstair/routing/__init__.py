"""Where a statement runs: configuration, endpoints, proved positions."""

from lagoonstair.routing._choose import Candidate, Load, order_for_read
from lagoonstair.routing._model import (
    Consistency,
    Endpoint,
    EntryConfig,
    GroupConfig,
    Route,
    Workspace,
)
from lagoonstair.routing._positions import PositionHistory

__all__ = [
    "Candidate",
    "Consistency",
    "Endpoint",
    "EntryConfig",
    "GroupConfig",
    "Load",
    "PositionHistory",
    "Route",
    "Workspace",
    "order_for_read",
]
