"""Selects where a statement runs, by routes, endpoints and log positions."""

from lagoonstair.routing._choose import Candidate, EndpointLoad, order_for_read
from lagoonstair.routing._model import (
    Consistency,
    Endpoint,
    GroupConfig,
    Route,
    RoutingConfig,
    Workspace,
)
from lagoonstair.routing._positions import Observation, PositionHistory
from lagoonstair.routing._writes import SessionWrites

__all__ = [
    "Candidate",
    "Consistency",
    "Endpoint",
    "EndpointLoad",
    "GroupConfig",
    "Observation",
    "PositionHistory",
    "Route",
    "RoutingConfig",
    "SessionWrites",
    "Workspace",
    "order_for_read",
]
