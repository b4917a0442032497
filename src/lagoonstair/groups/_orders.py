"""Actions that the decision logic requests from the I/O layer."""

import enum
from dataclasses import dataclass


class PromotionCause(enum.StrEnum):
    """The reason why a promotion starts.

    Attributes:
        DEAD: The primary no longer answers probes.
        ORPHANED: No primary is known, or a majority is in a later term.
        DIVIDED: A member that is alive is in a later term than the primary.
        ISOLATED: The primary answers its watchers, but too few replicas hear
            it for a write to be confirmed.
        LEAVING: The platform is removing the primary.
    """

    DEAD = "dead"
    ORPHANED = "orphaned"
    DIVIDED = "divided"
    ISOLATED = "isolated"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class StartPromotion:
    """Starts a promotion.

    Attributes:
        cause: The reason for the promotion.
        term: The new term.
        expected: The members that are alive; the promotion waits briefly for
            their answers.
        avoid: The members that are leaving.
        excluded: The members whose log is not counted.
        preferred: The current primary, chosen if the logs are equal; empty if
            there is none.
        silence: The number of seconds for which this watcher has had no
            contact to a primary.
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
    """Asks a member to grant a term to a candidate."""

    member: str
    term: int
    candidate: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Promote:
    """Makes a member the primary of a term."""

    member: str
    term: int
    candidate: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Follow:
    """Tells a member which endpoint is the primary of a term."""

    member: str
    term: int
    primary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PromotionFailed:
    """Ends a promotion without a new primary.

    Attributes:
        reason: The reason, as text for the log.
    """

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PromotionSucceeded:
    """Ends a promotion; the member is now the primary of the term."""

    member: str
    term: int


Effect = Fence | Promote | Follow | PromotionFailed | PromotionSucceeded
