"""Waiting work of one class, fair among workspaces, without I/O."""

import bisect
import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from lagoonstair.queueing import Work

HOLD_AVERAGE_WEIGHT = 0.1
"""Weight (0 to 1) of the latest hold time in a class's moving average."""


@dataclass(frozen=True, slots=True)
class WaitingWork:
    """An entry that waits for a slot.

    Attributes:
        ticket: Identifies the entry; later entries have higher numbers.
        workspace: The workspace on whose behalf it runs.
        key_id: The ID of the key that the request carried.
        work: Its urgency.
    """

    ticket: int
    workspace: str
    key_id: str
    work: Work

    @property
    def rank(self) -> tuple[bool, float, int]:
        """Its order among the entries of its workspace and class."""
        work = self.work
        return (not work.in_transaction, work.target_at, self.ticket)


@dataclass(frozen=True, slots=True)
class _Running:
    workspace: str
    started: float
    charged: float


@dataclass(slots=True)
class _Flow:
    """A workspace's entries and its virtual time, in seconds of slot time."""

    virtual_time: float
    running: int = 0
    waiting: list[WaitingWork] = field(default_factory=list)


class WorkClass:
    """The entries of one priority; see ``FairQueue`` for the virtual time.

    Attributes:
        average_hold: Moving average of the time for which an entry of this
            class holds a slot, in seconds.
        target_latency: The target latency of the entry that came last, in
            seconds.
        waiting: The number of waiting entries.
    """

    def __init__(self, initial_hold: float, credit: float) -> None:
        """Creates a class without entries.

        Args:
            initial_hold: Assumed hold time of a slot, in seconds.
            credit: Seconds of slot time by which a workspace that used less
                than its fair share may be ahead of others, and by which open
                transactions may put one ahead.
        """
        self.average_hold = initial_hold
        self.target_latency = 0.0
        self.waiting = 0
        self._credit = credit
        self._virtual_time = 0.0
        self._flows: dict[str, _Flow] = {}
        self._running: dict[int, _Running] = {}

    def add(self, entry: WaitingWork) -> None:
        """Adds a waiting entry."""
        flow = self._flows.get(entry.workspace)
        if flow is None:
            flow = _Flow(self._virtual_time)
            self._flows[entry.workspace] = flow
        if not flow.waiting and not flow.running:
            floor = self._virtual_time - self._credit
            flow.virtual_time = max(flow.virtual_time, floor)
        bisect.insort(flow.waiting, entry, key=lambda other: other.rank)
        self.target_latency = entry.work.target_latency
        self.waiting += 1

    def remove(self, entry: WaitingWork) -> None:
        """Removes a waiting entry."""
        self._flows[entry.workspace].waiting.remove(entry)
        self.waiting -= 1

    def start(self, now: float) -> WaitingWork:
        """Removes the entry that is next and counts it as running."""
        waiting = [
            (self._virtual_time_of(now, name, flow), *flow.waiting[0].rank)
            for name, flow in self._flows.items()
            if flow.waiting
        ]
        lowest = min(waiting)
        # Open transactions go first, but never so far that a workspace with
        # many of them crowds out the others.
        limit = lowest[0] + self._credit
        chosen = min(
            (key for key in waiting if not key[1] and key[0] <= limit),
            default=lowest,
        )
        return self._start(now, virtual_time=chosen[0], ticket=chosen[-1])

    def finish(self, now: float, ticket: int) -> None:
        """Replaces an entry's estimated charge by the time it held its slot."""
        running = self._running.pop(ticket)
        flow = self._flows[running.workspace]
        held = now - running.started
        flow.running -= 1
        flow.virtual_time += held - running.charged
        self.average_hold += HOLD_AVERAGE_WEIGHT * (held - self.average_hold)

    def count_ahead(self, now: float, workspace: str, work: Work) -> int:
        """Returns how many entries are likely to start before a new one."""
        if work.in_transaction:
            return sum(entry.work.in_transaction for entry in self.entries())
        flow = self._flows.get(workspace)
        own = 0 if flow is None else len(flow.waiting)
        start = self._virtual_time - self._credit
        if flow is not None:
            start = max(start, self._virtual_time_of(now, workspace, flow))
        start += own * self.average_hold
        ahead = own
        for name, other in self._flows.items():
            if name == workspace or not other.waiting:
                continue
            lag = start - self._virtual_time_of(now, name, other)
            count = math.ceil(max(0.0, lag) / self.average_hold)
            ahead += min(len(other.waiting), count)
        return ahead

    def least_urgent(self) -> WaitingWork:
        """Returns the last entry of the workspace that waits with the most.

        Statements of open transactions come last: what their transaction has
        done would be lost.
        """
        return max(
            (
                not flow.waiting[-1].work.in_transaction,
                len(flow.waiting),
                flow.waiting[-1].rank,
                flow.waiting[-1],
            )
            for flow in self._flows.values()
            if flow.waiting
        )[-1]

    def entries(self) -> Iterator[WaitingWork]:
        """Returns all waiting entries."""
        for flow in self._flows.values():
            yield from flow.waiting

    def waiting_of(self, workspace: str) -> int:
        """Returns the number of waiting entries of a workspace."""
        flow = self._flows.get(workspace)
        return 0 if flow is None else len(flow.waiting)

    def _start(
        self, now: float, *, virtual_time: float, ticket: int
    ) -> WaitingWork:
        flow = next(
            flow
            for flow in self._flows.values()
            if flow.waiting and flow.waiting[0].ticket == ticket
        )
        entry = flow.waiting.pop(0)
        self.waiting -= 1
        self._virtual_time = max(self._virtual_time, virtual_time)
        flow.virtual_time += self.average_hold
        flow.running += 1
        self._running[ticket] = _Running(
            entry.workspace, now, self.average_hold
        )
        return entry

    def _virtual_time_of(
        self, now: float, workspace: str, flow: _Flow
    ) -> float:
        """Returns the virtual time plus uncharged time of running entries."""
        uncharged = sum(
            max(0.0, now - run.started - run.charged)
            for run in self._running.values()
            if run.workspace == workspace
        )
        return flow.virtual_time + uncharged
