"""Queue for the slots of one endpoint, ordered by urgency, without I/O."""

import heapq
import math
from collections.abc import Callable, Iterator
from typing import NamedTuple

from lagoonstair.admission._classes import WaitingWork, WorkClass
from lagoonstair.admission._order import MAX_STARTS_BETWEEN, ClassOrder
from lagoonstair.exceptions import ErrorKind
from lagoonstair.queueing import ROUTINE, QueueEffect, Reject, Start, Work


class AdmissionSettings(NamedTuple):
    """Limits of a queue.

    Attributes:
        max_waiting: Maximum number of waiting entries. Seven instances that
            share four slots, with 18 ms a statement, take 2 s for it, which
            is the longest timeout.
        max_wait: Maximum time in seconds for which an entry may wait.
        initial_hold: Assumed hold time of a slot, in seconds, until the first
            one is measured.
        credit: Seconds of slot time by which a workspace that used less than
            its fair share of its class may be ahead of others.
    """

    max_waiting: int = 64
    max_wait: float = 10.0
    initial_hold: float = 0.005
    credit: float = 0.5


class AdmissionQueue:
    """Queue by class of work, then fair among workspaces.

    It is a ``SlotQueue``. Every method takes the monotonic time in seconds.

    Attributes:
        slots: Maximum number of entries that run concurrently.
    """

    def __init__(
        self,
        slots: int,
        settings: AdmissionSettings,
        random_unit: Callable[[], float],
    ) -> None:
        """Creates an empty queue.

        Args:
            slots: Maximum number of entries that run concurrently.
            settings: Limits of the queue.
            random_unit: Returns a random number from 0 to 1, which spreads
                the retry hints.
        """
        self.slots = slots
        self._settings = settings
        self._random_unit = random_unit
        self._order = ClassOrder()
        self._classes: dict[int, WorkClass] = {}
        self._waiting: dict[int, WaitingWork] = {}
        self._running: dict[int, WorkClass] = {}
        self._deadlines: list[tuple[float, int]] = []

    def enter(
        self,
        now: float,
        workspace: str,
        ticket: int,
        *,
        deadline: float = math.inf,
        key_id: str = "",
        work: Work = ROUTINE,
    ) -> list[QueueEffect]:
        """Adds an entry, or rejects it if its expected wait is too long.

        If the queue is full afterwards, the least urgent entry is rejected, of
        those whose class has more than an eighth of the places.

        Args:
            now: The time, in seconds.
            workspace: The workspace on whose behalf the entry runs.
            ticket: Identifies the entry; later entries have higher numbers.
            deadline: The time by which the entry must have started, in seconds.
            key_id: The ID of the key that the request carried.
            work: Its urgency.
        """
        entry = WaitingWork(ticket, workspace, key_id, work)
        deadline = min(deadline, now + self._settings.max_wait)
        excess = now + self.estimate_wait(now, workspace, work) - deadline
        if excess > 0:
            return [self._reject(entry, excess)]
        self._class(work.priority).add(entry)
        self._order.arrive(now, work.priority)
        self._waiting[ticket] = entry
        heapq.heappush(self._deadlines, (deadline, ticket))
        return [*self.tick(now), *self._reject_beyond_limit(now)]

    def leave(self, now: float, ticket: int) -> list[QueueEffect]:
        """Removes a waiting entry or releases the slot of a running one."""
        if ticket in self._waiting:
            self._remove(ticket)
        work_class = self._running.pop(ticket, None)
        if work_class is not None:
            work_class.finish(now, ticket)
        return self.tick(now)

    def withdraw(self, key_id: str) -> list[QueueEffect]:
        """Rejects all waiting entries of a withdrawn key."""
        tickets = [
            entry.ticket
            for entry in self._waiting.values()
            if entry.key_id == key_id
        ]
        for ticket in tickets:
            self._remove(ticket)
        kind = ErrorKind.UNAUTHENTICATED
        return [Reject(ticket=ticket, kind=kind) for ticket in tickets]

    def resize(self, now: float, slots: int) -> list[QueueEffect]:
        """Changes the number of slots. Running entries are not interrupted."""
        self.slots = slots
        return self.tick(now)

    def tick(self, now: float) -> list[QueueEffect]:
        """Rejects entries past their deadline and fills free slots."""
        return [*self._reject_expired(now), *self._start_waiting(now)]

    def waiting(self, workspace: str) -> int:
        """Returns the number of waiting entries of a workspace."""
        return sum(
            work_class.waiting_of(workspace)
            for work_class in self._classes.values()
        )

    @property
    def running(self) -> int:
        """The number of running entries."""
        return len(self._running)

    def estimate_wait(self, now: float, workspace: str, work: Work) -> float:
        """Estimates the seconds until a new entry would start.

        Sums the slot time of the entries that are served earlier: those of
        more urgent classes and some of its own class.

        Args:
            now: The time, in seconds.
            workspace: The workspace on whose behalf the entry would run.
            work: Its urgency.
        """
        if len(self._running) < self.slots and not self._waiting:
            return 0.0
        ahead = sum(
            work_class.waiting * work_class.average_hold
            for priority, work_class in self._classes.items()
            if priority < work.priority
        )
        own = self._class(work.priority)
        ahead += own.count_ahead(now, workspace, work) * own.average_hold
        return ahead / max(1, self.slots)

    def _class(self, priority: int) -> WorkClass:
        work_class = self._classes.get(priority)
        if work_class is None:
            work_class = WorkClass(
                self._settings.initial_hold, self._settings.credit
            )
            self._classes[priority] = work_class
        return work_class

    def _remove(self, ticket: int) -> WaitingWork:
        entry = self._waiting.pop(ticket)
        work_class = self._classes[entry.work.priority]
        work_class.remove(entry)
        if not work_class.waiting:
            self._order.leave(entry.work.priority)
        return entry

    def _start_waiting(self, now: float) -> Iterator[QueueEffect]:
        while self._waiting and len(self._running) < self.slots:
            priority = self._order.take(
                now,
                {
                    priority: work_class.target_latency
                    for priority, work_class in self._classes.items()
                    if work_class.waiting
                },
            )
            work_class = self._classes[priority]
            entry = work_class.start(now)
            del self._waiting[entry.ticket]
            if not work_class.waiting:
                self._order.leave(priority)
            self._running[entry.ticket] = work_class
            yield Start(ticket=entry.ticket)

    def _reject_expired(self, now: float) -> Iterator[QueueEffect]:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heapq.heappop(self._deadlines)
            if ticket in self._waiting:
                yield self._reject_waiting(now, ticket)

    def _reject_beyond_limit(self, now: float) -> Iterator[QueueEffect]:
        # A class keeps as large a part of the places as of the starts, since a
        # class without waiting entries gets no start.
        kept = self._settings.max_waiting // MAX_STARTS_BETWEEN
        while len(self._waiting) > self._settings.max_waiting:
            lowest = max(
                (work_class.waiting > kept, priority)
                for priority, work_class in self._classes.items()
                if work_class.waiting
            )[1]
            victim = self._classes[lowest].least_urgent()
            yield self._reject_waiting(now, victim.ticket)

    def _reject_waiting(self, now: float, ticket: int) -> Reject:
        """Rejects a waiting entry until the entries before it have run."""
        entry = self._remove(ticket)
        wait = self.estimate_wait(now, entry.workspace, entry.work)
        return self._reject(entry, wait)

    def _reject(self, entry: WaitingWork, seconds: float) -> Reject:
        """Rejects an entry with a hint that spreads the returning ones."""
        hold = self._class(entry.work.priority).average_hold
        return Reject(
            ticket=entry.ticket,
            kind=ErrorKind.OVERLOADED,
            retry_after=max(seconds, hold) * (1 + self._random_unit()),
        )
