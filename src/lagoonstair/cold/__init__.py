"""Endpoints that have just started, and how much they may be sent."""

from lagoonstair.cold._holders import HolderHistory
from lagoonstair.cold._rate import ColdRate, cold_rate, share_key
from lagoonstair.cold._starts import (
    ColdReport,
    ColdStart,
    ColdStarts,
    has_valid_time,
)

__all__ = [
    "ColdRate",
    "ColdReport",
    "ColdStart",
    "ColdStarts",
    "HolderHistory",
    "cold_rate",
    "has_valid_time",
    "share_key",
]
