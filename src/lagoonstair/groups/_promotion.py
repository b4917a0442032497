"""Decision logic of a promotion, without I/O.

A promotion fences a majority of the members, makes the most advanced of them
the primary and tells the others to follow it.
"""

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
    """A fence call ended; ``answer`` is ``None`` if it was not answered."""

    member: str
    answer: FenceAnswer | None


@dataclass(frozen=True, slots=True, kw_only=True)
class GraceElapsed:
    """The time for which a promotion waits for all live members is over."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteAnswered:
    """A promote call ended; ``status`` is ``None`` if it was not answered."""

    status: EndpointStatus | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteRefused:
    """The selected member refused to become the primary."""


Event = FenceAnswered | GraceElapsed | PromoteAnswered | PromoteRefused


class _Phase(enum.Enum):
    FENCING = enum.auto()
    PROMOTING = enum.auto()
    ENDED = enum.auto()


class Promotion:
    """The state machine of one attempt to promote a member in one term.

    The candidate name is unique to the attempt, so that no other attempt, of
    this instance or of another, can be granted the same term.
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
        """Creates an attempt; ``start`` begins it.

        Args:
            term: The new term.
            candidate: The name of the attempt, unique among all attempts.
            members: The names of all members of the group.
            expected: The members that are alive; the attempt waits briefly
                for their answers.
            avoid: The members that are selected only if no other member is as
                advanced.
            excluded: The members that are fenced but neither counted nor
                selected; the others must form a majority without them.
            preferred: The member that is selected if the logs are equal.
            attempts: The maximum number of promote calls.
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
        self._grace_elapsed = False
        self._answered: set[str] = set()
        self._granted: dict[str, EndpointStatus] = {}
        self._selected = ""

    @property
    def ended(self) -> bool:
        """Whether the attempt has succeeded or failed."""
        return self._phase is _Phase.ENDED

    def start(self) -> list[Effect]:
        """Returns the fence calls for all members."""
        return [
            Fence(member=m, term=self.term, candidate=self.candidate)
            for m in self._members
        ]

    def handle(self, event: Event) -> list[Effect]:
        """Processes an event and returns the resulting actions.

        Events that do not belong to the current phase are ignored.
        """
        match event:
            case FenceAnswered() if self._phase is _Phase.FENCING:
                return self._fenced(event)
            case GraceElapsed() if self._phase is _Phase.FENCING:
                self._grace_elapsed = True
                return self._select_member()
            case PromoteAnswered() if self._phase is _Phase.PROMOTING:
                return self._promoted(event)
            case PromoteRefused() if self._phase is _Phase.PROMOTING:
                return self._give_up("selected member refused promotion")
        return []

    def _fenced(self, event: FenceAnswered) -> list[Effect]:
        self._answered.add(event.member)
        answer = event.answer
        if answer is not None and answer.status.term > self.term:
            return self._give_up(
                f"a member has already accepted term {answer.status.term}"
            )
        counted = event.member not in self._excluded
        if answer is not None and answer.granted and counted:
            self._granted[event.member] = answer.status
        return self._select_member()

    def _select_member(self) -> list[Effect]:
        quorum = quorum_size(len(self._members))
        if len(self._granted) < quorum:
            unanswered = len(self._members) - len(self._answered)
            if len(self._granted) + unanswered < quorum:
                return self._give_up("no majority granted the term")
            return []
        if not self._grace_elapsed and self._expected - self._answered:
            return []
        self._selected = max(self._granted, key=self._rank)
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
            member=self._selected, term=self.term, candidate=self.candidate
        )

    def _promoted(self, event: PromoteAnswered) -> list[Effect]:
        status = event.status
        if status is None:
            if self._attempts > 0:
                return [self._promote()]
            return self._give_up("selected member did not answer")
        if status.term != self.term or status.role is not Role.PRIMARY:
            return self._give_up(
                "selected member did not become primary;"
                f" its term is {status.term}"
            )
        self._phase = _Phase.ENDED
        followers = [
            Follow(member=m, term=self.term, primary=self._selected)
            for m in self._members
            if m != self._selected
        ]
        return [
            *followers,
            PromotionSucceeded(member=self._selected, term=self.term),
        ]

    def _give_up(self, reason: str) -> list[Effect]:
        self._phase = _Phase.ENDED
        return [PromotionFailed(reason=reason)]
