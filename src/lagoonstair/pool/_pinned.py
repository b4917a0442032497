"""Interactive transactions, each pinned to its own connection."""

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

IDLE_CHECK_SECONDS = 0.5
"""Interval in seconds at which idle transactions are looked for."""

NON_FATAL_REFUSALS = frozenset(
    {
        EndpointRefusal.STATEMENT_FAILED,
        EndpointRefusal.BAD_REQUEST,
        EndpointRefusal.BUSY,
    }
)
"""Refusals of an ``Execute`` after which the transaction stays open."""


class _TransactionNotOpenError(Exception):
    """The transaction was never begun or has ended."""


@dataclass(slots=True)
class _Pin:
    """The connection of an open transaction.

    Attributes:
        lease: The lease of the connection.
        term: The term in which the transaction began; all its calls name it.
        lock: Serializes the calls of the transaction.
        call_scope: Cancels the ``Execute`` in progress; ``None`` if there is
            none.
        committing: Whether a commit has started; it is never cancelled.
    """

    lease: Lease
    term: int
    lock: trio.Lock = field(default_factory=trio.Lock)
    call_scope: trio.CancelScope | None = None
    committing: bool = False


class PinnedTransactions:
    """The open transactions on one database.

    Each transaction is pinned to one connection and accessible only to the
    workspace and key that began it. If a transaction ends in any other way
    than by an answered commit or rollback, its connection is closed, which
    rolls it back at the endpoint.

    Args:
        pool: The pool of the database's connections.
        limit: The maximum number of open transactions.
        idle_seconds: The time in seconds without a call after which a
            transaction is rolled back.
    """

    def __init__(
        self, pool: ConnectionPool, *, limit: int, idle_seconds: float
    ) -> None:
        self._pool = pool
        self._table = TransactionTable(limit=limit, idle_seconds=idle_seconds)
        self._pins: dict[TransactionKey, _Pin] = {}
        self._any_ended = trio.Event()

    @property
    def open_count(self) -> int:
        """The number of open transactions."""
        return self._table.open_count

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Rolls back idle transactions until cancelled, then all of them."""
        task_status.started()
        try:
            while True:
                for key in self._table.idle_transactions(trio.current_time()):
                    self._abort(key)
                await trio.sleep(IDLE_CHECK_SECONDS)
        finally:
            self.close_all()

    async def begin(self, key: TransactionKey, term: int) -> None:
        """Begins a transaction and pins a connection to it.

        The endpoint opens the transaction with the first call.

        Args:
            key: The new transaction and its owner.
            term: The term that all calls of the transaction name.

        Raises:
            LagoonstairError: The transaction may not begin, or it was ended
                while waiting for a connection.
            EndpointUnreachableError: No connection could be opened.
        """
        self._table.begin(key, trio.current_time())
        self._table.call_started(key)
        try:
            lease = await self._pool.acquire()
        except BaseException:
            self._end_transaction(key, TransactionEnd.ROLLED_BACK)
            raise
        if not self._table.is_open(key):
            self._pool.release(lease)
            raise _transaction_gone()
        self._pins[key] = _Pin(lease, term)
        self._table.call_ended(key, trio.current_time())

    async def execute(
        self, key: TransactionKey, statements: Sequence[Statement]
    ) -> RunAnswer:
        """Runs statements in the transaction.

        Args:
            key: The transaction.
            statements: The statements to run, in order.

        Raises:
            LagoonstairError: ``TRANSACTION_GONE``: the transaction was rolled
                back, so the statements have no effect.
            EndpointRefusedError: The endpoint refused the call; nothing was
                run.
        """
        try:
            async with self._exclusive_call(key) as pin:
                call = Execute(
                    call_id=0,
                    term=pin.term,
                    workspace=key.workspace,
                    statements=tuple(statements),
                )
                with trio.CancelScope() as pin.call_scope:
                    return await self._execute(key, pin, call)
        except _TransactionNotOpenError as exc:
            raise _transaction_gone() from exc
        raise _transaction_gone()

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

        Without a request id of the caller, the transaction's id serves as
        request id, so that a repeated commit returns the first answer.

        Args:
            key: The transaction.
            term: The current term, in which an earlier commit is looked up.
            request_id: The caller's request id.
            digest: The digest of the request.
            primary: The pool to look up an earlier commit with, if it is not
                the pool of the transactions.

        Raises:
            LagoonstairError: ``TRANSACTION_GONE``: the transaction was rolled
                back. ``OUTCOME_UNKNOWN``: the transaction is not open here,
                and an earlier commit may have been sent.
            EndpointRefusedError: The endpoint refused the call; nothing was
                run.
            ResultUnknownError: The commit was sent but not answered.
        """
        call = Commit(
            call_id=0,
            term=term,
            workspace=key.workspace,
            request_id=request_id or f"transaction/{key.transaction_id}",
            digest=digest,
        )
        try:
            async with self._exclusive_call(key) as pin:
                return await self._commit(key, pin, call)
        except _TransactionNotOpenError:
            return await self._find_commit(key, call, primary or self._pool)

    async def rollback(self, key: TransactionKey) -> None:
        """Rolls the transaction back.

        If the endpoint does not confirm the rollback, the connection is
        closed.

        Raises:
            LagoonstairError: ``TRANSACTION_GONE``: the transaction is not
                open.
        """
        try:
            async with self._exclusive_call(key) as pin:
                self._end_transaction(key, TransactionEnd.ROLLED_BACK)
                with contextlib.suppress(
                    EndpointRefusedError,
                    EndpointUnreachableError,
                    ResultUnknownError,
                ):
                    await pin.lease.rollback()
        except _TransactionNotOpenError as exc:
            raise _transaction_gone() from exc

    async def wait_ended(self, key: TransactionKey) -> None:
        """Waits until a transaction has ended."""
        while self._table.is_open(key):
            await self._any_ended.wait()

    def close_key(self, key_id: str) -> None:
        """Rolls back the transactions of a withdrawn key.

        A commit in progress is not interrupted.
        """
        for key in self._table.open_transactions(key_id):
            self._abort(key)

    def close_all(self) -> None:
        """Rolls back all transactions except for commits in progress."""
        for key in self._table.open_transactions(None):
            self._abort(key)

    async def drain(self) -> None:
        """Refuses new transactions and waits until all have ended."""
        self._table.draining = True
        while self._table.open_count:
            await self._any_ended.wait()

    async def _execute(
        self, key: TransactionKey, pin: _Pin, call: Execute
    ) -> RunAnswer:
        try:
            return await pin.lease.execute(call)
        except EndpointRefusedError as exc:
            if exc.refusal not in NON_FATAL_REFUSALS:
                self._end_transaction(key, TransactionEnd.ROLLED_BACK)
            raise
        except (EndpointUnreachableError, ResultUnknownError) as exc:
            self._end_transaction(key, TransactionEnd.ROLLED_BACK)
            raise _transaction_gone() from exc
        except BaseException:
            self._end_transaction(key, TransactionEnd.ROLLED_BACK)
            raise
        finally:
            pin.call_scope = None

    async def _commit(
        self, key: TransactionKey, pin: _Pin, call: Commit
    ) -> RunAnswer:
        pin.committing = True
        try:
            answer = await pin.lease.commit(
                msgspec.structs.replace(call, term=pin.term)
            )
        except EndpointRefusedError:
            self._end_transaction(key, TransactionEnd.ROLLED_BACK)
            raise
        except EndpointUnreachableError as exc:
            self._end_transaction(key, TransactionEnd.ROLLED_BACK)
            raise _transaction_gone() from exc
        except BaseException:
            self._end_transaction(key, TransactionEnd.UNKNOWN)
            raise
        self._end_transaction(key, TransactionEnd.COMMITTED)
        return answer

    async def _find_commit(
        self, key: TransactionKey, call: Commit, pool: ConnectionPool
    ) -> RunAnswer:
        if self._table.end_of(key) is TransactionEnd.ROLLED_BACK:
            raise _transaction_gone()
        try:
            async with pool.connection() as lease:
                return await lease.commit(call)
        except EndpointRefusedError as exc:
            if exc.refusal is EndpointRefusal.REQUEST_ID_REUSED:
                raise
            # The endpoint has not recorded the commit yet, but the earlier
            # call may still arrive.
            raise _outcome_unknown() from exc
        except (EndpointUnreachableError, ResultUnknownError) as exc:
            raise _outcome_unknown() from exc

    @contextlib.asynccontextmanager
    async def _exclusive_call(self, key: TransactionKey) -> AsyncIterator[_Pin]:
        pin = self._pins.get(key)
        if pin is None:
            raise _TransactionNotOpenError
        self._table.call_started(key)
        try:
            async with pin.lock:
                if not self._table.is_open(key):
                    raise _TransactionNotOpenError
                try:
                    yield pin
                finally:
                    if not self._table.is_open(key):
                        self._pool.release(pin.lease)
        finally:
            self._table.call_ended(key, trio.current_time())

    def _abort(self, key: TransactionKey) -> None:
        """Rolls back a transaction from outside its own calls.

        A call in progress is cancelled, except for a commit.
        """
        pin = self._pins.get(key)
        if pin is not None and pin.committing:
            return
        self._end_transaction(key, TransactionEnd.ROLLED_BACK)
        if pin is None:
            return
        if pin.call_scope is not None:
            pin.call_scope.cancel()
        else:
            self._pool.release(pin.lease)

    def _end_transaction(
        self, key: TransactionKey, how: TransactionEnd
    ) -> None:
        if self._table.end(key, how):
            self._pins.pop(key, None)
            self._any_ended.set()
            self._any_ended = trio.Event()


def _transaction_gone() -> LagoonstairError:
    return LagoonstairError(
        ErrorKind.TRANSACTION_GONE, "the transaction was rolled back"
    )


def _outcome_unknown() -> LagoonstairError:
    return LagoonstairError(
        ErrorKind.OUTCOME_UNKNOWN, "an earlier commit may have been sent"
    )
