"""Chooses where a read runs."""

import enum
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lagoonstair._types import EMPTY_LOG_POSITION, Position
from lagoonstair.groups._health import Liveness
from lagoonstair.groups._history import is_discarded, truncate_to_log
from lagoonstair.groups._state import GroupState, MemberState
from lagoonstair.ports import EndpointStatus, Role

NO_LOAD: Mapping[str, float] = {}


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadTarget:
    """A member that may serve a read.

    Attributes:
        member: The member's name.
        term: The term in which the call must run.
        primary: Whether it is the primary.
    """

    member: str
    term: int
    primary: bool


class NoTargetReason(enum.StrEnum):
    """Why no member may serve a read now.

    Attributes:
        SESSION_LOST: The surviving log lacks the session's last write.
        TOO_STALE: Nothing proves the age that is asked for.
        BEHIND: No member that may serve holds the session's position.
        UNAVAILABLE: No member may take work.
    """

    SESSION_LOST = "session_lost"
    TOO_STALE = "too_stale"
    BEHIND = "behind"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadPlan:
    """Where a read may run.

    Attributes:
        targets: Members to try in order; replicas come first.
        wait: Seconds for which a replica is worth waiting before the primary
            is used; 0 when a replica may serve at once or none will soon.
        obstacle: Why there is no target; ``None`` when there is one.
    """

    targets: tuple[ReadTarget, ...] = ()
    replica_wait: float = 0.0
    no_target_reason: NoTargetReason | None = None


def rank_read_targets(
    state: GroupState,
    *,
    last_write: Position = EMPTY_LOG_POSITION,
    last_read: Position = EMPTY_LOG_POSITION,
    max_age: float | None,
    now: float,
    rng: random.Random,
    load: Mapping[str, float] = NO_LOAD,
    wait_limit: float = 0.0,
) -> ReadPlan:
    """Ranks the members that may serve a read.

    Args:
        state: What is known of the group.
        last_write: The position of the session's last write.
        last_read: The position of the session's last read.
        max_age: Greatest age of the data in seconds; ``None`` for any.
        now: The time in the observer's seconds.
        rng: Spreads reads over replicas of equal load.
        load: Work that each member has in hand; the least loaded comes first.
        wait_limit: Greatest wait for a replica in seconds.
    """
    usable = [m for m in state.members if _may_serve(state, m)]
    if not usable:
        return ReadPlan(no_target_reason=NoTargetReason.UNAVAILABLE)
    latest = max(_statuses(usable), key=lambda s: s.last)
    if is_discarded(latest, last_write):
        return ReadPlan(no_target_reason=NoTargetReason.SESSION_LOST)
    least = max(last_write, truncate_to_log(latest, last_read))
    covering = [m for m in usable if _covers(state, m, least)]
    fresh = [m for m in covering if _is_fresh(state, m, max_age, now)]
    replicas = [m for m in fresh if m.name != state.primary]
    replicas.sort(key=lambda m: (_suspicion(m), _load(load, m), rng.random()))
    primary = [m for m in fresh if m.name == state.primary]
    targets = tuple(
        ReadTarget(
            member=m.name, term=state.term, primary=m.name == state.primary
        )
        for m in [*replicas, *primary]
    )
    if targets:
        some_replica = any(m.name != state.primary for m in usable)
        wait = wait_limit if some_replica and not replicas else 0.0
        return ReadPlan(targets=targets, replica_wait=wait)
    obstacle = NoTargetReason.TOO_STALE if covering else NoTargetReason.BEHIND
    return ReadPlan(replica_wait=wait_limit, no_target_reason=obstacle)


def _statuses(members: Iterable[MemberState]) -> list[EndpointStatus]:
    return [m.status for m in members if m.status is not None]


def _may_serve(state: GroupState, member: MemberState) -> bool:
    if member.leaving or member.liveness is Liveness.DEAD:
        return False
    if _is_replaced(state, member):
        return False
    return state.has_consistent_log(member)


def _is_replaced(state: GroupState, member: MemberState) -> bool:
    """Whether a member still calls itself primary but may not be used."""
    return (
        member.status is not None
        and member.status.role is Role.PRIMARY
        and member.name != state.primary
    )


def _covers(state: GroupState, member: MemberState, least: Position) -> bool:
    if member.name == state.primary and state.term >= least.term:
        return True
    return member.status is not None and member.status.last >= least


def _is_fresh(
    state: GroupState, member: MemberState, max_age: float | None, now: float
) -> bool:
    if max_age is None:
        return True
    if member.status is None:
        return False
    proved = _proved_at(state, member)
    return proved is not None and now - proved <= max_age


def _proved_at(state: GroupState, member: MemberState) -> float | None:
    """When a member was surely up to date.

    The primary of a term holds whatever it reported in that term, so that
    every proof of its term covers it; its primacy is what has to be proved.
    """
    if member.status is None:
        return None
    if member.name != state.primary:
        return state.fresh_as_of(member.status.last)
    own = [p.asked_at for p in state.proofs if p.position.term == state.term]
    return max(own, default=None)


def _suspicion(member: MemberState) -> bool:
    return member.liveness is Liveness.SUSPECT


def _load(load: Mapping[str, float], member: MemberState) -> float:
    return load.get(member.name, 0.0)
