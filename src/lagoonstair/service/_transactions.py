"""Transactions of several requests, each on one connection and slot."""

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
class _Place:
    """Where a transaction is open.

    Attributes:
        group: Its group.
        member: The primary that it was opened on.
        pinned: The open transactions of that member.
        key: The transaction.
    """

    group: GroupRuntime
    member: str
    pinned: PinnedTransactions
    key: TransactionKey


class Transactions:
    """The open transactions at one owner."""

    def __init__(
        self, instance: str, *, in_flight: InFlightWork, nursery: trio.Nursery
    ) -> None:
        """Sets the collaborators; the nursery holds the slots."""
        self._instance = instance
        self._in_flight = in_flight
        self._nursery = nursery
        self._places: dict[str, _Place] = {}

    async def run(
        self,
        group: GroupRuntime,
        req: Forward,
        statements: tuple[Statement, ...],
        *,
        deadline: float,
        recheck: Callable[[], None],
    ) -> ExecutionResult:
        """Runs statements in a transaction, which ``begin`` opens.

        Raises:
            LagoonstairError: The statements did not run.
        """
        if req.transaction_id is None:
            place = await self._begin(group, req, deadline)
        else:
            place = self._find(req, req.transaction_id)
        recheck()
        try:
            answer = await place.pinned.execute(place.key, statements)
        except EndpointRefusedError as exc:
            raise refusal_error(exc) from exc
        return ExecutionResult(
            group=group.name,
            instance=self._instance,
            endpoint=place.member,
            position=answer.position,
            wrote=False,
            results=answer.results,
            mark=req.mark,
            transaction_id=place.key.transaction_id,
        )

    async def end(
        self, group: GroupRuntime, req: EndTransaction, *, deadline: float
    ) -> ExecutionResult:
        """Commits or rolls back a transaction.

        A transaction that is not open here may have been committed earlier,
        by this instance or by one that is gone; then its answer is found.

        Raises:
            LagoonstairError: It was not committed, or that is not known.
        """
        place = self._places.get(req.transaction_id)
        if place is not None and place.key != _key_of(req):
            raise _gone()
        if req.commit:
            return await self._commit(group, req, place, deadline)
        if place is None:
            raise _gone()
        await place.pinned.rollback(place.key)
        return ExecutionResult(
            group=place.group.name,
            instance=self._instance,
            endpoint=place.member,
            position=req.mark.write,
            wrote=False,
            results=(),
            mark=req.mark,
        )

    async def _begin(
        self, group: GroupRuntime, req: Forward, deadline: float
    ) -> _Place:
        state = await group.watch.wait_primary(deadline=deadline)
        if state.primary is None:
            raise unavailable_error("the group has no primary")
        key = TransactionKey(req.workspace, req.key_id or "", uuid.uuid4().hex)
        pinned = group.database(state.primary).pinned
        place = _Place(group, state.primary, pinned, key)
        await self._nursery.start(self._hold, place, state.term, deadline)
        return place

    async def _hold(
        self,
        place: _Place,
        term: int,
        deadline: float,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        """Begins a transaction and holds its slot until it ends."""
        key = place.key
        slots = place.group.database(place.member).slots
        async with slots.slot(
            key.workspace, deadline=deadline, key_id=key.key_id
        ):
            try:
                await place.pinned.begin(key, term)
            except EndpointUnreachableError as exc:
                raise unavailable_error(
                    f"{place.member} is not reached"
                ) from exc
            self._places[key.transaction_id] = place
            try:
                with self._in_flight.track():
                    task_status.started()
                    await place.pinned.wait_ended(key)
            finally:
                del self._places[key.transaction_id]

    async def _commit(
        self,
        group: GroupRuntime,
        req: EndTransaction,
        place: _Place | None,
        deadline: float,
    ) -> ExecutionResult:
        state = await group.watch.wait_primary(deadline=deadline)
        if state.primary is None:
            raise unknown_error("the group has no primary to ask")
        primary = group.database(state.primary)
        pinned = primary.pinned if place is None else place.pinned
        member = state.primary if place is None else place.member
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

    def _find(self, req: Forward, transaction_id: str) -> _Place:
        place = self._places.get(transaction_id)
        expected = TransactionKey(
            req.workspace, req.key_id or "", transaction_id
        )
        if place is None or place.key != expected:
            raise _gone()
        return place


def _key_of(req: EndTransaction) -> TransactionKey:
    return TransactionKey(req.workspace, req.key_id or "", req.transaction_id)


def _gone() -> LagoonstairError:
    return LagoonstairError(
        ErrorKind.TRANSACTION_GONE, "the transaction is not open"
    )
