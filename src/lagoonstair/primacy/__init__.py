"""Decides which endpoint is a group's primary and when it may be used."""

from lagoonstair.primacy._cause import (
    Cause,
    PrimaryView,
    choose_target,
    promotion_cause,
    promotion_delay,
)
from lagoonstair.primacy._primacy import (
    CLOCK_MARGIN,
    PROOF_SECONDS,
    Primacy,
)
from lagoonstair.primacy._record import Duty, GroupRecord, GroupReport

__all__ = [
    "CLOCK_MARGIN",
    "PROOF_SECONDS",
    "Cause",
    "Duty",
    "GroupRecord",
    "GroupReport",
    "Primacy",
    "PrimaryView",
    "choose_target",
    "promotion_cause",
    "promotion_delay",
]
