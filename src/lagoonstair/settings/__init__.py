"""The settings of one instance, read and validated from a JSON file."""

from lagoonstair.settings._load import load_settings, parse_settings
from lagoonstair.settings._settings import (
    CallerLimits,
    Listener,
    LogSettings,
    Settings,
    StatsdSettings,
    Timing,
)

__all__ = [
    "CallerLimits",
    "Listener",
    "LogSettings",
    "Settings",
    "StatsdSettings",
    "Timing",
    "load_settings",
    "parse_settings",
]
