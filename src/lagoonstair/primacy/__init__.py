"""Which endpoint is a group's primary, and when that may be relied on."""

from lagoonstair.primacy._cause import (
    Cause,
    PrimaryView,
    cause_of,
    choose_target,
    turn_of,
)
from lagoonstair.primacy._primacy import (
    CLOCK_MARGIN,
    PROOF_SECONDS,
    Primacy,
)
from lagoonstair.primacy._record import Duty, GroupRecord, Statement

__all__ = [
    "CLOCK_MARGIN",
    "PROOF_SECONDS",
    "Cause",
    "Duty",
    "GroupRecord",
    "Primacy",
    "PrimaryView",
    "Statement",
    "cause_of",
    "choose_target",
    "turn_of",
]
