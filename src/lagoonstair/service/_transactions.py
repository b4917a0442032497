"""Transactions that span several requests.

Each occupies one connection and one slot of the primary until it ends.
"""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import trio

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.pool import PinnedTransactions, TransactionKey
from lagoonstair.ports import (
    EndpointRefusedError,
    EndpointUnreachableError,
    ResultUnknownError,
    Statement,
)
from lagoonstair.service._group_runtime import GroupRuntime
from lagoonstair.service._messages import (
    EndTransaction,
    ExecutionResult,
    Forward,
)
from lagoonstair.service._refusals import (
    refusal_error,
    unavailable_error,
    unknown_error,
)
from lagoonstair.service._started import InFlightWork
from lagoonstair.service._writes import wait_confirmed, write_result


@dataclass(frozen=True, slots=True)
class _OpenTransaction:
    """An open transaction and its location.

    Attributes:
        group: The transaction's group.
        member: The primary that it was opened on.
        pinned: The open transactions of that member.
        key: The transaction's key.
    """

    group: GroupRuntime
    member: str
    pinned: PinnedTransactions
    key: TransactionKey


class Transactions:
    """The transactions that are open on one instance."""

    def __init__(
        self, instance: str, *, in_flight: InFlightWork, nursery: trio.Nursery
    ) -> None:
        """Initializes the transactions.

        Args:
            instance: The name of this instance.
            in_flight: Counts the open transactions.
            nursery: Runs the tasks that hold the transactions' slots.
        """
        self._instance = instance
        self._in_flight = in_flight
        self._nursery = nursery
        self._open: dict[str, _OpenTransaction] = {}

    async def run(
        self,
        group: GroupRuntime,
        req: Forward,
        statements: tuple[Statement, ...],
        *,
        deadline: float,
        recheck: Callable[[], None],
    ) -> ExecutionResult:
        """Runs statements in a transaction, opening it first if necessary.

        Args:
            group: The group to run in.
            req: The request; without a transaction ID it opens one.
            statements: The statements to run.
            deadline: The time by which the transaction must be open.
            recheck: Raises an error if the request may no longer run.

        Raises:
            LagoonstairError: The statements did not run.
        """
        if req.transaction_id is None:
            transaction = await self._begin(group, req, deadline)
        else:
            transaction = self._find(req, req.transaction_id)
        recheck()
        try:
            answer = await transaction.pinned.execute(
                transaction.key, statements
            )
        except EndpointRefusedError as exc:
            raise refusal_error(exc) from exc
        return ExecutionResult(
            group=group.name,
            instance=self._instance,
            endpoint=transaction.member,
            position=answer.position,
            wrote=False,
            results=answer.results,
            mark=req.mark,
            transaction_id=transaction.key.transaction_id,
        )

    async def end(
        self, group: GroupRuntime, req: EndTransaction, *, deadline: float
    ) -> ExecutionResult:
        """Commits or rolls back a transaction.

        A transaction that is not open here may have been committed earlier, by
        this instance or by one that has failed. A repeated commit then returns
        the recorded answer.

        Args:
            group: The transaction's group.
            req: The request.
            deadline: The time at which to give up.

        Raises:
            LagoonstairError: The transaction was not ended, or its outcome is
                unknown.
        """
        transaction = self._open.get(req.transaction_id)
        if transaction is not None and transaction.key != _key_of(req):
            raise _not_open_error()
        if req.commit:
            return await self._commit(group, req, transaction, deadline)
        if transaction is None:
            raise _not_open_error()
        await transaction.pinned.rollback(transaction.key)
        return ExecutionResult(
            group=transaction.group.name,
            instance=self._instance,
            endpoint=transaction.member,
            position=req.mark.write,
            wrote=False,
            results=(),
            mark=req.mark,
        )

    async def _begin(
        self, group: GroupRuntime, req: Forward, deadline: float
    ) -> _OpenTransaction:
        state = await group.watch.wait_primary(deadline=deadline)
        if state.primary is None:
            raise unavailable_error("the group has no primary")
        key = TransactionKey(req.workspace, req.key_id or "", uuid.uuid4().hex)
        pinned = group.database(state.primary).pinned
        transaction = _OpenTransaction(group, state.primary, pinned, key)
        await self._nursery.start(self._hold, transaction, state.term, deadline)
        return transaction

    async def _hold(
        self,
        transaction: _OpenTransaction,
        term: int,
        deadline: float,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        """Opens a transaction and holds its slot until it ends."""
        key = transaction.key
        slots = transaction.group.database(transaction.member).slots
        async with slots.slot(
            key.workspace, deadline=deadline, key_id=key.key_id
        ):
            try:
                await transaction.pinned.begin(key, term)
            except EndpointUnreachableError as exc:
                raise unavailable_error(
                    f"{transaction.member} is not reached"
                ) from exc
            self._open[key.transaction_id] = transaction
            try:
                with self._in_flight.track():
                    task_status.started()
                    await transaction.pinned.wait_ended(key)
            finally:
                del self._open[key.transaction_id]

    async def _commit(
        self,
        group: GroupRuntime,
        req: EndTransaction,
        transaction: _OpenTransaction | None,
        deadline: float,
    ) -> ExecutionResult:
        state = await group.watch.wait_primary(deadline=deadline)
        if state.primary is None:
            raise unknown_error("the group has no primary to ask")
        primary = group.database(state.primary)
        pinned = primary.pinned if transaction is None else transaction.pinned
        member = state.primary if transaction is None else transaction.member
        try:
            answer = await pinned.commit(
                _key_of(req),
                term=state.term,
                request_id=req.request_id,
                digest=req.digest,
                primary=primary.pool,
            )
        except EndpointRefusedError as exc:
            raise refusal_error(exc) from exc
        except ResultUnknownError as exc:
            raise unknown_error(f"{member} did not answer") from exc
        await wait_confirmed(group, answer, deadline)
        return write_result(group, member, answer, req, self._instance)

    def _find(self, req: Forward, transaction_id: str) -> _OpenTransaction:
        transaction = self._open.get(transaction_id)
        expected = TransactionKey(
            req.workspace, req.key_id or "", transaction_id
        )
        if transaction is None or transaction.key != expected:
            raise _not_open_error()
        return transaction


def _key_of(req: EndTransaction) -> TransactionKey:
    return TransactionKey(req.workspace, req.key_id or "", req.transaction_id)


def _not_open_error() -> LagoonstairError:
    return LagoonstairError(
        ErrorKind.TRANSACTION_GONE, "the transaction is not open"
    )
