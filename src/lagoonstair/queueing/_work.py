"""What a queue may know of the work for which a slot is requested."""

from typing import NamedTuple, Protocol

from lagoonstair.queueing._queue import QueueEffect


class Work(NamedTuple):
    """The urgency of one statement.

    Attributes:
        priority: The class of work, which is the priority of its route; 0 is
            the most urgent.
        target_at: The time by which its operation should have been answered,
            in seconds.
        target_latency: The target latency of its route, in seconds.
        in_transaction: Whether it belongs to an open transaction, which holds
            a connection until it ends.
    """

    priority: int = 0
    target_at: float = 0.0
    target_latency: float = 0.0
    in_transaction: bool = False


ROUTINE = Work()
"""The work of a caller that tells no urgency."""


class SlotQueue(Protocol):
    """Decides which waiting entry gets a slot.

    Every method takes the monotonic time in seconds.
    """

    def enter(
        self,
        now: float,
        workspace: str,
        ticket: int,
        *,
        deadline: float,
        key_id: str,
        work: Work,
    ) -> list[QueueEffect]:
        """Adds an entry, or rejects it if its expected wait is too long."""

    def leave(self, now: float, ticket: int) -> list[QueueEffect]:
        """Removes a waiting entry or releases the slot of a running one."""

    def withdraw(self, key_id: str) -> list[QueueEffect]:
        """Rejects all waiting entries of a withdrawn key."""

    def resize(self, now: float, slots: int) -> list[QueueEffect]:
        """Changes the number of slots. Running entries are not interrupted."""

    def tick(self, now: float) -> list[QueueEffect]:
        """Rejects entries past their deadline and fills free slots."""

    def waiting(self, workspace: str) -> int:
        """Returns the number of waiting entries of a workspace."""

    @property
    def running(self) -> int:
        """The number of running entries."""
