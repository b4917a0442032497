"""What a watcher's decisions tell its shell to do."""

import enum
from dataclasses import dataclass


class PromotionCause(enum.StrEnum):
    """Why a promotion starts."""

    DEAD = "dead"
    ORPHANED = "orphaned"
    DIVIDED = "divided"
    ISOLATED = "isolated"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class StartPromotion:
    """Start a promotion.

    Attributes:
        cause: Why.
        term: The new term.
        expected: Members that are alive, whose answer is worth a short wait.
        avoid: Members that are leaving.
        excluded: Members whose log is not counted.
        preferred: The current primary, chosen among equals.
        silence: Seconds for which this watcher has been without a primary.
    """

    cause: PromotionCause
    term: int
    expected: frozenset[str]
    avoid: frozenset[str]
    excluded: frozenset[str]
    preferred: str
    silence: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """Ask a member to grant a term to a candidate."""

    member: str
    term: int
    candidate: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Promote:
    """Make a member the primary of a term."""

    member: str
    term: int
    candidate: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Follow:
    """Tell a member which endpoint is the primary of a term."""

    member: str
    term: int
    primary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PromotionFailed:
    """End a promotion without a primary.

    Attributes:
        reason: Why, for the log.
    """

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PromotionSucceeded:
    """End a promotion; the member is the primary of the term."""

    member: str
    term: int


Effect = Fence | Promote | Follow | PromotionFailed | PromotionSucceeded
