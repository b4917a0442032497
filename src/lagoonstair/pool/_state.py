"""Decision logic of the connection pool, without I/O.

It decides which caller gets which connection and when connections are opened
or closed. Connections and waiting callers are numbers; the time is passed in.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolLimits:
    """The limits of the connection pool of one database.

    Attributes:
        connections: The maximum number of connections, including those that
            are being opened.
        min_idle: The number of idle connections that are kept ready.
        idle_seconds: The time in seconds after which an idle connection in
            excess of ``min_idle`` is closed.
        open_seconds: The maximum time in seconds to open a connection.
        retry_seconds: The time in seconds after a failed attempt before
            another connection is opened without a waiting caller.
    """

    connections: int
    min_idle: int = 1
    idle_seconds: float = 60.0
    open_seconds: float = 2.0
    retry_seconds: float = 1.0


@dataclass(frozen=True, slots=True)
class Open:
    """Opens another connection."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Grants a connection to a waiting caller."""

    waiter: int
    conn: int


@dataclass(frozen=True, slots=True)
class Close:
    """Closes a connection."""

    conn: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Tells a waiting caller that no connection could be opened."""

    waiter: int


Effect = Open | Grant | Close | Fail


class PoolStatus(NamedTuple):
    """Numbers of connections and callers of a pool.

    Attributes:
        idle: The number of connections that are not in use.
        used: The number of connections that are lent.
        opening: The number of connections that are being opened.
        waiting: The number of callers that wait for a connection.
    """

    idle: int
    used: int
    opening: int
    waiting: int


class PoolState:
    """The connections to one database and the callers that wait for them.

    Each method returns the actions that the caller has to perform. All times
    are in seconds of one clock.

    Args:
        limits: The limits of the pool.
    """

    def __init__(self, limits: PoolLimits) -> None:
        self._limits = limits
        self._idle: OrderedDict[int, float] = OrderedDict()
        self._used: set[int] = set()
        self._opening = 0
        self._waiting: deque[int] = deque()
        self._backoff_until = float("-inf")
        self._closed = False

    @property
    def status(self) -> PoolStatus:
        """The numbers of connections and waiting callers."""
        return PoolStatus(
            len(self._idle), len(self._used), self._opening, len(self._waiting)
        )

    def acquire(self, waiter: int, now: float) -> list[Effect]:
        """Handles the request of a caller for a connection."""
        if self._closed:
            return [Fail(waiter)]
        self._waiting.append(waiter)
        return self._assign_and_open(now)

    def cancel(self, waiter: int) -> None:
        """Handles the cancellation of a waiting caller."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def release(self, conn: int, now: float, *, reusable: bool) -> list[Effect]:
        """Handles the return of a connection.

        Args:
            conn: The connection.
            now: The current time.
            reusable: Whether the connection may be lent again.
        """
        self._used.discard(conn)
        if self._closed or not reusable:
            return [Close(conn), *self._assign_and_open(now)]
        self._idle[conn] = now
        return self._assign_and_open(now)

    def opened(self, conn: int, now: float) -> list[Effect]:
        """Handles a newly opened connection."""
        self._opening -= 1
        if self._closed:
            return [Close(conn)]
        self._backoff_until = float("-inf")
        self._idle[conn] = now
        return self._assign_and_open(now)

    def failed(self, now: float) -> list[Effect]:
        """Handles a failed attempt to open a connection.

        No waiting caller fails while connections are lent, as it may still get
        one of those.
        """
        self._opening -= 1
        self._backoff_until = now + self._limits.retry_seconds
        effects: list[Effect] = []
        if not self._used and len(self._waiting) > self._opening:
            effects.append(Fail(self._waiting.popleft()))
        return effects + self._assign_and_open(now)

    def tick(self, now: float) -> list[Effect]:
        """Closes excess idle connections and opens missing ones."""
        oldest = now - self._limits.idle_seconds
        excess = max(0, len(self._idle) - self._limits.min_idle)
        expired = [c for c, since in self._idle.items() if since <= oldest]
        closing = expired[:excess]
        for conn in closing:
            del self._idle[conn]
        return [*map(Close, closing), *self._assign_and_open(now)]

    def close(self) -> list[Effect]:
        """Closes idle connections and fails the waiting callers.

        From then on no connection is lent and returned ones are closed.
        """
        self._closed = True
        effects: list[Effect] = [
            *map(Close, self._idle),
            *map(Fail, self._waiting),
        ]
        self._idle.clear()
        self._waiting.clear()
        return effects

    def _assign_and_open(self, now: float) -> list[Effect]:
        if self._closed:
            return []
        effects: list[Effect] = []
        while self._waiting and self._idle:
            # The most recently used one, so that the others reach the idle
            # limit and can be closed.
            conn, _ = self._idle.popitem()
            self._used.add(conn)
            effects.append(Grant(self._waiting.popleft(), conn))
        missing = self._openings_wanted(now) - self._opening
        capacity_left = self._limits.connections - self._total()
        count = max(0, min(missing, capacity_left))
        self._opening += count
        return effects + [Open()] * count

    def _openings_wanted(self, now: float) -> int:
        backing_off = now < self._backoff_until
        if backing_off and self._used:
            return 0
        missing_idle = max(0, self._limits.min_idle - len(self._idle))
        return len(self._waiting) + (0 if backing_off else missing_idle)

    def _total(self) -> int:
        return len(self._idle) + len(self._used) + self._opening
