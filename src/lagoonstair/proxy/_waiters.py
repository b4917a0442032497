"""Tasks that wait until a connection of a pool may be available."""

import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

import trio

from lagoonstair.admission import PinLoad
from lagoonstair.proxy._link import Link
from lagoonstair.queueing import Work


class WaitingLine(Protocol):
    """Decides which waiter is next."""

    def add(self, now: float, ticket: int, work: Work) -> None:
        """Adds a waiter."""

    def remove(self, ticket: int) -> None:
        """Removes a waiter if it still waits."""

    def pop(self, now: float, load: PinLoad) -> int | None:
        """Removes the waiter that is next and returns its ticket."""

    def may_pin(self, load: PinLoad) -> bool:
        """Returns whether a transaction may begin on one more connection."""

    @property
    def gates_transactions(self) -> bool:
        """Whether ``may_pin`` may be false."""


class PriorityLine:
    """Orders waiters by priority, then by arrival."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, int]] = []

    def add(self, now: float, ticket: int, work: Work) -> None:
        """Adds a waiter."""
        heapq.heappush(self._waiting, (work.priority, ticket))

    def remove(self, ticket: int) -> None:
        """Removes a waiter if it still waits."""
        kept = [entry for entry in self._waiting if entry[1] != ticket]
        if len(kept) < len(self._waiting):
            self._waiting = kept
            heapq.heapify(self._waiting)

    def pop(self, now: float, load: PinLoad) -> int | None:
        """Removes the waiter that is next and returns its ticket."""
        return heapq.heappop(self._waiting)[1] if self._waiting else None

    def may_pin(self, load: PinLoad) -> bool:
        """Returns true: transactions may use all connections."""
        return True

    @property
    def gates_transactions(self) -> bool:
        """Whether ``may_pin`` may be false."""
        return False


class ConnectionWaiters:
    """Tasks that wait for a connection; a waiting line decides their order.

    Attributes:
        pinned: The connections that transactions hold.
        pinning: Number of connections that are being opened for transactions.
    """

    def __init__(self, line: WaitingLine, limit: Callable[[], int]) -> None:
        """Creates the waiters of a pool, without any.

        Args:
            line: Decides their order.
            limit: Returns how many connections may be open.
        """
        self._line = line
        self._limit = limit
        self.pinned: set[Link] = set()
        self.pinning = 0
        self._tickets = itertools.count()
        self._events: dict[int, trio.Event] = {}

    async def wait(self, deadline: float, work: Work) -> None:
        """Waits until a connection may be available.

        Args:
            deadline: When to give up, in seconds.
            work: The urgency; ``in_transaction`` to begin a transaction.

        Raises:
            trio.TooSlowError: None became available before the deadline.
        """
        ticket = next(self._tickets)
        event = trio.Event()
        self._events[ticket] = event
        now = trio.current_time()
        self._line.add(now, ticket, work)
        try:
            with trio.fail_after(max(0.0, deadline - now)):
                await event.wait()
        except trio.TooSlowError:
            if event.is_set():
                self.wake_next()
            raise
        except trio.Cancelled:
            if event.is_set() and self._line.gates_transactions:
                self.wake_next()
            raise
        finally:
            del self._events[ticket]
            self._line.remove(ticket)
            if self._line.gates_transactions and not event.is_set():
                # It may have been the last statement that waited, which lets
                # transactions begin.
                self.wake_next()

    def wake_next(self) -> None:
        """Wakes the waiter that is next, if any may have a connection."""
        ticket = self._line.pop(trio.current_time(), self._load())
        if ticket is not None:
            self._events[ticket].set()

    def wake_all(self) -> None:
        """Wakes all waiters."""
        for ticket, event in self._events.items():
            self._line.remove(ticket)
            event.set()

    def may_pin(self) -> bool:
        """Returns whether a transaction may begin on one more connection."""
        return self._line.may_pin(self._load())

    def _load(self) -> PinLoad:
        return PinLoad(len(self.pinned) + self.pinning, self._limit())
