"""Watches one group: probes it, confirms writes and orders promotions."""

import contextlib
import random
import secrets
from collections.abc import Awaitable, Callable, Mapping, Sequence

import trio
from loguru import logger

from lagoonstair._types import EMPTY_LOG_POSITION, Position
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.groups._choose import (
    NO_LOAD,
    NoTargetReason,
    ReadPlan,
    rank_read_targets,
)
from lagoonstair.groups._confirm import Confirmation, assess_confirmation
from lagoonstair.groups._messages import GroupView, GroupViewAsk
from lagoonstair.groups._observer import Observer
from lagoonstair.groups._opinion import (
    should_defer_to_connected,
    should_defer_to_ranked,
)
from lagoonstair.groups._orders import (
    Follow,
    PromotionCause,
    PromotionSucceeded,
    StartPromotion,
)
from lagoonstair.groups._promoter import Promoter, follow
from lagoonstair.groups._promotion import Promotion
from lagoonstair.groups._rounds import Rounds
from lagoonstair.groups._state import GroupState
from lagoonstair.groups._timing import Timing
from lagoonstair.peers import PeerLostError, PeerNotSentError
from lagoonstair.ports import (
    Endpoint,
    EndpointStatus,
    ListedEndpoint,
    ListedGroup,
)

CANDIDATE_BYTES = 8

MakeEndpoint = Callable[[ListedEndpoint], Endpoint]
"""Makes the adapter to a listed endpoint."""

RequestView = Callable[[str, GroupViewAsk], Awaitable[GroupView]]
"""Asks another instance, by name, for its view of a group."""


class GroupWatch:
    """One instance's watch over one group.

    Attributes:
        promotions: How many promotions this watch has finished.
    """

    def __init__(
        self,
        listed: ListedGroup,
        *,
        instance: str,
        connect: MakeEndpoint,
        ask_peer: RequestView,
        timing: Timing | None = None,
        clock: Callable[[], float] = trio.current_time,
        rng: random.Random | None = None,
    ) -> None:
        """Prepares the watch; ``run`` starts it.

        Args:
            listed: The group as the platform lists it.
            instance: This instance's name.
            connect: Makes the adapter to a member.
            ask_peer: Asks another watcher for its view.
            timing: The intervals and bounds.
            clock: The monotonic clock, in seconds.
            rng: Jitter of intervals, and the spread of reads.
        """
        self.promotions = 0
        self._instance = instance
        self._connect = connect
        self._ask_peer = ask_peer
        self._timing = timing or Timing()
        self._clock = clock
        self._rng = rng or random.Random()
        self._ranking: tuple[str, ...] = (instance,)
        self._observer = Observer(listed, timing=self._timing, now=clock())
        self._endpoints = {m.name: connect(m) for m in listed.members}
        self._changed = trio.Event()
        self._promoting = False
        self._not_before = clock()
        self._rounds = Rounds(
            self._endpoints,
            observe=self._observe,
            fail=self._observer.failed,
            timing=self._timing,
            clock=clock,
        )

    @property
    def is_owner(self) -> bool:
        """Whether this instance is the group's owner, not a standby."""
        return self._observer.is_owner

    @property
    def deferring(self) -> bool:
        """Whether another watcher reaches a primary that this one doesn't."""
        return self._observer.deferring

    def set_watchers(self, ranking: Sequence[str]) -> None:
        """Takes the names of the group's watchers, the owner first."""
        self._ranking = tuple(ranking)
        self._observer.is_owner = self._ranking[:1] == (self._instance,)

    def update_listing(self, version: int, listed: ListedGroup) -> None:
        """Takes a list of the members; an older version is ignored."""
        before = {m.name: m.address for m in self._observer.listed.members}
        if not self._observer.update_listing(version, listed, self._clock()):
            return
        after = {m.name: m for m in listed.members}
        for name in before.keys() - after.keys():
            del self._endpoints[name]
        for name, member in after.items():
            if before.get(name) != member.address:
                self._endpoints[name] = self._connect(member)
        self._notify()

    async def run(self) -> None:
        """Probes, confirms and promotes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._rounds.run)
            while True:
                self._rounds.probe_all(nursery)
                for order in self._observer.tick(self._clock()):
                    self._perform(order, nursery)
                self._notify()
                await trio.sleep(self._interval())

    def snapshot(self) -> GroupState:
        """What is known of the group now."""
        return self._observer.snapshot(self._clock())

    def view(self) -> GroupView:
        """What this watch answers to ``GroupViewAsk``."""
        return self._observer.view(self._instance, self._clock())

    def rank_read_targets(
        self,
        *,
        last_write: Position = EMPTY_LOG_POSITION,
        last_read: Position = EMPTY_LOG_POSITION,
        max_age: float | None,
        asked_at: float | None = None,
        load: Mapping[str, float] = NO_LOAD,
        wait_limit: float = 0.0,
    ) -> ReadPlan:
        """Ranks the members that may serve a read; see ``choose``.

        The age is the one at ``asked_at``, which is now when left out.
        """
        return rank_read_targets(
            self.snapshot(),
            last_write=last_write,
            last_read=last_read,
            max_age=max_age,
            now=self._clock() if asked_at is None else asked_at,
            rng=self._rng,
            load=load,
            wait_limit=wait_limit,
        )

    async def plan_read(
        self,
        *,
        last_write: Position = EMPTY_LOG_POSITION,
        last_read: Position = EMPTY_LOG_POSITION,
        max_age: float | None,
        deadline: float,
        load: Mapping[str, float] = NO_LOAD,
        wait_limit: float = 0.0,
    ) -> ReadPlan:
        """Waits until a read has a target, asking the members meanwhile.

        A replica is waited for at most ``wait_limit`` seconds, and any target
        until ``deadline``; the last plan then tells the obstacle.
        """
        asked_at = self._clock()

        def plan() -> ReadPlan:
            left = max(0.0, asked_at + wait_limit - self._clock())
            return self.rank_read_targets(
                last_write=last_write,
                last_read=last_read,
                max_age=max_age,
                asked_at=asked_at,
                load=load,
                wait_limit=left,
            )

        latest = plan()
        if latest.targets and latest.replica_wait <= 0:
            return latest
        with self._rounds.wanted():
            while latest.replica_wait > 0 or not latest.targets:
                if latest.no_target_reason is NoTargetReason.SESSION_LOST:
                    return latest
                until = deadline
                if latest.targets:
                    until = min(deadline, self._clock() + latest.replica_wait)
                if not await self.wait_change(until):
                    return plan()
                latest = plan()
        return latest

    async def confirm(
        self, position: Position, *, deadline: float
    ) -> Confirmation:
        """Waits until a committed write is in every log that can survive.

        Call it after the commit: only reports asked for from now on count.

        Args:
            position: The position of the write.
            deadline: The clock's time at which to give up, in seconds.

        Returns:
            ``UNCONFIRMED`` when the deadline passed.
        """
        since = self._clock()
        with self._rounds.wanted():
            while True:
                result = assess_confirmation(
                    position,
                    self._observer.asked_since(since),
                    self._observer.quorum,
                )
                if result is not Confirmation.UNCONFIRMED:
                    return result
                if not await self.wait_change(deadline):
                    return result

    async def wait_primary(self, *, deadline: float) -> GroupState:
        """Waits for a primary that takes new writes.

        Returns:
            The latest state; its ``primary`` is ``None`` when the deadline
            passed.
        """
        while True:
            state = self.snapshot()
            if state.primary is not None:
                return state
            if not await self.wait_change(deadline):
                return self.snapshot()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def wait_change(self, deadline: float) -> bool:
        """Waits for news; false when the deadline passed."""
        left = max(0.0, deadline - self._clock())
        with trio.move_on_after(left) as scope:
            await self._changed.wait()
        return not scope.cancelled_caught

    def _observe(
        self, member: str, status: EndpointStatus, asked_at: float
    ) -> None:
        self._observer.observe(member, status, asked_at)
        self._notify()

    def _interval(self) -> float:
        timing = self._timing
        interval = (
            timing.probe_interval if self.is_owner else timing.standby_interval
        )
        return interval * (1 + timing.jitter * self._rng.uniform(-1, 1))

    def _perform(
        self, order: StartPromotion | Follow, nursery: trio.Nursery
    ) -> None:
        match order:
            case StartPromotion():
                if self._promoting or self._clock() < self._not_before:
                    return
                self._promoting = True
                nursery.start_soon(self._promote, order)
            case Follow():
                nursery.start_soon(self._follow, order)

    async def _follow(self, order: Follow) -> None:
        await follow(
            order,
            endpoints=self._endpoints,
            observe=self._observe,
            timing=self._timing,
            clock=self._clock,
        )

    async def _promote(self, order: StartPromotion) -> None:
        try:
            if await self._may_promote(order):
                await self._run_promotion(order)
        finally:
            self._promoting = False
            pause = self._timing.backoff * (1 + self._rng.random())
            self._not_before = self._clock() + pause

    async def _run_promotion(self, order: StartPromotion) -> None:
        promotion = Promotion(
            term=order.term,
            candidate=f"{self._instance}/{secrets.token_hex(CANDIDATE_BYTES)}",
            members=list(self._endpoints),
            expected=order.expected,
            avoid=order.avoid,
            excluded=order.excluded,
            preferred=order.preferred,
            attempts=self._timing.promote_attempts,
        )
        promoter = Promoter(
            promotion,
            endpoints=dict(self._endpoints),
            observe=self._observe,
            timing=self._timing,
            clock=self._clock,
        )
        outcome = await promoter.run()
        if isinstance(outcome, PromotionSucceeded):
            self.promotions += 1
        logger.info("{} promotion: {}", order.cause, outcome)
        await promoter.spread()

    async def _may_promote(self, order: StartPromotion) -> bool:
        """Asks the other watchers whether to promote."""
        if order.cause is PromotionCause.LEAVING and not self.is_owner:
            return False
        begun = self._clock()
        views = await self._ask_views()
        if not self._still_due(order, begun):
            return False
        aside = should_defer_to_connected(
            term=order.term - 1,
            silence=order.silence,
            views=views,
            margin=self._timing.silence_margin,
        )
        if aside and order.cause in (
            PromotionCause.DEAD,
            PromotionCause.ORPHANED,
        ):
            self._observer.deferring = True
            self._notify()
            return False
        return not should_defer_to_ranked(
            watcher=self._instance, ranking=self._ranking, views=views
        )

    def _still_due(self, order: StartPromotion, begun: float) -> bool:
        """False when the group recovered or this instance was paused."""
        now = self._clock()
        allowed = self._timing.peer_view_timeout + self._timing.stall_limit
        if now - begun > allowed:
            return False
        return self._observer.promotion_cause(now) is order.cause

    async def _ask_views(self) -> list[GroupView]:
        views: list[GroupView] = []
        ask = GroupViewAsk(group=self._observer.listed.name)

        async def collect(name: str) -> None:
            with contextlib.suppress(
                LagoonstairError, PeerLostError, PeerNotSentError
            ):
                views.append(await self._ask_peer(name, ask))

        with trio.move_on_after(self._timing.peer_view_timeout):
            async with trio.open_nursery() as nursery:
                for name in self._ranking:
                    if name != self._instance:
                        nursery.start_soon(collect, name)
        return views
