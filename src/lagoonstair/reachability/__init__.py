"""Decides whether an instance is cut off from what its callers need."""

from lagoonstair.reachability._contact import CONTACT_SECONDS, Contact
from lagoonstair.reachability._primary import (
    OUT_OF_REACH_MESSAGE,
    RefusingHomes,
    is_out_of_reach,
)

__all__ = [
    "CONTACT_SECONDS",
    "OUT_OF_REACH_MESSAGE",
    "Contact",
    "RefusingHomes",
    "is_out_of_reach",
]
