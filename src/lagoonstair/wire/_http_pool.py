"""A small pool of HTTP connections to one address."""

import contextlib
from collections.abc import AsyncIterator

import trio

from lagoonstair._types import Address
from lagoonstair.wire._http_client import HttpConnection

IDLE_SECONDS = 60.0
"""An idle connection is not reused after this time.

The time is shorter than servers keep an idle connection, so that a request
is rarely sent on a connection that the server has just closed.
"""


class ConnectionPool:
    """Lends connections, at most ``size`` at once."""

    def __init__(self, address: Address, *, size: int) -> None:
        self._address = address
        self._limiter = trio.Semaphore(size)
        self._idle: list[tuple[float, HttpConnection]] = []

    @contextlib.asynccontextmanager
    async def acquire(self) -> AsyncIterator[HttpConnection]:
        """Lends a connection; one that is unusable afterwards is closed.

        Raises:
            NotSentError: The address does not accept a connection.
        """
        async with self._limiter:
            conn = self._take_idle()
            if conn is None:
                conn = await HttpConnection.open(self._address)
            try:
                yield conn
            finally:
                self._give_back(conn)

    def close(self) -> None:
        """Closes the idle connections."""
        for _, conn in self._idle:
            conn.close()
        self._idle.clear()

    def _take_idle(self) -> HttpConnection | None:
        oldest = trio.current_time() - IDLE_SECONDS
        while self._idle:
            since, conn = self._idle.pop()
            if since > oldest:
                return conn
            conn.close()
        return None

    def _give_back(self, conn: HttpConnection) -> None:
        if conn.usable:
            self._idle.append((trio.current_time(), conn))
        else:
            conn.close()
