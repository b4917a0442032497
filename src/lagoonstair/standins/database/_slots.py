"""The execution slots of a database, held by calls and open transactions."""

import contextlib
from collections.abc import AsyncIterator, Callable

import trio


class Slots:
    """Limits how many connections work at once.

    A connection holds at most one slot, for a call or an open transaction.
    Slots are granted in the order of requests.
    """

    def __init__(
        self, count: int, in_transaction: Callable[[int], bool]
    ) -> None:
        self._limiter = trio.CapacityLimiter(count)
        self._in_transaction = in_transaction
        self._holders: set[int] = set()
        self._in_call: set[int] = set()

    @property
    def used(self) -> int:
        """The number of slots that are held."""
        return len(self._holders)

    @contextlib.asynccontextmanager
    async def use(self, conn_id: int) -> AsyncIterator[None]:
        """Holds a slot during a call, and beyond it in an open transaction."""
        if conn_id not in self._holders:
            await self._limiter.acquire_on_behalf_of(conn_id)
            self._holders.add(conn_id)
        self._in_call.add(conn_id)
        try:
            yield
        finally:
            self._in_call.discard(conn_id)
            if not self._in_transaction(conn_id):
                self.release(conn_id)

    def release(self, conn_id: int) -> None:
        """Releases the connection's slot, if it holds one."""
        if conn_id in self._holders:
            self._holders.discard(conn_id)
            self._limiter.release_on_behalf_of(conn_id)

    def release_ended(self) -> None:
        """Releases slots of connections without a call or a transaction."""
        for conn_id in self._holders - self._in_call:
            if not self._in_transaction(conn_id):
                self.release(conn_id)
