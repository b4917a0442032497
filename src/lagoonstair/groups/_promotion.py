"""One promotion: fence a majority, promote the most advanced, spread it."""

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lagoonstair.groups._confirm import quorum_size
from lagoonstair.groups._orders import (
    Effect,
    Fence,
    Follow,
    Promote,
    PromotionFailed,
    PromotionSucceeded,
)
from lagoonstair.ports import EndpointStatus, FenceAnswer, Role


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceAnswered:
    """A member answered a fence; ``None`` stands for no answer."""

    member: str
    answer: FenceAnswer | None


@dataclass(frozen=True, slots=True, kw_only=True)
class GraceElapsed:
    """The members that are alive had their time to answer the fence."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteAnswered:
    """The chosen member answered; ``None`` stands for no answer."""

    status: EndpointStatus | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteRefused:
    """The chosen member refused to become the primary."""


Event = FenceAnswered | GraceElapsed | PromoteAnswered | PromoteRefused


class _Phase(enum.Enum):
    FENCING = enum.auto()
    PROMOTING = enum.auto()
    ENDED = enum.auto()


class Promotion:
    """The decisions of one attempt to promote in one term.

    The candidate names this attempt alone, so that no other attempt, of this
    instance or of another, can be granted the same term.
    """

    def __init__(
        self,
        *,
        term: int,
        candidate: str,
        members: Sequence[str],
        expected: Iterable[str],
        avoid: Iterable[str] = (),
        excluded: Iterable[str] = (),
        preferred: str = "",
        attempts: int = 1,
    ) -> None:
        """Prepares an attempt.

        Args:
            term: The new term.
            candidate: A name that no other attempt bears.
            members: All members of the group.
            expected: Members whose answer is worth a short wait.
            avoid: Members chosen only if they alone are most advanced.
            excluded: Members that are fenced and neither counted nor chosen;
                the others must be a majority without them.
            preferred: The member chosen among equals.
            attempts: How often promote is sent.
        """
        self.term = term
        self.candidate = candidate
        self._members = tuple(members)
        self._expected = frozenset(expected)
        self._avoid = frozenset(avoid)
        self._excluded = frozenset(excluded)
        self._preferred = preferred
        self._attempts = attempts
        self._phase = _Phase.FENCING
        self._grace_over = False
        self._answered: set[str] = set()
        self._granted: dict[str, EndpointStatus] = {}
        self._chosen = ""

    @property
    def ended(self) -> bool:
        """Whether the attempt is over."""
        return self._phase is _Phase.ENDED

    def start(self) -> list[Effect]:
        """Asks every member for the term."""
        return [
            Fence(member=m, term=self.term, candidate=self.candidate)
            for m in self._members
        ]

    def handle(self, event: Event) -> list[Effect]:
        """Consumes an event and returns what to do."""
        match event:
            case FenceAnswered() if self._phase is _Phase.FENCING:
                return self._fenced(event)
            case GraceElapsed() if self._phase is _Phase.FENCING:
                self._grace_over = True
                return self._choose()
            case PromoteAnswered() if self._phase is _Phase.PROMOTING:
                return self._promoted(event)
            case PromoteRefused() if self._phase is _Phase.PROMOTING:
                return self._give_up("the chosen member refused")
        return []

    def _fenced(self, event: FenceAnswered) -> list[Effect]:
        self._answered.add(event.member)
        answer = event.answer
        if answer is not None and answer.status.term > self.term:
            return self._give_up(f"term {answer.status.term} was fenced")
        counted = event.member not in self._excluded
        if answer is not None and answer.granted and counted:
            self._granted[event.member] = answer.status
        return self._choose()

    def _choose(self) -> list[Effect]:
        quorum = quorum_size(len(self._members))
        if len(self._granted) < quorum:
            left = len(self._members) - len(self._answered)
            if len(self._granted) + left < quorum:
                return self._give_up("no majority granted the term")
            return []
        if not self._grace_over and self._expected - self._answered:
            return []
        self._chosen = max(self._granted, key=self._rank)
        self._phase = _Phase.PROMOTING
        return [self._promote()]

    def _rank(self, member: str) -> tuple[object, ...]:
        return (
            self._granted[member].last,
            member not in self._avoid,
            member == self._preferred,
            member,
        )

    def _promote(self) -> Promote:
        self._attempts -= 1
        return Promote(
            member=self._chosen, term=self.term, candidate=self.candidate
        )

    def _promoted(self, event: PromoteAnswered) -> list[Effect]:
        status = event.status
        if status is None:
            if self._attempts > 0:
                return [self._promote()]
            return self._give_up("the chosen member did not answer")
        if status.term != self.term or status.role is not Role.PRIMARY:
            return self._give_up(f"term {status.term} was fenced")
        self._phase = _Phase.ENDED
        followers = [
            Follow(member=m, term=self.term, primary=self._chosen)
            for m in self._members
            if m != self._chosen
        ]
        return [
            *followers,
            PromotionSucceeded(member=self._chosen, term=self.term),
        ]

    def _give_up(self, reason: str) -> list[Effect]:
        self._phase = _Phase.ENDED
        return [PromotionFailed(reason=reason)]
