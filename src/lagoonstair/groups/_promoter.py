"""I/O layer of a promotion: performs the calls that its logic requests."""

from collections.abc import Callable, Iterable, Mapping

import trio

from lagoonstair.groups._orders import (
    Effect,
    Fence,
    Follow,
    Promote,
    PromotionFailed,
    PromotionSucceeded,
)
from lagoonstair.groups._promotion import (
    Event,
    FenceAnswered,
    GraceElapsed,
    PromoteAnswered,
    PromoteRefused,
    Promotion,
)
from lagoonstair.groups._timing import Timing
from lagoonstair.ports import (
    Endpoint,
    EndpointRefusedError,
    EndpointStatus,
    EndpointUnreachableError,
    ResultUnknownError,
)

Observe = Callable[[str, EndpointStatus, float], None]
"""Callback for a report: the member's name, the report and the request time."""


class Promoter:
    """Runs one promotion against the members of a group.

    Args:
        promotion: The decision logic of the promotion.
        endpoints: The members of the group by name.
        observe: Called with each report that a member returns.
        timing: The intervals and limits.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        promotion: Promotion,
        *,
        endpoints: Mapping[str, Endpoint],
        observe: Observe,
        timing: Timing,
        clock: Callable[[], float],
    ) -> None:
        self._promotion = promotion
        self._endpoints = endpoints
        self._observe = observe
        self._timing = timing
        self._clock = clock
        self._follow_orders: list[Follow] = []
        self._outcome: PromotionSucceeded | PromotionFailed | None = None

    async def run(self) -> PromotionSucceeded | PromotionFailed:
        """Runs the promotion until it succeeds or fails."""
        send, receive = trio.open_memory_channel[Event](1)
        async with trio.open_nursery() as nursery, send, receive:
            nursery.start_soon(self._end_grace, send)
            self._perform(self._promotion.start(), nursery, send)
            while self._outcome is None:
                event = await receive.receive()
                effects = self._promotion.handle(event)
                self._perform(effects, nursery, send)
            nursery.cancel_scope.cancel()
        return self._outcome

    def _perform(
        self,
        effects: Iterable[Effect],
        nursery: trio.Nursery,
        send: trio.MemorySendChannel[Event],
    ) -> None:
        for effect in effects:
            match effect:
                case Fence():
                    nursery.start_soon(self._fence, effect, send)
                case Promote():
                    nursery.start_soon(self._promote, effect, send)
                case Follow():
                    self._follow_orders.append(effect)
                case PromotionSucceeded() | PromotionFailed():
                    self._outcome = effect

    async def _end_grace(self, send: trio.MemorySendChannel[Event]) -> None:
        await trio.sleep(self._timing.fence_grace)
        await send.send(GraceElapsed())

    async def _fence(
        self, order: Fence, send: trio.MemorySendChannel[Event]
    ) -> None:
        asked_at = self._clock()
        answer = None
        try:
            with trio.move_on_after(self._timing.call_timeout):
                endpoint = self._endpoints[order.member]
                answer = await endpoint.fence(order.term, order.candidate)
                self._observe(order.member, answer.status, asked_at)
        except (
            EndpointUnreachableError,
            EndpointRefusedError,
            ResultUnknownError,
        ):
            pass
        await send.send(FenceAnswered(member=order.member, answer=answer))

    async def _promote(
        self, order: Promote, send: trio.MemorySendChannel[Event]
    ) -> None:
        asked_at = self._clock()
        event: Event = PromoteAnswered(status=None)
        try:
            with trio.move_on_after(self._timing.call_timeout):
                endpoint = self._endpoints[order.member]
                status = await endpoint.promote(order.term, order.candidate)
                self._observe(order.member, status, asked_at)
                event = PromoteAnswered(status=status)
        except EndpointRefusedError:
            event = PromoteRefused()
        except (EndpointUnreachableError, ResultUnknownError):
            pass
        await send.send(event)

    async def announce(self) -> None:
        """Tells the other members about the new primary.

        Failed calls are not repeated here; the group's watch repeats them.
        """
        async with trio.open_nursery() as nursery:
            for order in self._follow_orders:
                nursery.start_soon(self._follow, order)

    async def _follow(self, order: Follow) -> None:
        await send_follow(
            order,
            endpoints=self._endpoints,
            observe=self._observe,
            timing=self._timing,
            clock=self._clock,
        )


async def send_follow(
    order: Follow,
    *,
    endpoints: Mapping[str, Endpoint],
    observe: Observe,
    timing: Timing,
    clock: Callable[[], float],
) -> None:
    """Tells one member which primary to follow.

    A failed call is ignored, since the next tick requests it again.

    Args:
        order: The member and its primary; ignored if the member is unknown.
        endpoints: The members of the group by name.
        observe: Called with the report that the member returns.
        timing: The limit ``call_timeout``.
        clock: Returns the monotonic time in seconds.
    """
    endpoint = endpoints.get(order.member)
    if endpoint is None:
        return
    asked_at = clock()
    try:
        with trio.move_on_after(timing.call_timeout):
            status = await endpoint.follow(order.term, order.primary)
            observe(order.member, status, asked_at)
    except (
        EndpointUnreachableError,
        EndpointRefusedError,
        ResultUnknownError,
    ):
        pass
