"""Confirmation that a committed write survives any later promotion."""

import enum
from collections import Counter
from collections.abc import Collection

from lagoonstair._types import Position
from lagoonstair.groups._history import log_contains
from lagoonstair.ports import EndpointStatus


class Confirmation(enum.StrEnum):
    """The durability status of a committed write.

    Attributes:
        CONFIRMED: Every log that can survive a promotion contains the write.
        REPLACED: The write is permanently lost: the surviving log continued
            without it.
        UNCONFIRMED: Neither is established yet.
    """

    CONFIRMED = "confirmed"
    REPLACED = "replaced"
    UNCONFIRMED = "unconfirmed"


def quorum_size(members: int) -> int:
    """Returns the smallest set size at which any two sets of members overlap.

    Args:
        members: The number of members of the group.
    """
    return members // 2 + 1


def assess_confirmation(
    position: Position, statuses: Collection[EndpointStatus], quorum: int
) -> Confirmation:
    """Determines the durability of a write from status reports.

    Only members whose last entry belongs to the term that they report are
    counted, because others may still have uncommitted entries of a replaced
    primary at the end of their log. A majority of the counted members fixes
    the log up to the smallest of their offsets.

    Args:
        position: The position of the write.
        statuses: Reports that were requested after the commit, at most one
            per member.
        quorum: The number of members that form a majority of the group.

    Returns:
        The durability status that the reports establish.
    """
    settled = [s for s in statuses if s.last.term == s.term]
    own = [s for s in settled if s.term == position.term]
    if sum(s.last >= position for s in own) >= quorum:
        return Confirmation.CONFIRMED
    later = Counter(s.term for s in settled if s.term > position.term)
    term = next((t for t, count in later.items() if count >= quorum), None)
    if term is None:
        return Confirmation.UNCONFIRMED
    if all(log_contains(s, position) for s in settled if s.term == term):
        return Confirmation.CONFIRMED
    return Confirmation.REPLACED
