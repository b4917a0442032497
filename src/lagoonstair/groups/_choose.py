"""Selection of the members that may serve a read."""

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
"""The default load, under which all members count as equally loaded."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadTarget:
    """A member that may serve a read.

    Attributes:
        member: The name of the member.
        term: The term that the call must name.
        primary: Whether the member is the primary.
    """

    member: str
    term: int
    primary: bool


class NoTargetReason(enum.StrEnum):
    """The reason why no member can serve a read at the moment.

    Attributes:
        SESSION_LOST: The surviving log does not contain the session's last
            write.
        TOO_STALE: No proof shows that the data is within the requested age.
        BEHIND: No usable member has reached the session's position.
        UNAVAILABLE: No member accepts work.
    """

    SESSION_LOST = "session_lost"
    TOO_STALE = "too_stale"
    BEHIND = "behind"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadPlan:
    """The members on which a read may run.

    Attributes:
        targets: The members to try in order, replicas first.
        replica_wait: The number of seconds to wait for a replica before the
            primary is used; 0 if a replica can serve immediately or no
            replica is usable.
        no_target_reason: Why ``targets`` is empty; ``None`` if it is not.
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

    Replicas come before the primary, responsive replicas before suspected
    ones, and less loaded replicas before more loaded ones.

    Args:
        state: The state of the group.
        last_write: The position of the session's last write.
        last_read: The position of the session's last read.
        max_age: The maximum age of the data in seconds; ``None`` for no
            limit.
        now: The current time in seconds of the watcher's clock.
        rng: Shuffles replicas of equal load, which spreads the reads.
        load: The current load of each member by name; 0 if missing.
        wait_limit: The maximum time to wait for a replica in seconds.

    Returns:
        The ranked members, or the reason why there is none.
    """
    usable = [m for m in state.members if _may_serve(state, m)]
    if not usable:
        return ReadPlan(no_target_reason=NoTargetReason.UNAVAILABLE)
    most_advanced = max(_statuses(usable), key=lambda s: s.last)
    if is_discarded(most_advanced, last_write):
        return ReadPlan(no_target_reason=NoTargetReason.SESSION_LOST)
    required = max(last_write, truncate_to_log(most_advanced, last_read))
    holding = [m for m in usable if _holds_position(state, m, required)]
    fresh = [m for m in holding if _is_fresh(state, m, max_age, now)]
    replicas = [m for m in fresh if m.name != state.primary]
    replicas.sort(key=lambda m: (_is_suspect(m), _load(load, m), rng.random()))
    primary = [m for m in fresh if m.name == state.primary]
    targets = tuple(
        ReadTarget(
            member=m.name, term=state.term, primary=m.name == state.primary
        )
        for m in [*replicas, *primary]
    )
    if targets:
        has_usable_replica = any(m.name != state.primary for m in usable)
        wait = wait_limit if has_usable_replica and not replicas else 0.0
        return ReadPlan(targets=targets, replica_wait=wait)
    reason = NoTargetReason.TOO_STALE if holding else NoTargetReason.BEHIND
    return ReadPlan(replica_wait=wait_limit, no_target_reason=reason)


def _statuses(members: Iterable[MemberState]) -> list[EndpointStatus]:
    return [m.status for m in members if m.status is not None]


def _may_serve(state: GroupState, member: MemberState) -> bool:
    if member.leaving or member.liveness is Liveness.DEAD:
        return False
    if _is_replaced_primary(state, member):
        return False
    return state.has_consistent_log(member)


def _is_replaced_primary(state: GroupState, member: MemberState) -> bool:
    """Returns whether a member still claims to be primary but was replaced."""
    return (
        member.status is not None
        and member.status.role is Role.PRIMARY
        and member.name != state.primary
    )


def _holds_position(
    state: GroupState, member: MemberState, required: Position
) -> bool:
    if member.name == state.primary and state.term >= required.term:
        return True
    return member.status is not None and member.status.last >= required


def _is_fresh(
    state: GroupState, member: MemberState, max_age: float | None, now: float
) -> bool:
    if max_age is None:
        return True
    if member.status is None:
        return False
    as_of = _fresh_as_of(state, member)
    return as_of is not None and now - as_of <= max_age


def _fresh_as_of(state: GroupState, member: MemberState) -> float | None:
    """Returns the latest time at which a member was provably up to date.

    The primary of a term has every position that it reported in that term, so
    each proof of the term applies to it. What a proof has to show is that it
    was still the primary.
    """
    if member.status is None:
        return None
    if member.name != state.primary:
        return state.fresh_as_of(member.status.last)
    own = [p.asked_at for p in state.proofs if p.position.term == state.term]
    return max(own, default=None)


def _is_suspect(member: MemberState) -> bool:
    return member.liveness is Liveness.SUSPECT


def _load(load: Mapping[str, float], member: MemberState) -> float:
    return load.get(member.name, 0.0)
