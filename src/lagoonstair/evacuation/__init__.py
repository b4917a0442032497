"""Decides which failure domains' endpoints may be used, without I/O."""

from lagoonstair.evacuation._decide import (
    HandoverState,
    handover_wait,
    is_excluded,
    must_refuse,
    skipped_for_read,
)
from lagoonstair.evacuation._state import (
    RESTORE_SECONDS,
    RETURN_SECONDS,
    Change,
    Evacuations,
    EvacuationSet,
    Returned,
)

__all__ = [
    "RESTORE_SECONDS",
    "RETURN_SECONDS",
    "Change",
    "EvacuationSet",
    "Evacuations",
    "HandoverState",
    "Returned",
    "handover_wait",
    "is_excluded",
    "must_refuse",
    "skipped_for_read",
]
