"""Decides, from reports and time, what a group's watcher knows and does."""

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

MAX_ROUNDS = 32


class Observer:
    """The knowledge and the decisions of one watcher of one group.

    All times are seconds of the watcher's own monotonic clock.

    Attributes:
        active: Whether this watcher is the group's owner, not a standby.
        stepped_aside: Whether another watcher reaches the primary instead.
    """

    def __init__(
        self,
        listed: ListedGroup,
        *,
        timing: Timing,
        now: float,
        is_owner: bool = True,
    ) -> None:
        """Starts to watch a group of which nothing is known."""
        self.is_owner = is_owner
        self.deferring = False
        self._timing = timing
        self._listed = listed
        self._version = -1
        self._started_at = now
        self._ticked_at = now
        self._health = {m.name: Health(heard_at=now) for m in listed.members}
        self._statuses: dict[str, EndpointStatus] = {}
        self._asked: dict[str, float] = {}
        self._rounds: dict[float, dict[str, EndpointStatus]] = {}
        self._ledger = FreshnessProofs()
        self._since: dict[str, float] = {}

    @property
    def quorum(self) -> int:
        """How many members are a majority."""
        return quorum_size(len(self._listed.members))

    @property
    def listed(self) -> ListedGroup:
        """The group as it was last listed."""
        return self._listed

    def update_listing(
        self, version: int, listed: ListedGroup, now: float
    ) -> bool:
        """Takes a newer list of the members; an older one is ignored."""
        if version < self._version:
            return False
        self._version = version
        self._listed = listed
        names = {m.name for m in listed.members}
        for name in self._health.keys() - names:
            del self._health[name]
            self._statuses.pop(name, None)
            self._asked.pop(name, None)
        for name in names - self._health.keys():
            self._health[name] = Health(heard_at=now)
        self._rounds.clear()
        return True

    def observe(
        self, member: str, status: EndpointStatus, asked_at: float
    ) -> None:
        """Takes a report; one that a later asked one overtook is ignored."""
        health = self._health.get(member)
        if health is None:
            return
        known = self._statuses.get(member)
        if known is not None and status.term < known.term:
            late = asked_at < self._asked[member]
            if not late:
                self._health[member] = health.failed(asked_at)
            return
        self._health[member] = health.answered(asked_at)
        self._prove(member, status, asked_at)
        if asked_at >= self._asked.get(member, -math.inf):
            self._statuses[member] = status
            self._asked[member] = asked_at

    def failed(self, member: str, asked_at: float) -> None:
        """Records a probe without an answer."""
        health = self._health.get(member)
        if health is not None:
            self._health[member] = health.failed(asked_at)

    def asked_since(self, since: float) -> list[EndpointStatus]:
        """The latest reports of the members that were asked since a time."""
        return [
            status
            for name, status in self._statuses.items()
            if self._asked[name] >= since
        ]

    def tick(self, now: float) -> list[StartPromotion | Follow]:
        """Decides what to do now; call it once per probe interval."""
        if now - self._ticked_at > self._timing.stall_limit:
            self._resume(now)
        self._ticked_at = now
        leader = self._leader()
        if leader is not None and self._verdict(leader, now) is Liveness.ALIVE:
            self.deferring = False
        cause = self.promotion_cause(now)
        if cause is not None and self._reaches_majority(now):
            return [self._begin(cause, leader, now)]
        return [*self._strays(leader, now)]

    def snapshot(self, now: float) -> GroupState:
        """What is known now."""
        leader = self._leader()
        usable = (
            leader is not None
            and not self.deferring
            and not self._superseded(leader)
            and self._verdict(leader, now) is not Liveness.DEAD
            and leader not in self._leaving()
        )
        return GroupState(
            name=self._listed.name,
            term=self._statuses[leader].term if leader else 0,
            primary=leader if usable else None,
            highest_term=self._highest_term(),
            members=tuple(self._members(now)),
            proofs=self._ledger.snapshot(),
            deferring=self.deferring,
            reaches_majority=self._reaches_majority(now),
        )

    def view(self, watcher: str, now: float) -> GroupView:
        """What this watcher tells the others."""
        leader = self._leader()
        known = (
            leader is not None
            and not self._superseded(leader)
            and not self._isolated(leader, now)
        )
        return GroupView(
            watcher=watcher,
            term=self._highest_term(),
            primary=leader if known and leader else "",
            silence=self._silence(leader, now) if known else math.inf,
            can_act=self._reaches_majority(now) and not self.deferring,
        )

    def _resume(self, now: float) -> None:
        self._since.clear()
        self._health = dict.fromkeys(self._health, Health(heard_at=now))

    def _prove(
        self, member: str, status: EndpointStatus, asked_at: float
    ) -> None:
        reports = self._rounds.setdefault(asked_at, {})
        reports[member] = status
        proof = derive_proof(asked_at, reports.values(), self.quorum)
        if proof is not None:
            self._ledger.add(proof)
        excess = len(self._rounds) - MAX_ROUNDS
        if excess > 0:
            for key in list(islice(self._rounds, excess)):
                del self._rounds[key]

    def _members(self, now: float) -> Iterable[MemberState]:
        leaving = self._leaving()
        for listed in self._listed.members:
            yield MemberState(
                listed=listed,
                leaving=listed.name in leaving,
                liveness=self._verdict(listed.name, now),
                status=self._statuses.get(listed.name),
                heard_at=self._health[listed.name].heard_at,
            )

    def _leaving(self) -> frozenset[str]:
        return frozenset(
            m.name
            for m in self._listed.members
            if m.state is not ListingState.LIVE
        )

    def _leader(self) -> str | None:
        primaries = [
            (s.term, name)
            for name, s in self._statuses.items()
            if s.role is Role.PRIMARY and s.last.term == s.term
        ]
        return max(primaries)[1] if primaries else None

    def _superseded(self, leader: str) -> bool:
        term = self._statuses[leader].term
        later = sum(s.term > term for s in self._statuses.values())
        return later >= self.quorum

    def _highest_term(self) -> int:
        return max((s.term for s in self._statuses.values()), default=0)

    def _verdict(self, member: str, now: float) -> Liveness:
        return self._health[member].liveness(now, self._timing)

    def _alive(self, now: float) -> frozenset[str]:
        return frozenset(
            name
            for name in self._health
            if self._verdict(name, now) is not Liveness.DEAD
        )

    def _reaches_majority(self, now: float) -> bool:
        heard = self._alive(now) & self._statuses.keys()
        return len(heard) >= self.quorum

    def _silence(self, leader: str | None, now: float) -> float:
        if leader is None:
            return now - self._started_at
        return now - self._health[leader].heard_at

    def promotion_cause(self, now: float) -> PromotionCause | None:
        """Why a promotion is due now, if one is."""
        leader = self._leader()
        orphaned = leader is None or self._superseded(leader)
        divided = leader is not None and any(
            self._statuses[leader].term < self._statuses[name].term
            for name in self._alive(now) & self._statuses.keys()
        )
        leaving = leader is not None and leader in self._leaving()
        orphan_time = self._lasting("orphaned", orphaned, now)
        divided_time = self._lasting("divided", divided, now)
        leaving_time = self._lasting("leaving", leaving, now)
        patience = self._timing.orphan_after
        if leader and self._verdict(leader, now) is Liveness.DEAD:
            return PromotionCause.DEAD
        if orphaned and orphan_time >= patience:
            return PromotionCause.ORPHANED
        if divided and divided_time >= patience:
            return PromotionCause.DIVIDED
        if leader and self._isolated(leader, now):
            return PromotionCause.ISOLATED
        if leader and leaving and leaving_time >= self._timing.drain:
            return (
                PromotionCause.LEAVING if self._successor(leader, now) else None
            )
        return None

    def _isolated(self, leader: str, now: float) -> bool:
        """Whether too few replicas hear a primary for a write to be kept.

        A replica that hears its primary and applies late is not meant: a
        promotion would not help it.
        """
        others = self._alive(now) & self._statuses.keys() - {leader}
        ages = [self._statuses[name].contact_age for name in others]
        limit = self._timing.isolated_after
        hearing = sum(age is None or age <= limit for age in ages)
        return hearing + 1 < self.quorum

    def _lasting(self, condition: str, holds: bool, now: float) -> float:
        if not holds:
            self._since.pop(condition, None)
            return 0.0
        return now - self._since.setdefault(condition, now)

    def _successor(self, leader: str, now: float) -> bool:
        """Whether a member that stays holds all that the leader holds."""
        last = self._statuses[leader].last
        stays = self._alive(now) - self._leaving() - {leader}
        return any(
            self._statuses[name].last >= last
            for name in stays & self._statuses.keys()
        )

    def _begin(
        self, cause: PromotionCause, leader: str | None, now: float
    ) -> StartPromotion:
        silence = self._silence(leader, now)
        isolated = cause is PromotionCause.ISOLATED
        if cause is PromotionCause.ORPHANED:
            silence = self._lasting("orphaned", True, now)
        return StartPromotion(
            cause=cause,
            term=self._highest_term() + 1,
            expected=self._alive(now),
            avoid=self._leaving(),
            excluded=frozenset({leader} if isolated and leader else ()),
            preferred=leader or "",
            silence=silence,
        )

    def _strays(self, leader: str | None, now: float) -> Iterable[Follow]:
        if leader is None or self._superseded(leader):
            return
        term = self._statuses[leader].term
        for name in self._alive(now) & self._statuses.keys() - {leader}:
            status = self._statuses[name]
            stray = status.term < term or (
                status.term == term and status.primary != leader
            )
            lasting = self._lasting(f"stray {name}", stray, now)
            patience = 0.0 if self.is_owner else self._timing.orphan_after
            if stray and lasting >= patience:
                yield Follow(member=name, term=term, primary=leader)
