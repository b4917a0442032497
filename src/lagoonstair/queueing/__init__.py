"""Fair queueing of workspaces for the slots of databases."""

from lagoonstair.queueing._queue import (
    FairQueue,
    QueueSettings,
    Reject,
    Start,
)
from lagoonstair.queueing._scheduler import SlotScheduler

__all__ = ["FairQueue", "QueueSettings", "Reject", "SlotScheduler", "Start"]
