"""Fair queue of workspaces for the slots of one database, without I/O."""

import heapq
import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from lagoonstair.exceptions import ErrorKind

HOLD_AVERAGE_WEIGHT = 0.1
"""Weight (0 to 1) of the latest hold time in a workspace's moving average."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueSettings:
    """Limits of a queue.

    Attributes:
        max_waiting: Maximum number of waiting entries per workspace.
        max_wait: Maximum time in seconds for which an entry may wait.
        initial_hold: Assumed hold time of a slot, in seconds, until the first
            one is measured.
        idle_seconds: Seconds after which an idle workspace is forgotten.
        credit: Seconds of slot time by which a workspace that used less than
            its fair share may be ahead of others.
    """

    max_waiting: int = 256
    max_wait: float = 2.0
    initial_hold: float = 0.005
    idle_seconds: float = 1.0
    credit: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """Assigns a slot to the entry of a ticket."""

    ticket: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Reject:
    """Removes an entry that didn't run.

    Attributes:
        ticket: The entry's ticket.
        kind: ``OVERLOADED``, or ``UNAUTHENTICATED`` for a withdrawn key.
        retry_after: Seconds until the queue is likely to be short enough.
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
    """A workspace's entries and its virtual time, in seconds of slot time."""

    average_hold: float
    virtual_time: float = 0.0
    last_active_at: float = float("-inf")
    running: int = 0
    waiting: OrderedDict[int, _Entry] = field(default_factory=OrderedDict)


class FairQueue:
    """Start-time fair queue: slots go to the workspace that has used the least.

    Each workspace has a virtual time, which advances by the time for which it
    held slots. A free slot goes to the waiting workspace with the lowest
    virtual time. Entries of one workspace are served in FIFO order. A
    workspace that returns from idleness starts at most
    ``QueueSettings.credit`` behind the virtual time of the queue, which
    bounds the advantage that it accumulates while idle.

    Every method takes the monotonic time in seconds.

    Attributes:
        slots: Maximum number of entries that run concurrently.
    """

    def __init__(self, slots: int, settings: QueueSettings) -> None:
        self.slots = slots
        self._settings = settings
        self._virtual_time = 0.0
        self._flows: dict[str, _Flow] = {}
        self._running: dict[int, _Running] = {}
        self._workspace_by_ticket: dict[int, str] = {}
        self._deadlines: list[tuple[float, int]] = []

    def enter(
        self,
        now: float,
        workspace: str,
        ticket: int,
        *,
        deadline: float = math.inf,
        key_id: str = "",
        work: object = None,
    ) -> list[QueueEffect]:
        """Adds an entry, or rejects it if its expected wait is too long.

        Args:
            now: The time, in seconds.
            workspace: The workspace on whose behalf the entry runs.
            ticket: Identifies the entry; must not be reused.
            deadline: The time by which the entry must have started, in seconds.
            key_id: The ID of the key that the request carried.
            work: Ignored; all classes of work are served alike.
        """
        flow = self._flow(workspace)
        if not flow.waiting and not flow.running:
            floor = self._virtual_time - self._settings.credit
            flow.virtual_time = max(flow.virtual_time, floor)
        flow.last_active_at = now
        deadline = min(deadline, now + self._settings.max_wait)
        wait = self._estimate_wait(now, workspace, flow)
        if now + wait > deadline:
            return [self._reject(ticket, flow, now + wait - deadline)]
        if len(flow.waiting) >= self._settings.max_waiting:
            return [self._reject(ticket, flow, flow.average_hold)]
        flow.waiting[ticket] = _Entry(ticket, key_id)
        self._workspace_by_ticket[ticket] = workspace
        heapq.heappush(self._deadlines, (deadline, ticket))
        return self.tick(now)

    def leave(self, now: float, ticket: int) -> list[QueueEffect]:
        """Removes a waiting entry or releases the slot of a running one."""
        workspace = self._workspace_by_ticket.pop(ticket, None)
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
            del self._flows[self._workspace_by_ticket.pop(ticket)].waiting[
                ticket
            ]
        kind = ErrorKind.UNAUTHENTICATED
        return [Reject(ticket=ticket, kind=kind) for ticket in tickets]

    def resize(self, now: float, slots: int) -> list[QueueEffect]:
        """Changes the number of slots. Running entries are not interrupted."""
        self.slots = slots
        return self.tick(now)

    def tick(self, now: float) -> list[QueueEffect]:
        """Rejects entries past their deadline and fills free slots."""
        return [*self._reject_expired(now), *self._start_waiting(now)]

    def prune(self, now: float) -> None:
        """Drops idle workspaces whose virtual time is not past the queue's.

        A dropped workspace starts again at the queue's virtual time, so one
        with a later virtual time is kept and not relieved of the difference.
        """
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.waiting
            or flow.running
            or flow.virtual_time > self._virtual_time
            or now - flow.last_active_at < self._settings.idle_seconds
        }

    def waiting(self, workspace: str) -> int:
        """Returns the number of waiting entries of a workspace."""
        flow = self._flows.get(workspace)
        return 0 if flow is None else len(flow.waiting)

    @property
    def running(self) -> int:
        """The number of running entries."""
        return len(self._running)

    def _flow(self, workspace: str) -> _Flow:
        flow = self._flows.get(workspace)
        if flow is None:
            flow = _Flow(self._settings.initial_hold, self._virtual_time)
            self._flows[workspace] = flow
        return flow

    def _start_waiting(self, now: float) -> Iterator[QueueEffect]:
        while len(self._running) < self.slots:
            candidates = [
                (self._virtual_time_of(now, name, flow), name)
                for name, flow in self._flows.items()
                if flow.waiting
            ]
            if not candidates:
                return
            virtual_time, name = min(candidates)
            flow = self._flows[name]
            ticket, _ = flow.waiting.popitem(last=False)
            del self._workspace_by_ticket[ticket]
            self._virtual_time = max(self._virtual_time, virtual_time)
            flow.virtual_time += flow.average_hold
            flow.running += 1
            self._running[ticket] = _Running(name, now, flow.average_hold)
            yield Start(ticket=ticket)

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

    def _charge(self, now: float, running: _Running) -> None:
        """Replaces an entry's estimated charge by the time it held its slot."""
        flow = self._flows[running.workspace]
        held = now - running.started
        flow.running -= 1
        flow.virtual_time += held - running.charged
        flow.average_hold += HOLD_AVERAGE_WEIGHT * (held - flow.average_hold)

    def _estimate_wait(self, now: float, workspace: str, flow: _Flow) -> float:
        """Estimates the seconds until a new entry of the workspace starts.

        Sums the slot time of the entries that are served earlier, both of other
        workspaces and its own, and divides it by the number of slots.
        """
        if len(self._running) < self.slots and not flow.waiting:
            return 0.0
        own = len(flow.waiting)
        start = (
            self._virtual_time_of(now, workspace, flow)
            + own * flow.average_hold
        )
        ahead = own * flow.average_hold
        for name, other in self._flows.items():
            if name == workspace or not other.waiting:
                continue
            lag = start - self._virtual_time_of(now, name, other)
            count = min(
                len(other.waiting), math.ceil(max(0, lag) / other.average_hold)
            )
            ahead += count * other.average_hold
        return ahead / max(1, self.slots)

    def _reject_expired(self, now: float) -> Iterator[QueueEffect]:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heapq.heappop(self._deadlines)
            workspace = self._workspace_by_ticket.pop(ticket, None)
            if workspace is not None:
                flow = self._flows[workspace]
                del flow.waiting[ticket]
                yield self._reject(ticket, flow, flow.average_hold)

    def _reject(self, ticket: int, flow: _Flow, seconds: float) -> Reject:
        return Reject(
            ticket=ticket,
            kind=ErrorKind.OVERLOADED,
            retry_after=max(seconds, flow.average_hold),
        )
