"""Snapshot of a watcher's knowledge of a group."""

from dataclasses import dataclass

from lagoonstair._types import Position
from lagoonstair.groups._age import FreshnessProof, fresh_as_of
from lagoonstair.groups._health import Liveness
from lagoonstair.groups._history import log_contains
from lagoonstair.ports import EndpointStatus, ListedEndpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberState:
    """A watcher's knowledge of one member.

    Attributes:
        listed: The member's entry in the platform's listing.
        leaving: Whether the member must not receive new work.
        liveness: The result of failure detection.
        status: The member's latest report; ``None`` before the first.
        heard_at: The time at which the latest answered probe was sent, in
            seconds of the watcher's clock.
    """

    listed: ListedEndpoint
    leaving: bool
    liveness: Liveness
    status: EndpointStatus | None
    heard_at: float

    @property
    def name(self) -> str:
        """The name of the member."""
        return self.listed.name


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupState:
    """A watcher's knowledge of a group.

    Attributes:
        name: The name of the group.
        term: The term in which calls may run; 0 if none is known.
        primary: The name of the primary that accepts new writes; ``None`` if
            there is none, if it is dead, superseded or handing over, or if
            this watcher is deferring.
        highest_term: The highest term that any member has reported.
        members: The members, in the order of the platform's listing.
        proofs: The freshness proofs, oldest first.
        deferring: Whether this watcher defers to another one that reaches a
            primary which this one doesn't reach. The other one should serve
            the group then.
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
        """Returns the member with a given name, or ``None`` if not listed."""
        return next((m for m in self.members if m.name == name), None)

    def fresh_as_of(self, position: Position) -> float | None:
        """Returns when a log of this term was last provably up to date.

        Args:
            position: The last position of the log.

        Returns:
            The time in seconds of the watcher's clock, or ``None`` if no
            proof applies.
        """
        return fresh_as_of(self.proofs, position)

    def has_consistent_log(self, member: MemberState) -> bool:
        """Returns whether a member's log is a prefix of the primary's log.

        A member that has accepted the current term may still have entries
        that the new primary lacks, until it has discarded them.
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
