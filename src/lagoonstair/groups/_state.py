"""What a watcher knows of a group at one time."""

from dataclasses import dataclass

from lagoonstair._types import Position
from lagoonstair.groups._age import FreshnessProof, fresh_as_of
from lagoonstair.groups._health import Liveness
from lagoonstair.groups._history import log_contains
from lagoonstair.ports import EndpointStatus, ListedEndpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberState:
    """What a watcher knows of one member.

    Attributes:
        listed: The member as the platform lists it.
        leaving: Whether it may get no new work.
        verdict: Whether it is alive.
        status: Its latest report; ``None`` before the first.
        heard_at: When the latest answered probe was asked, in the watcher's
            seconds.
    """

    listed: ListedEndpoint
    leaving: bool
    liveness: Liveness
    status: EndpointStatus | None
    heard_at: float

    @property
    def name(self) -> str:
        """The member's name."""
        return self.listed.name


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupState:
    """What a watcher knows of a group.

    Attributes:
        name: The group's name.
        term: The term in which calls may run; 0 when none is known.
        primary: The name of the primary that takes new writes; ``None`` while
            there is none, while it is dead and while it hands over.
        top_term: The greatest term that any member has reported.
        members: The members, in the platform's order.
        proofs: The proofs of age, oldest first.
        stepped_aside: Whether another watcher reaches a primary that this one
            does not reach; it should serve the group then.
        reaches_majority: Whether a majority of the members is alive.
    """

    name: str
    term: int
    primary: str | None
    highest_term: int
    members: tuple[MemberState, ...]
    proofs: tuple[FreshnessProof, ...]
    deferring: bool
    reaches_majority: bool

    def member(self, name: str) -> MemberState | None:
        """The member of a name, if it is listed."""
        return next((m for m in self.members if m.name == name), None)

    def fresh_as_of(self, position: Position) -> float | None:
        """When a log of this term that ends at a position was up to date."""
        return fresh_as_of(self.proofs, position)

    def has_consistent_log(self, member: MemberState) -> bool:
        """Whether a member's log is a part of the current term's log.

        A member that has only accepted the term may hold a tail that its
        primary lacks, until it has dropped what that primary's log lacks.
        """
        status = member.status
        if status is None or status.term != self.term or not status.primary:
            return False
        if status.last.term == self.term:
            return True
        leader = self.member(status.primary)
        return (
            leader is not None
            and leader.status is not None
            and log_contains(leader.status, status.last)
        )
