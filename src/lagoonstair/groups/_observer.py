"""Decision logic of a group's watcher, without I/O.

It derives the state of the group and the next actions from status reports and
from the time, which is passed in.
"""

import math
from collections.abc import Iterable
from itertools import islice

from lagoonstair.groups._age import FreshnessProofs, derive_proof
from lagoonstair.groups._confirm import quorum_size
from lagoonstair.groups._health import Health, Liveness
from lagoonstair.groups._messages import GroupView
from lagoonstair.groups._orders import Follow, PromotionCause, StartPromotion
from lagoonstair.groups._state import GroupState, MemberState
from lagoonstair.groups._timing import Timing
from lagoonstair.ports import EndpointStatus, ListedGroup, ListingState, Role

MAX_RETAINED_ROUNDS = 32
"""Number of probe rounds whose reports are kept; the oldest are dropped."""


class Observer:
    """The state and the decisions of one watcher of one group.

    All times are in seconds of the watcher's own monotonic clock. The leader
    is the member that reported to be the primary of the highest term; it is
    not necessarily usable.

    Attributes:
        is_owner: Whether this watcher is the group's owner, not a standby.
        deferring: Whether this watcher defers to another one that reaches the
            primary.
    """

    def __init__(
        self,
        listed: ListedGroup,
        *,
        timing: Timing,
        now: float,
        is_owner: bool = True,
    ) -> None:
        """Creates the observer of a group whose state is not known yet.

        Args:
            listed: The group's entry in the platform's listing.
            timing: The intervals and limits.
            now: The current time.
            is_owner: Whether this watcher is the group's owner.
        """
        self.is_owner = is_owner
        self.deferring = False
        self._timing = timing
        self._listed = listed
        self._version = -1
        self._started_at = now
        self._ticked_at = now
        self._health = {m.name: Health(heard_at=now) for m in listed.members}
        self._statuses: dict[str, EndpointStatus] = {}
        self._asked_at: dict[str, float] = {}
        self._round_reports: dict[float, dict[str, EndpointStatus]] = {}
        self._proofs = FreshnessProofs()
        self._condition_since: dict[str, float] = {}

    @property
    def quorum(self) -> int:
        """The number of members that form a majority."""
        return quorum_size(len(self._listed.members))

    @property
    def listed(self) -> ListedGroup:
        """The group's latest entry in the platform's listing."""
        return self._listed

    def update_listing(
        self, version: int, listed: ListedGroup, now: float
    ) -> bool:
        """Replaces the list of members unless the given one is older.

        Args:
            version: The version of the listing.
            listed: The group's entry in the listing.
            now: The current time.

        Returns:
            Whether the list was accepted.
        """
        if version < self._version:
            return False
        self._version = version
        self._listed = listed
        names = {m.name for m in listed.members}
        for name in self._health.keys() - names:
            del self._health[name]
            self._statuses.pop(name, None)
            self._asked_at.pop(name, None)
        for name in names - self._health.keys():
            self._health[name] = Health(heard_at=now)
        self._round_reports.clear()
        return True

    def observe(
        self, member: str, status: EndpointStatus, asked_at: float
    ) -> None:
        """Records a status report.

        A report does not replace one that was requested later. A report of a
        lower term than the known one counts as a failed probe, or is ignored
        if it was requested earlier.

        Args:
            member: The name of the member.
            status: The report.
            asked_at: The time at which the report was requested.
        """
        health = self._health.get(member)
        if health is None:
            return
        known = self._statuses.get(member)
        if known is not None and status.term < known.term:
            overtaken = asked_at < self._asked_at[member]
            if not overtaken:
                self._health[member] = health.failed(asked_at)
            return
        self._health[member] = health.answered(asked_at)
        self._record_report(member, status, asked_at)
        if asked_at >= self._asked_at.get(member, -math.inf):
            self._statuses[member] = status
            self._asked_at[member] = asked_at

    def failed(self, member: str, asked_at: float) -> None:
        """Records a probe that was not answered.

        Args:
            member: The name of the member.
            asked_at: The time at which the probe was sent.
        """
        health = self._health.get(member)
        if health is not None:
            self._health[member] = health.failed(asked_at)

    def asked_since(self, since: float) -> list[EndpointStatus]:
        """Returns the members' latest reports that were requested since a time.

        Args:
            since: The earliest time of a request.
        """
        return [
            status
            for name, status in self._statuses.items()
            if self._asked_at[name] >= since
        ]

    def tick(self, now: float) -> list[StartPromotion | Follow]:
        """Returns the actions that are due; called once per probe interval.

        Args:
            now: The current time.
        """
        if now - self._ticked_at > self._timing.stall_limit:
            self._reset_after_stall(now)
        self._ticked_at = now
        leader = self._leader()
        if leader is not None and self._liveness(leader, now) is Liveness.ALIVE:
            self.deferring = False
        cause = self.promotion_cause(now)
        if cause is not None and self._reaches_majority(now):
            return [self._start_promotion(cause, leader, now)]
        return [*self._follow_orders(leader, now)]

    def snapshot(self, now: float) -> GroupState:
        """Returns the current state of the group."""
        leader = self._leader()
        usable = (
            leader is not None
            and not self.deferring
            and not self._is_superseded(leader)
            and self._liveness(leader, now) is not Liveness.DEAD
            and leader not in self._leaving_members()
        )
        return GroupState(
            name=self._listed.name,
            term=self._statuses[leader].term if leader else 0,
            primary=leader if usable else None,
            highest_term=self._highest_term(),
            members=tuple(self._members(now)),
            proofs=self._proofs.snapshot(),
            deferring=self.deferring,
            reaches_majority=self._reaches_majority(now),
        )

    def view(self, watcher: str, now: float) -> GroupView:
        """Returns the view that this watcher reports to the other watchers.

        Args:
            watcher: The name of this watcher's instance.
            now: The current time.
        """
        leader = self._leader()
        known = (
            leader is not None
            and not self._is_superseded(leader)
            and not self._is_isolated(leader, now)
        )
        return GroupView(
            watcher=watcher,
            term=self._highest_term(),
            primary=leader if known and leader else "",
            silence=self._silence(leader, now) if known else math.inf,
            can_act=self._reaches_majority(now) and not self.deferring,
        )

    def _reset_after_stall(self, now: float) -> None:
        self._condition_since.clear()
        self._health = dict.fromkeys(self._health, Health(heard_at=now))

    def _record_report(
        self, member: str, status: EndpointStatus, asked_at: float
    ) -> None:
        reports = self._round_reports.setdefault(asked_at, {})
        reports[member] = status
        proof = derive_proof(asked_at, reports.values(), self.quorum)
        if proof is not None:
            self._proofs.add(proof)
        excess_count = len(self._round_reports) - MAX_RETAINED_ROUNDS
        if excess_count > 0:
            for key in list(islice(self._round_reports, excess_count)):
                del self._round_reports[key]

    def _members(self, now: float) -> Iterable[MemberState]:
        leaving = self._leaving_members()
        for listed in self._listed.members:
            yield MemberState(
                listed=listed,
                leaving=listed.name in leaving,
                liveness=self._liveness(listed.name, now),
                status=self._statuses.get(listed.name),
                heard_at=self._health[listed.name].heard_at,
            )

    def _leaving_members(self) -> frozenset[str]:
        return frozenset(
            m.name
            for m in self._listed.members
            if m.state is not ListingState.LIVE
        )

    def _leader(self) -> str | None:
        """Returns the member that reported to be primary of the highest term.

        A member counts only once its log has an entry of that term.
        """
        primaries = [
            (s.term, name)
            for name, s in self._statuses.items()
            if s.role is Role.PRIMARY and s.last.term == s.term
        ]
        return max(primaries)[1] if primaries else None

    def _is_superseded(self, leader: str) -> bool:
        term = self._statuses[leader].term
        later = sum(s.term > term for s in self._statuses.values())
        return later >= self.quorum

    def _highest_term(self) -> int:
        return max((s.term for s in self._statuses.values()), default=0)

    def _liveness(self, member: str, now: float) -> Liveness:
        return self._health[member].liveness(now, self._timing)

    def _alive_members(self, now: float) -> frozenset[str]:
        return frozenset(
            name
            for name in self._health
            if self._liveness(name, now) is not Liveness.DEAD
        )

    def _reaches_majority(self, now: float) -> bool:
        heard = self._alive_members(now) & self._statuses.keys()
        return len(heard) >= self.quorum

    def _silence(self, leader: str | None, now: float) -> float:
        if leader is None:
            return now - self._started_at
        return now - self._health[leader].heard_at

    def promotion_cause(self, now: float) -> PromotionCause | None:
        """Returns the reason why a promotion is due, or ``None`` if none is.

        Each call also tracks since when the conditions have held.
        """
        leader = self._leader()
        orphaned = leader is None or self._is_superseded(leader)
        divided = leader is not None and any(
            self._statuses[leader].term < self._statuses[name].term
            for name in self._alive_members(now) & self._statuses.keys()
        )
        leaving = leader is not None and leader in self._leaving_members()
        orphan_time = self._time_held("orphaned", orphaned, now)
        divided_time = self._time_held("divided", divided, now)
        leaving_time = self._time_held("leaving", leaving, now)
        min_duration = self._timing.orphan_after
        if leader and self._liveness(leader, now) is Liveness.DEAD:
            return PromotionCause.DEAD
        if orphaned and orphan_time >= min_duration:
            return PromotionCause.ORPHANED
        if divided and divided_time >= min_duration:
            return PromotionCause.DIVIDED
        if leader and self._is_isolated(leader, now):
            return PromotionCause.ISOLATED
        if leader and leaving and leaving_time >= self._timing.drain:
            return (
                PromotionCause.LEAVING
                if self._has_caught_up_successor(leader, now)
                else None
            )
        return None

    def _is_isolated(self, leader: str, now: float) -> bool:
        """Returns whether too few replicas hear the leader to confirm a write.

        A replica that has contact to its primary but applies entries late
        counts as hearing it, because a promotion would not help.
        """
        others = self._alive_members(now) & self._statuses.keys() - {leader}
        ages = [self._statuses[name].contact_age for name in others]
        limit = self._timing.isolated_after
        hearing = sum(age is None or age <= limit for age in ages)
        return hearing + 1 < self.quorum

    def _time_held(self, condition: str, holds: bool, now: float) -> float:
        """Returns for how many seconds a condition has held without a break."""
        if not holds:
            self._condition_since.pop(condition, None)
            return 0.0
        return now - self._condition_since.setdefault(condition, now)

    def _has_caught_up_successor(self, leader: str, now: float) -> bool:
        """Returns whether a member that remains has all of the leader's log."""
        last = self._statuses[leader].last
        remaining = (
            self._alive_members(now) - self._leaving_members() - {leader}
        )
        return any(
            self._statuses[name].last >= last
            for name in remaining & self._statuses.keys()
        )

    def _start_promotion(
        self, cause: PromotionCause, leader: str | None, now: float
    ) -> StartPromotion:
        silence = self._silence(leader, now)
        isolated = cause is PromotionCause.ISOLATED
        if cause is PromotionCause.ORPHANED:
            silence = self._time_held("orphaned", True, now)
        return StartPromotion(
            cause=cause,
            term=self._highest_term() + 1,
            expected=self._alive_members(now),
            avoid=self._leaving_members(),
            excluded=frozenset({leader} if isolated and leader else ()),
            preferred=leader or "",
            silence=silence,
        )

    def _follow_orders(
        self, leader: str | None, now: float
    ) -> Iterable[Follow]:
        """Yields an order for each member that does not follow the leader.

        A standby waits for ``orphan_after`` first, to leave it to the owner.
        """
        if leader is None or self._is_superseded(leader):
            return
        term = self._statuses[leader].term
        for name in self._alive_members(now) & self._statuses.keys() - {leader}:
            status = self._statuses[name]
            misdirected = status.term < term or (
                status.term == term and status.primary != leader
            )
            held_for = self._time_held(f"misdirected {name}", misdirected, now)
            min_duration = 0.0 if self.is_owner else self._timing.orphan_after
            if misdirected and held_for >= min_duration:
                yield Follow(member=name, term=term, primary=leader)
