"""Performs the effects of one promotion."""

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
"""Takes a member's name, its report, and when it was asked for."""


class Promoter:
    """Runs one promotion against the members of a group."""

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
        self._followers: list[Follow] = []
        self._outcome: PromotionSucceeded | PromotionFailed | None = None

    async def run(self) -> PromotionSucceeded | PromotionFailed:
        """Runs the promotion until there is a primary or none will be."""
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
                    self._followers.append(effect)
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

    async def spread(self) -> None:
        """Tells the other members; the watch repeats lost calls."""
        async with trio.open_nursery() as nursery:
            for order in self._followers:
                nursery.start_soon(self._follow, order)

    async def _follow(self, order: Follow) -> None:
        await follow(
            order,
            endpoints=self._endpoints,
            observe=self._observe,
            timing=self._timing,
            clock=self._clock,
        )


async def follow(
    order: Follow,
    *,
    endpoints: Mapping[str, Endpoint],
    observe: Observe,
    timing: Timing,
    clock: Callable[[], float],
) -> None:
    """Tells one member whom to follow; a failure is left to the next tick."""
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
