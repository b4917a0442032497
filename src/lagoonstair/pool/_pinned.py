"""Open transactions, each on a connection of its own."""

import contextlib
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field

import msgspec
import trio

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.pool._lease import Lease
from lagoonstair.pool._pool import ConnectionPool
from lagoonstair.pool._table import (
    TransactionEnd,
    TransactionKey,
    TransactionTable,
)
from lagoonstair.ports import (
    Commit,
    EndpointRefusal,
    EndpointRefusedError,
    EndpointUnreachableError,
    Execute,
    ResultUnknownError,
    RunAnswer,
    Statement,
)

TICK_SECONDS = 0.5

STAYS_OPEN = frozenset(
    {
        EndpointRefusal.STATEMENT_FAILED,
        EndpointRefusal.BAD_REQUEST,
        EndpointRefusal.BUSY,
    }
)
"""Refusals of an ``Execute`` after which the transaction goes on."""


class _NotOpenError(Exception):
    """The transaction is not open, or no longer."""


@dataclass(slots=True)
class _Pin:
    """The connection of an open transaction.

    Attributes:
        lease: The connection.
        term: The term it was opened in, which all its calls name.
        turn: Lets its calls run one after another.
        scope: Cancels the ``Execute`` that runs.
        committing: Whether a commit runs, which is never cut short.
    """

    lease: Lease
    term: int
    turn: trio.Lock = field(default_factory=trio.Lock)
    scope: trio.CancelScope | None = None
    committing: bool = False


class PinnedTransactions:
    """The open transactions on one database.

    Each is pinned to a connection and open to the workspace and key that
    began it. A transaction that ends in any way but an answered commit or
    rollback has its connection closed, which rolls it back at the endpoint.

    Args:
        pool: The connections.
        limit: How many transactions may be open at once.
        idle_seconds: After how long without a call one is rolled back.
    """

    def __init__(
        self, pool: ConnectionPool, *, limit: int, idle_seconds: float
    ) -> None:
        self._pool = pool
        self._table = TransactionTable(limit=limit, idle_seconds=idle_seconds)
        self._pins: dict[TransactionKey, _Pin] = {}
        self._ended = trio.Event()

    @property
    def open_count(self) -> int:
        """How many transactions are open."""
        return self._table.open_count

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Ends idle transactions until cancelled, then all of them."""
        task_status.started()
        try:
            while True:
                for key in self._table.idle(trio.current_time()):
                    self._abort(key)
                await trio.sleep(TICK_SECONDS)
        finally:
            self.close_all()

    async def begin(self, key: TransactionKey, term: int) -> None:
        """Pins a connection; the endpoint learns of it with the first call.

        Raises:
            LagoonstairError: It may not begin.
            EndpointUnreachableError: There is no connection.
        """
        self._table.begin(key, trio.current_time())
        self._table.enter(key)
        try:
            lease = await self._pool.acquire()
        except BaseException:
            self._finish(key, TransactionEnd.ROLLED_BACK)
            raise
        if not self._table.is_open(key):
            self._pool.release(lease)
            raise _gone()
        self._pins[key] = _Pin(lease, term)
        self._table.leave(key, trio.current_time())

    async def execute(
        self, key: TransactionKey, statements: Sequence[Statement]
    ) -> RunAnswer:
        """Runs statements in the transaction.

        Raises:
            LagoonstairError: ``TRANSACTION_GONE``: it was rolled back, so
                these statements have no effect.
            EndpointRefusedError: The endpoint refused; nothing was run.
        """
        try:
            async with self._turn(key) as pin:
                call = Execute(
                    call_id=0,
                    term=pin.term,
                    workspace=key.workspace,
                    statements=tuple(statements),
                )
                with trio.CancelScope() as pin.scope:
                    return await self._execute(key, pin, call)
        except _NotOpenError as exc:
            raise _gone() from exc
        raise _gone()

    async def commit(
        self,
        key: TransactionKey,
        *,
        term: int,
        request_id: str | None = None,
        digest: str = "",
        primary: ConnectionPool | None = None,
    ) -> RunAnswer:
        """Commits the transaction.

        The transaction's id is its request id if the caller names none, so
        a repeated commit gets the first answer.

        Args:
            key: The transaction.
            term: The term now, in which to look for an earlier commit.
            request_id: The caller's request id.
            digest: The digest of the request.
            primary: Where to look for an earlier commit, if elsewhere.

        Raises:
            LagoonstairError: ``TRANSACTION_GONE``: it was rolled back.
                ``OUTCOME_UNKNOWN``: it is not open here, and an earlier
                commit may have been sent.
            EndpointRefusedError: The endpoint refused; nothing was run.
            ResultUnknownError: The commit was sent and not answered.
        """
        call = Commit(
            call_id=0,
            term=term,
            workspace=key.workspace,
            request_id=request_id or f"transaction/{key.transaction_id}",
            digest=digest,
        )
        try:
            async with self._turn(key) as pin:
                return await self._commit(key, pin, call)
        except _NotOpenError:
            return await self._find_commit(key, call, primary or self._pool)

    async def rollback(self, key: TransactionKey) -> None:
        """Rolls the transaction back.

        Its connection is closed if the endpoint doesn't confirm.

        Raises:
            LagoonstairError: ``TRANSACTION_GONE``: it is not open.
        """
        try:
            async with self._turn(key) as pin:
                self._finish(key, TransactionEnd.ROLLED_BACK)
                with contextlib.suppress(
                    EndpointRefusedError,
                    EndpointUnreachableError,
                    ResultUnknownError,
                ):
                    await pin.lease.rollback()
        except _NotOpenError as exc:
            raise _gone() from exc

    async def wait_ended(self, key: TransactionKey) -> None:
        """Waits until a transaction is not open any more."""
        while self._table.is_open(key):
            await self._ended.wait()

    def close_key(self, key_id: str) -> None:
        """Rolls back what a withdrawn key began; a sent commit goes on."""
        for key in self._table.open_transactions(key_id):
            self._abort(key)

    def close_all(self) -> None:
        """Rolls everything back; a sent commit goes on."""
        for key in self._table.open_transactions(None):
            self._abort(key)

    async def drain(self) -> None:
        """Begins no more and waits until all have ended."""
        self._table.draining = True
        while self._table.open_count:
            await self._ended.wait()

    async def _execute(
        self, key: TransactionKey, pin: _Pin, call: Execute
    ) -> RunAnswer:
        try:
            return await pin.lease.execute(call)
        except EndpointRefusedError as exc:
            if exc.refusal not in STAYS_OPEN:
                self._finish(key, TransactionEnd.ROLLED_BACK)
            raise
        except (EndpointUnreachableError, ResultUnknownError) as exc:
            self._finish(key, TransactionEnd.ROLLED_BACK)
            raise _gone() from exc
        except BaseException:
            self._finish(key, TransactionEnd.ROLLED_BACK)
            raise
        finally:
            pin.scope = None

    async def _commit(
        self, key: TransactionKey, pin: _Pin, call: Commit
    ) -> RunAnswer:
        pin.committing = True
        try:
            answer = await pin.lease.commit(
                msgspec.structs.replace(call, term=pin.term)
            )
        except EndpointRefusedError:
            self._finish(key, TransactionEnd.ROLLED_BACK)
            raise
        except EndpointUnreachableError as exc:
            self._finish(key, TransactionEnd.ROLLED_BACK)
            raise _gone() from exc
        except BaseException:
            self._finish(key, TransactionEnd.UNKNOWN)
            raise
        self._finish(key, TransactionEnd.COMMITTED)
        return answer

    async def _find_commit(
        self, key: TransactionKey, call: Commit, pool: ConnectionPool
    ) -> RunAnswer:
        if self._table.end_of(key) is TransactionEnd.ROLLED_BACK:
            raise _gone()
        try:
            async with pool.connection() as lease:
                return await lease.commit(call)
        except EndpointRefusedError as exc:
            if exc.refusal is EndpointRefusal.REQUEST_ID_REUSED:
                raise
            # That it is not there yet doesn't prove that it won't arrive.
            raise _unknown() from exc
        except (EndpointUnreachableError, ResultUnknownError) as exc:
            raise _unknown() from exc

    @contextlib.asynccontextmanager
    async def _turn(self, key: TransactionKey) -> AsyncIterator[_Pin]:
        pin = self._pins.get(key)
        if pin is None:
            raise _NotOpenError
        self._table.enter(key)
        try:
            async with pin.turn:
                if not self._table.is_open(key):
                    raise _NotOpenError
                try:
                    yield pin
                finally:
                    if not self._table.is_open(key):
                        self._pool.release(pin.lease)
        finally:
            self._table.leave(key, trio.current_time())

    def _abort(self, key: TransactionKey) -> None:
        """Ends a transaction from outside of its calls."""
        pin = self._pins.get(key)
        if pin is not None and pin.committing:
            return
        self._finish(key, TransactionEnd.ROLLED_BACK)
        if pin is None:
            return
        if pin.scope is not None:
            pin.scope.cancel()
        else:
            self._pool.release(pin.lease)

    def _finish(self, key: TransactionKey, how: TransactionEnd) -> None:
        if self._table.end(key, how):
            self._pins.pop(key, None)
            self._ended.set()
            self._ended = trio.Event()


def _gone() -> LagoonstairError:
    return LagoonstairError(
        ErrorKind.TRANSACTION_GONE, "the transaction was rolled back"
    )


def _unknown() -> LagoonstairError:
    return LagoonstairError(
        ErrorKind.OUTCOME_UNKNOWN, "an earlier commit may have been sent"
    )
