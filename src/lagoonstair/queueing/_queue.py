"""A fair queue of workspaces for the slots of one database; pure."""

import heapq
import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from lagoonstair.exceptions import ErrorKind

HOLD_WEIGHT = 0.1
"""Weight of the latest hold in a workspace's average hold."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueSettings:
    """Bounds of a queue.

    Attributes:
        max_waiting: Entries of one workspace that may wait.
        max_wait: Seconds that an entry may wait.
        initial_hold: Seconds a slot is taken to be held before any was.
        idle_seconds: After how long an idle workspace is forgotten.
        credit: Seconds of slots by which a workspace that used less than its
            fair share may go before others.
    """

    max_waiting: int = 256
    max_wait: float = 2.0
    initial_hold: float = 0.005
    idle_seconds: float = 1.0
    credit: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """Gives the entry of a ticket a slot."""

    ticket: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Reject:
    """Removes an entry that did not run.

    Attributes:
        ticket: The entry's ticket.
        kind: ``OVERLOADED``, or ``UNAUTHENTICATED`` for a withdrawn key.
        retry_after: Seconds after which the queue is likely short enough.
    """

    ticket: int
    kind: ErrorKind
    retry_after: float | None = None


QueueEffect = Start | Reject


@dataclass(frozen=True, slots=True)
class _Entry:
    ticket: int
    key_id: str


@dataclass(frozen=True, slots=True)
class _Running:
    workspace: str
    started: float
    charged: float


@dataclass(slots=True)
class _Flow:
    """One workspace's entries and its virtual time (seconds of slots)."""

    hold: float
    virtual: float = 0.0
    seen: float = float("-inf")
    running: int = 0
    waiting: OrderedDict[int, _Entry] = field(default_factory=OrderedDict)


class FairQueue:
    """Start-time fair queueing: slots go to who has used the least.

    Each workspace has a virtual time, which grows by the time for which it
    held slots. A free slot goes to the waiting workspace with the least;
    inside a workspace the first come is the first served. A workspace that
    comes back from idleness starts at most ``QueueSettings.credit`` behind
    the virtual time of the queue, so that it saves up no more.

    Every method takes the monotonic time in seconds.

    Attributes:
        slots: How many entries may run at once.
    """

    def __init__(self, slots: int, settings: QueueSettings) -> None:
        self.slots = slots
        self._settings = settings
        self._virtual = 0.0
        self._flows: dict[str, _Flow] = {}
        self._running: dict[int, _Running] = {}
        self._where: dict[int, str] = {}
        self._deadlines: list[tuple[float, int]] = []

    def enter(
        self,
        now: float,
        workspace: str,
        ticket: int,
        *,
        deadline: float = math.inf,
        key_id: str = "",
    ) -> list[QueueEffect]:
        """Adds an entry, or rejects it when it would wait too long.

        Args:
            now: The time.
            workspace: On whose behalf the entry runs.
            ticket: Names the entry; never used again.
            deadline: When the entry must have started.
            key_id: The key that came with the request.
        """
        flow = self._flow(workspace)
        if not flow.waiting and not flow.running:
            floor = self._virtual - self._settings.credit
            flow.virtual = max(flow.virtual, floor)
        flow.seen = now
        deadline = min(deadline, now + self._settings.max_wait)
        wait = self._estimate_wait(now, workspace, flow)
        if now + wait > deadline:
            return [self._reject(ticket, flow, now + wait - deadline)]
        if len(flow.waiting) >= self._settings.max_waiting:
            return [self._reject(ticket, flow, flow.hold)]
        flow.waiting[ticket] = _Entry(ticket, key_id)
        self._where[ticket] = workspace
        heapq.heappush(self._deadlines, (deadline, ticket))
        return self.tick(now)

    def leave(self, now: float, ticket: int) -> list[QueueEffect]:
        """Ends an entry: frees its slot, or takes it out of the queue."""
        workspace = self._where.pop(ticket, None)
        if workspace is not None:
            del self._flows[workspace].waiting[ticket]
        running = self._running.pop(ticket, None)
        if running is not None:
            self._charge(now, running)
        return self.tick(now)

    def withdraw(self, key_id: str) -> list[QueueEffect]:
        """Rejects all waiting entries of a withdrawn key."""
        tickets = [
            entry.ticket
            for flow in self._flows.values()
            for entry in flow.waiting.values()
            if entry.key_id == key_id
        ]
        for ticket in tickets:
            del self._flows[self._where.pop(ticket)].waiting[ticket]
        kind = ErrorKind.UNAUTHENTICATED
        return [Reject(ticket=ticket, kind=kind) for ticket in tickets]

    def resize(self, now: float, slots: int) -> list[QueueEffect]:
        """Changes the number of slots; running entries run on."""
        self.slots = slots
        return self.tick(now)

    def tick(self, now: float) -> list[QueueEffect]:
        """Rejects entries past their deadline and fills free slots."""
        return [*self._reject_late(now), *self._start(now)]

    def prune(self, now: float) -> None:
        """Drops workspaces that have been idle and owe nothing."""
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.waiting
            or flow.running
            or flow.virtual > self._virtual
            or now - flow.seen < self._settings.idle_seconds
        }

    def waiting(self, workspace: str) -> int:
        """How many entries of a workspace wait."""
        flow = self._flows.get(workspace)
        return 0 if flow is None else len(flow.waiting)

    @property
    def running(self) -> int:
        """How many entries run."""
        return len(self._running)

    def _flow(self, workspace: str) -> _Flow:
        flow = self._flows.get(workspace)
        if flow is None:
            flow = _Flow(self._settings.initial_hold, self._virtual)
            self._flows[workspace] = flow
        return flow

    def _start(self, now: float) -> Iterator[QueueEffect]:
        while len(self._running) < self.slots:
            candidates = [
                (self._virtual_of(now, name, flow), name)
                for name, flow in self._flows.items()
                if flow.waiting
            ]
            if not candidates:
                return
            virtual, name = min(candidates)
            flow = self._flows[name]
            ticket, _ = flow.waiting.popitem(last=False)
            del self._where[ticket]
            self._virtual = max(self._virtual, virtual)
            flow.virtual += flow.hold
            flow.running += 1
            self._running[ticket] = _Running(name, now, flow.hold)
            yield Start(ticket=ticket)

    def _virtual_of(self, now: float, workspace: str, flow: _Flow) -> float:
        """The virtual time, with what running entries owe already."""
        owed = sum(
            max(0.0, now - run.started - run.charged)
            for run in self._running.values()
            if run.workspace == workspace
        )
        return flow.virtual + owed

    def _charge(self, now: float, running: _Running) -> None:
        """Corrects the charge of an entry by the time it held its slot."""
        flow = self._flows[running.workspace]
        held = now - running.started
        flow.running -= 1
        flow.virtual += held - running.charged
        flow.hold += HOLD_WEIGHT * (held - flow.hold)

    def _estimate_wait(self, now: float, workspace: str, flow: _Flow) -> float:
        """Seconds of slots that go to others and to its own before it."""
        if len(self._running) < self.slots and not flow.waiting:
            return 0.0
        own = len(flow.waiting)
        start = self._virtual_of(now, workspace, flow) + own * flow.hold
        ahead = own * flow.hold
        for name, other in self._flows.items():
            if name == workspace or not other.waiting:
                continue
            lag = start - self._virtual_of(now, name, other)
            count = min(len(other.waiting), math.ceil(max(0, lag) / other.hold))
            ahead += count * other.hold
        return ahead / max(1, self.slots)

    def _reject_late(self, now: float) -> Iterator[QueueEffect]:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heapq.heappop(self._deadlines)
            workspace = self._where.pop(ticket, None)
            if workspace is not None:
                flow = self._flows[workspace]
                del flow.waiting[ticket]
                yield self._reject(ticket, flow, flow.hold)

    def _reject(self, ticket: int, flow: _Flow, seconds: float) -> Reject:
        return Reject(
            ticket=ticket,
            kind=ErrorKind.OVERLOADED,
            retry_after=max(seconds, flow.hold),
        )
