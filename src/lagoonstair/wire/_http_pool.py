"""Pool of HTTP client connections to one address."""

import contextlib
from collections.abc import AsyncIterator

import trio

from lagoonstair._types import Address
from lagoonstair.wire._http_client import HttpConnection, UnexpectedHook

IDLE_SECONDS = 60.0
"""Idle time (s) after which a connection is closed rather than reused.

It is shorter than the idle timeout of the servers, so that a request is rarely
sent on a connection that the server has just closed.
"""


class ConnectionPool:
    """A pool of connections to one address.

    Args:
        address: The server's address.
        size: Maximum number of connections in use at the same time.
        on_unexpected: Called when a connection receives bytes that can't
            belong to the response to a request.
    """

    def __init__(
        self,
        address: Address,
        *,
        size: int,
        on_unexpected: UnexpectedHook | None = None,
    ) -> None:
        self._address = address
        self._on_unexpected = on_unexpected
        self._semaphore = trio.Semaphore(size)
        self._idle: list[tuple[float, HttpConnection]] = []

    @contextlib.asynccontextmanager
    async def acquire(self) -> AsyncIterator[HttpConnection]:
        """Provides a connection for the duration of the context.

        Waits while ``size`` connections are in use. Afterwards the connection
        returns to the pool, or is closed if it is no longer usable.

        Raises:
            NotSentError: The connection could not be established.
        """
        async with self._semaphore:
            conn = self._take_idle()
            if conn is None:
                conn = await HttpConnection.open(
                    self._address, self._on_unexpected
                )
            try:
                yield conn
            finally:
                self._release(conn)

    def close(self) -> None:
        """Closes the idle connections; those in use stay open."""
        for _, conn in self._idle:
            conn.close()
        self._idle.clear()

    def _take_idle(self) -> HttpConnection | None:
        reusable_since = trio.current_time() - IDLE_SECONDS
        while self._idle:
            idle_since, conn = self._idle.pop()
            if idle_since > reusable_since and conn.usable:
                return conn
            conn.close()
        return None

    def _release(self, conn: HttpConnection) -> None:
        if conn.usable:
            self._idle.append((trio.current_time(), conn))
        else:
            conn.close()
