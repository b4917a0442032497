"""A stand-in for the platform, with fault injection, and its client."""

from lagoonstair.standins.platform._client import HttpPlatform
from lagoonstair.standins.platform._config import PlatformConfig
from lagoonstair.standins.platform._faults import Faults, FaultSet
from lagoonstair.standins.platform._listing import ListingChange
from lagoonstair.standins.platform._server import Counters, PlatformStandin

__all__ = [
    "Counters",
    "FaultSet",
    "Faults",
    "HttpPlatform",
    "ListingChange",
    "PlatformConfig",
    "PlatformStandin",
]
