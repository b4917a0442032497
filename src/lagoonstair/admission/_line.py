"""Order of those that wait for a connection to an endpoint, without I/O."""

from typing import NamedTuple

from lagoonstair.admission._order import ClassOrder
from lagoonstair.queueing import Work

MAX_PINNED_SHARE = 0.75
"""Share of an instance's connections to an endpoint that transactions may hold
while statements wait for one."""


class PinLoad(NamedTuple):
    """How far transactions use an instance's connections to an endpoint.

    Attributes:
        pinned: Number of connections that transactions hold.
        budget: Number of connections that this instance may have open.
    """

    pinned: int
    budget: int


class ConnectionLine:
    """Orders waiters by class of work, transactions first, then by target.

    While statements wait, transactions begin only on a part of the
    connections.
    """

    def __init__(self) -> None:
        self._order = ClassOrder()
        self._waiting: dict[int, Work] = {}

    def add(self, now: float, ticket: int, work: Work) -> None:
        """Adds a waiter.

        Args:
            now: The time, in seconds.
            ticket: Identifies the waiter; later ones have higher numbers.
            work: Its urgency; ``in_transaction`` if it begins a transaction.
        """
        self._waiting[ticket] = work
        self._order.arrive(now, work.priority)

    def remove(self, ticket: int) -> None:
        """Removes a waiter if it still waits."""
        work = self._waiting.pop(ticket, None)
        if work is not None and not any(
            other.priority == work.priority for other in self._waiting.values()
        ):
            self._order.leave(work.priority)

    def pop(self, now: float, load: PinLoad) -> int | None:
        """Removes the waiter that is next.

        Args:
            now: The time, in seconds.
            load: How far transactions use the connections.

        Returns:
            Its ticket, or ``None`` without one that may get a connection.
        """
        may_pin = self.may_pin(load)
        eligible = {
            ticket: work
            for ticket, work in self._waiting.items()
            if may_pin or not work.in_transaction
        }
        if not eligible:
            return None
        targets = {
            work.priority: work.target_latency for work in eligible.values()
        }
        priority = self._order.take(now, targets)
        ticket = min(
            (not work.in_transaction, work.target_at, ticket)
            for ticket, work in eligible.items()
            if work.priority == priority
        )[-1]
        self.remove(ticket)
        return ticket

    def may_pin(self, load: PinLoad) -> bool:
        """Returns whether a transaction may begin on one more connection.

        Args:
            load: How far transactions use the connections.
        """
        if load.pinned < MAX_PINNED_SHARE * load.budget:
            return True
        return all(work.in_transaction for work in self._waiting.values())

    @property
    def gates_transactions(self) -> bool:
        """Whether ``may_pin`` may be false."""
        return True
