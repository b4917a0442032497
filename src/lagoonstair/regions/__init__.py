"""Regions: groups of failure domains with a long way between them."""

from lagoonstair.regions._distances import (
    DEFAULT_ROUND_TRIP_SECONDS,
    RegionDistances,
)
from lagoonstair.regions._map import RegionMap

__all__ = ["DEFAULT_ROUND_TRIP_SECONDS", "RegionDistances", "RegionMap"]
