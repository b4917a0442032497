"""Who runs first at an endpoint, and how much runs there at once."""

from lagoonstair.admission._classes import WaitingWork
from lagoonstair.admission._limit import ConcurrencyLimit, WorkKind
from lagoonstair.admission._line import ConnectionLine, PinLoad
from lagoonstair.admission._order import MAX_STARTS_BETWEEN, ClassOrder
from lagoonstair.admission._queue import AdmissionQueue, AdmissionSettings

__all__ = [
    "MAX_STARTS_BETWEEN",
    "AdmissionQueue",
    "AdmissionSettings",
    "ClassOrder",
    "ConcurrencyLimit",
    "ConnectionLine",
    "PinLoad",
    "WaitingWork",
    "WorkKind",
]
