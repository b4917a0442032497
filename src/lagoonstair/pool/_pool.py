"""I/O layer of the connection pool of one database."""

import contextlib
import itertools
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field

import trio

from lagoonstair.pool._lease import Lease
from lagoonstair.pool._state import (
    Close,
    Effect,
    Fail,
    Grant,
    Open,
    PoolLimits,
    PoolState,
    PoolStatus,
)
from lagoonstair.ports import (
    Endpoint,
    EndpointConnection,
    EndpointRefusedError,
    EndpointUnreachableError,
    ResultUnknownError,
)

MAINTENANCE_INTERVAL_SECONDS = 1.0
"""Interval in seconds at which idle connections are closed or opened."""

OPEN_ERRORS = (
    EndpointRefusedError,
    EndpointUnreachableError,
    ResultUnknownError,
    trio.TooSlowError,
)


@dataclass(slots=True)
class _Waiter:
    """A caller that waits for a connection.

    Attributes:
        done: Set when the wait is over.
        conn_id: The connection that was granted; ``None`` if none was.
    """

    done: trio.Event = field(default_factory=trio.Event)
    conn_id: int | None = None


class ConnectionPool:
    """Lends each connection to one caller at a time.

    A connection is closed and never lent again after a timeout, a
    cancellation or an answer that belongs to another call.

    Args:
        endpoint: The client of the database.
        limits: The limits of the pool.
    """

    def __init__(self, endpoint: Endpoint, limits: PoolLimits) -> None:
        self._endpoint = endpoint
        self._limits = limits
        self._state = PoolState(limits)
        self._conns: dict[int, EndpointConnection] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._conn_ids = itertools.count(1)
        self._waiter_ids = itertools.count(1)
        self._nursery: trio.Nursery | None = None
        self._last_error = ""

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Opens and closes connections until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                task_status.started()
                while True:
                    self._perform(self._state.tick(trio.current_time()))
                    await trio.sleep(MAINTENANCE_INTERVAL_SECONDS)
        finally:
            self._nursery = None
            self.close()

    def status(self) -> PoolStatus:
        """Returns the numbers of connections and waiting callers."""
        return self._state.status

    def close(self) -> None:
        """Closes the pool; lent connections are closed when returned."""
        self._perform(self._state.close())

    @contextlib.asynccontextmanager
    async def connection(self) -> AsyncIterator[Lease]:
        """Lends a connection for the duration of a block.

        Raises:
            EndpointUnreachableError: No connection could be opened; nothing
                was sent.
        """
        lease = await self.acquire()
        try:
            yield lease
        finally:
            self.release(lease)

    async def acquire(self) -> Lease:
        """Waits for a connection, which the caller must release.

        Raises:
            EndpointUnreachableError: No connection could be opened; nothing
                was sent.
        """
        waiter_id = next(self._waiter_ids)
        waiter = self._waiters[waiter_id] = _Waiter()
        self._perform(self._state.acquire(waiter_id, trio.current_time()))
        try:
            await waiter.done.wait()
        except BaseException:
            self._cancel_waiter(waiter_id, waiter)
            raise
        finally:
            del self._waiters[waiter_id]
        if waiter.conn_id is None:
            raise EndpointUnreachableError(self._last_error)
        return Lease(self._conns[waiter.conn_id], waiter.conn_id)

    def release(self, lease: Lease) -> None:
        """Returns a connection to the pool and ends its lease."""
        lease.revoke()
        if not lease.reusable:
            lease.close()
        self._give_back(lease.conn_id, reusable=lease.reusable)

    def _cancel_waiter(self, waiter_id: int, waiter: _Waiter) -> None:
        self._state.cancel(waiter_id)
        if waiter.conn_id is not None:
            self._give_back(waiter.conn_id, reusable=True)

    def _give_back(self, conn_id: int, *, reusable: bool) -> None:
        now = trio.current_time()
        self._perform(self._state.release(conn_id, now, reusable=reusable))

    def _perform(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case Grant(waiter, conn):
                    self._waiters[waiter].conn_id = conn
                    self._waiters[waiter].done.set()
                case Fail(waiter):
                    self._waiters[waiter].done.set()
                case Close(conn):
                    self._conns.pop(conn).close()
                case Open():
                    self._start_opening()

    def _start_opening(self) -> None:
        if self._nursery is None:
            self._last_error = "the connection pool is not running"
            self._perform(self._state.failed(trio.current_time()))
            return
        self._nursery.start_soon(self._open)

    async def _open(self) -> None:
        try:
            with trio.fail_after(self._limits.open_seconds):
                conn = await self._endpoint.connect()
        except OPEN_ERRORS as exc:
            self._last_error = str(exc) or "opening a connection took too long"
            self._perform(self._state.failed(trio.current_time()))
            return
        conn_id = next(self._conn_ids)
        self._conns[conn_id] = conn
        self._perform(self._state.opened(conn_id, trio.current_time()))
