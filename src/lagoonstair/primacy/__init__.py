"""Decides which endpoint is a group's primary and when it may be used."""

from lagoonstair.primacy._audit import RecordAudit, contradicts_record
from lagoonstair.primacy._cause import (
    Cause,
    PrimaryView,
    promotion_cause,
    promotion_delay,
)
from lagoonstair.primacy._leaving import LeavingSince
from lagoonstair.primacy._pending import (
    PromotionOutcome,
    choose_target,
    confirmed_primary,
    promoted_endpoint,
    record_call,
    unrecorded_primary,
    unresolved_promotions,
    withdraw_call,
)
from lagoonstair.primacy._primacy import (
    CLOCK_MARGIN,
    PROOF_SECONDS,
    Primacy,
)
from lagoonstair.primacy._record import (
    Duty,
    GroupRecord,
    GroupReport,
    PendingPromotion,
)
from lagoonstair.primacy._seats import AdditionWait, Seat, seats_to_give_up
from lagoonstair.primacy._survey import LogSurvey

__all__ = [
    "CLOCK_MARGIN",
    "PROOF_SECONDS",
    "AdditionWait",
    "Cause",
    "Duty",
    "GroupRecord",
    "GroupReport",
    "LeavingSince",
    "LogSurvey",
    "PendingPromotion",
    "Primacy",
    "PrimaryView",
    "PromotionOutcome",
    "RecordAudit",
    "Seat",
    "choose_target",
    "confirmed_primary",
    "contradicts_record",
    "promoted_endpoint",
    "promotion_cause",
    "promotion_delay",
    "record_call",
    "seats_to_give_up",
    "unrecorded_primary",
    "unresolved_promotions",
    "withdraw_call",
]
