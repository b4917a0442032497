"""I/O layer of a group's watcher: probes, confirmations and promotions."""

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
from lagoonstair.groups._promoter import Promoter, send_follow
from lagoonstair.groups._promotion import Promotion
from lagoonstair.groups._rounds import ProbeRounds
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
"""Number of random bytes that make a candidate name unique."""

MakeEndpoint = Callable[[ListedEndpoint], Endpoint]
"""Creates the client of a listed endpoint."""

RequestView = Callable[[str, GroupViewAsk], Awaitable[GroupView]]
"""Requests a view of a group from another instance, given by its name."""


class GroupWatch:
    """Monitors one group on behalf of one instance.

    Attributes:
        promotions: The number of promotions that this watch has completed.
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
        """Creates the watch; ``run`` starts it.

        Args:
            listed: The group's entry in the platform's listing.
            instance: The name of this instance.
            connect: Creates the client of a member.
            ask_peer: Requests the view of another watcher.
            timing: The intervals and limits.
            clock: Returns the monotonic time in seconds.
            rng: Source of the jitter of intervals and of the distribution of
                reads.
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
        self._next_promotion_at = clock()
        self._rounds = ProbeRounds(
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
        """Whether this watch defers to another one that reaches the primary."""
        return self._observer.deferring

    def set_watchers(self, ranking: Sequence[str]) -> None:
        """Sets the names of the group's watchers, the owner first."""
        self._ranking = tuple(ranking)
        self._observer.is_owner = self._ranking[:1] == (self._instance,)

    def update_listing(self, version: int, listed: ListedGroup) -> None:
        """Updates the members from a listing; an older one is ignored.

        Args:
            version: The version of the listing.
            listed: The group's entry in the listing.
        """
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
        """Monitors the group until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._rounds.run)
            while True:
                self._rounds.probe_all(nursery)
                for order in self._observer.tick(self._clock()):
                    self._perform(order, nursery)
                self._notify()
                await trio.sleep(self._interval())

    def snapshot(self) -> GroupState:
        """Returns the current state of the group."""
        return self._observer.snapshot(self._clock())

    def view(self) -> GroupView:
        """Returns this watch's answer to ``GroupViewAsk``."""
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
        """Ranks the members that may serve a read at the moment.

        Args:
            last_write: The position of the session's last write.
            last_read: The position of the session's last read.
            max_age: The maximum age of the data in seconds; ``None`` for no
                limit.
            asked_at: The time relative to which the age is measured; now if
                ``None``.
            load: The current load of each member by name; 0 if missing.
            wait_limit: The maximum time to wait for a replica in seconds.
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
        """Waits until a member can serve a read.

        Status requests are sent to the members while waiting.

        Args:
            last_write: The position of the session's last write.
            last_read: The position of the session's last read.
            max_age: The maximum age of the data in seconds, measured from
                the time of this call; ``None`` for no limit.
            deadline: The time of the clock until which to wait for any
                member, in seconds.
            load: The current load of each member by name; 0 if missing.
            wait_limit: The maximum time to wait for a replica in seconds.

        Returns:
            The latest plan. Without a target it states the reason.
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
        with self._rounds.keep_polling():
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
        """Waits until the durability of a committed write is established.

        It must be called after the commit, as only reports that are requested
        during the call are considered.

        Args:
            position: The position of the write.
            deadline: The time of the clock until which to wait, in seconds.

        Returns:
            The durability status; ``UNCONFIRMED`` if the deadline passed.
        """
        since = self._clock()
        with self._rounds.keep_polling():
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
        """Waits for a primary that accepts new writes.

        Args:
            deadline: The time of the clock until which to wait, in seconds.

        Returns:
            The latest state; its ``primary`` is ``None`` if the deadline
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
        """Waits for new information about the group.

        Args:
            deadline: The time of the clock until which to wait, in seconds.

        Returns:
            Whether there was any before the deadline.
        """
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
                if self._promoting or self._clock() < self._next_promotion_at:
                    return
                self._promoting = True
                nursery.start_soon(self._promote, order)
            case Follow():
                nursery.start_soon(self._follow, order)

    async def _follow(self, order: Follow) -> None:
        await send_follow(
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
            self._next_promotion_at = self._clock() + pause

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
        logger.info("promotion (cause: {}) ended: {}", order.cause, outcome)
        await promoter.announce()

    async def _may_promote(self, order: StartPromotion) -> bool:
        """Returns whether this watcher should perform a promotion.

        The views of the other watchers are requested first.
        """
        if order.cause is PromotionCause.LEAVING and not self.is_owner:
            return False
        started_at = self._clock()
        views = await self._collect_views()
        if not self._still_due(order, started_at):
            return False
        defer = should_defer_to_connected(
            term=order.term - 1,
            silence=order.silence,
            views=views,
            margin=self._timing.silence_margin,
        )
        if defer and order.cause in (
            PromotionCause.DEAD,
            PromotionCause.ORPHANED,
        ):
            self._observer.deferring = True
            self._notify()
            return False
        return not should_defer_to_ranked(
            watcher=self._instance, ranking=self._ranking, views=views
        )

    def _still_due(self, order: StartPromotion, started_at: float) -> bool:
        """Returns whether the promotion is still needed.

        It is not if the group recovered or this instance was paused since.
        """
        now = self._clock()
        allowed = self._timing.peer_view_timeout + self._timing.stall_limit
        if now - started_at > allowed:
            return False
        return self._observer.promotion_cause(now) is order.cause

    async def _collect_views(self) -> list[GroupView]:
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
