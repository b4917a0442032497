"""The slots of a database, which calls and open transactions hold."""

import contextlib
from collections.abc import AsyncIterator, Callable

import trio


class Slots:
    """Gives each connection that works at most one slot, first come first."""

    def __init__(
        self, count: int, in_transaction: Callable[[int], bool]
    ) -> None:
        self._limiter = trio.CapacityLimiter(count)
        self._in_transaction = in_transaction
        self._holders: set[int] = set()
        self._busy: set[int] = set()

    @property
    def used(self) -> int:
        """How many slots are held."""
        return len(self._holders)

    @contextlib.asynccontextmanager
    async def use(self, conn_id: int) -> AsyncIterator[None]:
        """Holds a slot for a call; an open transaction keeps it after."""
        if conn_id not in self._holders:
            await self._limiter.acquire_on_behalf_of(conn_id)
            self._holders.add(conn_id)
        self._busy.add(conn_id)
        try:
            yield
        finally:
            self._busy.discard(conn_id)
            if not self._in_transaction(conn_id):
                self.release(conn_id)

    def release(self, conn_id: int) -> None:
        """Gives the connection's slot back, if it holds one."""
        if conn_id in self._holders:
            self._holders.discard(conn_id)
            self._limiter.release_on_behalf_of(conn_id)

    def release_ended(self) -> None:
        """Frees the slots of transactions that have ended."""
        for conn_id in self._holders - self._busy:
            if not self._in_transaction(conn_id):
                self.release(conn_id)
