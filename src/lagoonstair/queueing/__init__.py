"""Fair queueing of workspaces for the slots of databases."""

from lagoonstair.queueing._queue import (
    FairQueue,
    QueueEffect,
    QueueSettings,
    Reject,
    Start,
)
from lagoonstair.queueing._scheduler import REJECTION_MESSAGES, SlotScheduler
from lagoonstair.queueing._work import ROUTINE, SlotQueue, Work

__all__ = [
    "REJECTION_MESSAGES",
    "ROUTINE",
    "FairQueue",
    "QueueEffect",
    "QueueSettings",
    "Reject",
    "SlotQueue",
    "SlotScheduler",
    "Start",
    "Work",
]
