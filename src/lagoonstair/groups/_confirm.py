"""Whether a committed write is in every log that can survive."""

import enum
from collections import Counter
from collections.abc import Collection

from lagoonstair._types import Position
from lagoonstair.groups._history import log_contains
from lagoonstair.ports import EndpointStatus


class Confirmation(enum.StrEnum):
    """What is known of a committed write.

    Attributes:
        CONFIRMED: It is in every log that can survive.
        REPLACED: The surviving log went on without it, for good.
        UNCONFIRMED: Neither is known yet.
    """

    CONFIRMED = "confirmed"
    REPLACED = "replaced"
    UNCONFIRMED = "unconfirmed"


def quorum_size(members: int) -> int:
    """The least number of members of which any two sets share one."""
    return members // 2 + 1


def assess_confirmation(
    position: Position, statuses: Collection[EndpointStatus], quorum: int
) -> Confirmation:
    """Judges a write by reports that were asked for after its commit.

    Only members whose last entry is of the term that they report count, as
    others may still hold the tail of a replaced primary. A majority of them
    fixes the log up to the least of their offsets.

    Args:
        position: The position of the write.
        statuses: At most one report from each member of the group.
        quorum: How many members are a majority of the group.
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
