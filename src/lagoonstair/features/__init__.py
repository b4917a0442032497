"""Which optional features the settings of a deployment call for."""

from lagoonstair.features._features import ColdLimits, Features

__all__ = ["ColdLimits", "Features"]
