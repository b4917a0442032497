"""Schedules trio tasks onto the slots of one database by fair queueing."""

import math
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

import trio

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.queueing._queue import (
    FairQueue,
    QueueEffect,
    QueueSettings,
    Reject,
    Start,
)
from lagoonstair.queueing._work import ROUTINE, SlotQueue, Work

REJECTION_MESSAGES = {
    ErrorKind.OVERLOADED: "the database is busy; nothing was run",
    ErrorKind.UNAUTHENTICATED: "the key was withdrawn; nothing was run",
}
"""The message to the caller for each kind of rejection."""


class _Waiter:
    """A task that waits for a slot."""

    __slots__ = ("event", "reject")

    def __init__(self) -> None:
        self.event = trio.Event()
        self.reject: Reject | None = None


class SlotScheduler:
    """Shares the slots of one database fairly among workspaces."""

    def __init__(
        self,
        slots: int,
        *,
        settings: QueueSettings | None = None,
        queue: SlotQueue | None = None,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        """Creates a scheduler with all slots free.

        Args:
            slots: Number of calls that the database runs concurrently.
            settings: Limits of the queue.
            queue: Decides who gets a slot, in place of a ``FairQueue`` for
                all; it has the same number of slots and the same limits.
            clock: Returns the monotonic time in seconds.
        """
        self._settings = settings or QueueSettings()
        self._queue: SlotQueue = queue or FairQueue(slots, self._settings)
        self._clock = clock
        self._waiters: dict[int, _Waiter] = {}
        self._last_ticket = 0

    @asynccontextmanager
    async def slot(
        self,
        workspace: str,
        *,
        deadline: float = math.inf,
        key_id: str = "",
        work: Work = ROUTINE,
    ) -> AsyncIterator[None]:
        """Holds a slot inside the block; a transaction holds it until it ends.

        Args:
            workspace: The workspace on whose behalf the block runs.
            deadline: The time by which a slot must have been obtained, on the
                scheduler's clock, in seconds.
            key_id: The ID of the request's key, for ``withdraw``.
            work: Its urgency, for a queue that orders by it.

        Raises:
            LagoonstairError: ``OVERLOADED`` or, after ``withdraw``,
                ``UNAUTHENTICATED``. The block did not run.
        """
        self._last_ticket += 1
        ticket = self._last_ticket
        try:
            await self._wait(workspace, ticket, deadline, key_id, work)
            yield
        finally:
            self._perform(self._queue.leave(self._clock(), ticket))

    def resize(self, slots: int) -> None:
        """Changes the number of slots."""
        self._perform(self._queue.resize(self._clock(), slots))

    def withdraw(self, key_id: str) -> None:
        """Rejects all waiting requests of a key."""
        self._perform(self._queue.withdraw(key_id))

    @property
    def running(self) -> int:
        """The number of slots in use."""
        return self._queue.running

    def waiting(self, workspace: str) -> int:
        """Returns the number of waiting requests of a workspace."""
        return self._queue.waiting(workspace)

    async def _wait(
        self,
        workspace: str,
        ticket: int,
        deadline: float,
        key_id: str,
        work: Work,
    ) -> None:
        waiter = _Waiter()
        self._waiters[ticket] = waiter
        try:
            now = self._clock()
            effects = self._queue.enter(
                now,
                workspace,
                ticket,
                deadline=deadline,
                key_id=key_id,
                work=work,
            )
            self._perform(effects)
            deadline = min(deadline, now + self._settings.max_wait)
            await self._wait_for_event(waiter, deadline)
        finally:
            del self._waiters[ticket]
        if waiter.reject is not None:
            raise LagoonstairError(
                waiter.reject.kind,
                REJECTION_MESSAGES[waiter.reject.kind],
                retry_after=waiter.reject.retry_after,
            )

    async def _wait_for_event(self, waiter: _Waiter, deadline: float) -> None:
        while not waiter.event.is_set():
            with trio.move_on_after(max(0.0, deadline - self._clock())):
                await waiter.event.wait()
            self._perform(self._queue.tick(self._clock()))

    def _perform(self, effects: Sequence[QueueEffect]) -> None:
        for effect in effects:
            waiter = self._waiters[effect.ticket]
            match effect:
                case Start():
                    pass
                case Reject():
                    waiter.reject = effect
            waiter.event.set()
