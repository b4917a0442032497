"""Assignment of workspaces to the instances that run them."""

from lagoonstair.homes._assignment import (
    DEFAULT_MAX_CONNECTIONS,
    MAX_SHARE_HOLDERS,
    MIN_CANDIDATES,
    MIN_SMALL_HOLDERS,
    MIN_STRONG_INSTANCES,
    HomeAssignment,
    InstanceResources,
)

__all__ = [
    "DEFAULT_MAX_CONNECTIONS",
    "MAX_SHARE_HOLDERS",
    "MIN_CANDIDATES",
    "MIN_SMALL_HOLDERS",
    "MIN_STRONG_INSTANCES",
    "HomeAssignment",
    "InstanceResources",
]
