"""Regions: groups of failure domains with a long way between them."""

from lagoonstair.regions._distances import (
    DEFAULT_ROUND_TRIP_SECONDS,
    RegionDistances,
)
from lagoonstair.regions._homes import (
    allowed_regions,
    has_home_regions,
    unknown_regions,
)
from lagoonstair.regions._map import RegionMap

__all__ = [
    "DEFAULT_ROUND_TRIP_SECONDS",
    "RegionDistances",
    "RegionMap",
    "allowed_regions",
    "has_home_regions",
    "unknown_regions",
]
