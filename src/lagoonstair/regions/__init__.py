"""Regions: groups of failure domains with a long way between them."""

from lagoonstair.regions._map import RegionMap

__all__ = ["RegionMap"]
