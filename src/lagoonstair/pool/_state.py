"""Decides who gets which connection and when to open or close one.

Pure: connections and waiters are numbers, and time is passed in.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolLimits:
    """What the pool of one database may use.

    Attributes:
        connections: The most connections that it has open or opens.
        warm: How many idle connections it keeps ready.
        idle_seconds: After how long an idle connection above ``warm`` is
            closed.
        open_seconds: How long opening may take.
        retry_seconds: How long after a failed opening it waits before it
            opens another for nobody in particular.
    """

    connections: int
    min_idle: int = 1
    idle_seconds: float = 60.0
    open_seconds: float = 2.0
    retry_seconds: float = 1.0


@dataclass(frozen=True, slots=True)
class Open:
    """Open another connection."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Hand a connection to a waiter."""

    waiter: int
    conn: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close a connection."""

    conn: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Tell a waiter that no connection could be opened."""

    waiter: int


Effect = Open | Grant | Close | Fail


class PoolStatus(NamedTuple):
    """Counts of a pool.

    Attributes:
        idle: Connections that wait for work.
        used: Connections that are lent.
        opening: Connections that are being opened.
        waiting: Callers that wait for a connection.
    """

    idle: int
    used: int
    opening: int
    waiting: int


class PoolState:
    """The connections of one database and who waits for them."""

    def __init__(self, limits: PoolLimits) -> None:
        self._limits = limits
        self._idle: OrderedDict[int, float] = OrderedDict()
        self._used: set[int] = set()
        self._opening = 0
        self._waiting: deque[int] = deque()
        self._open_after = float("-inf")
        self._closed = False

    @property
    def status(self) -> PoolStatus:
        """Counts what there is."""
        return PoolStatus(
            len(self._idle), len(self._used), self._opening, len(self._waiting)
        )

    def acquire(self, waiter: int, now: float) -> list[Effect]:
        """A caller asks for a connection."""
        if self._closed:
            return [Fail(waiter)]
        self._waiting.append(waiter)
        return self._settle(now)

    def cancel(self, waiter: int) -> None:
        """A caller no longer waits."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def release(self, conn: int, now: float, *, reusable: bool) -> list[Effect]:
        """A caller gives a connection back."""
        self._used.discard(conn)
        if self._closed or not reusable:
            return [Close(conn), *self._settle(now)]
        self._idle[conn] = now
        return self._settle(now)

    def opened(self, conn: int, now: float) -> list[Effect]:
        """A connection was opened."""
        self._opening -= 1
        if self._closed:
            return [Close(conn)]
        self._open_after = float("-inf")
        self._idle[conn] = now
        return self._settle(now)

    def failed(self, now: float) -> list[Effect]:
        """A connection could not be opened.

        While some are lent, those who wait may still get one of them.
        """
        self._opening -= 1
        self._open_after = now + self._limits.retry_seconds
        effects: list[Effect] = []
        if not self._used and len(self._waiting) > self._opening:
            effects.append(Fail(self._waiting.popleft()))
        return effects + self._settle(now)

    def tick(self, now: float) -> list[Effect]:
        """Closes what was idle for long and warms what is missing."""
        oldest = now - self._limits.idle_seconds
        spare = max(0, len(self._idle) - self._limits.min_idle)
        stale = [c for c, since in self._idle.items() if since <= oldest]
        closing = stale[:spare]
        for conn in closing:
            del self._idle[conn]
        return [*map(Close, closing), *self._settle(now)]

    def close(self) -> list[Effect]:
        """Closes the idle connections and lends no more."""
        self._closed = True
        effects: list[Effect] = [
            *map(Close, self._idle),
            *map(Fail, self._waiting),
        ]
        self._idle.clear()
        self._waiting.clear()
        return effects

    def _settle(self, now: float) -> list[Effect]:
        if self._closed:
            return []
        effects: list[Effect] = []
        while self._waiting and self._idle:
            # The one used last, so that the others can grow old.
            conn, _ = self._idle.popitem()
            self._used.add(conn)
            effects.append(Grant(self._waiting.popleft(), conn))
        opens = self._wanted(now) - self._opening
        room = self._limits.connections - self._total()
        count = max(0, min(opens, room))
        self._opening += count
        return effects + [Open()] * count

    def _wanted(self, now: float) -> int:
        backs_off = now < self._open_after
        if backs_off and self._used:
            return 0
        min_idle = max(0, self._limits.min_idle - len(self._idle))
        return len(self._waiting) + (0 if backs_off else min_idle)

    def _total(self) -> int:
        return len(self._idle) + len(self._used) + self._opening
