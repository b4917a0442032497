"""Transactions: each is pinned to a connection until it ends."""

import random
from dataclasses import dataclass

import trio

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.platform import lines
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._link import Link, LinkError
from lagoonstair.proxy._pool import EndpointPool, NoLinkError
from lagoonstair.proxy._retries import (
    BUSY_FAILURE,
    backoff_delays,
    next_delay,
    refusal_failure,
)
from lagoonstair.proxy._targets import (
    MAX_ATTEMPTS,
    MIN_STATEMENT_SECONDS,
    NO_PRIMARY_MESSAGE,
    PRIMARY_RETRY_SECONDS,
    Caller,
    Target,
    TargetSelector,
)
from lagoonstair.routing import Route
from lagoonstair.statements import (
    NOT_RUN_CODES,
    DeliveryStatus,
    ErrorCode,
    Failure,
    OperationKind,
    Result,
    Run,
    Success,
    TransactionState,
    failure_for_caller,
    is_busy,
)

REPLACED_MESSAGE = "the primary is being replaced"

ROLLBACK_TIMEOUT_SECONDS = 0.3
"""How long a rollback may take; it needs no slot. Closing the connection does
the same, but the next one to be opened needs one."""


@dataclass(slots=True, kw_only=True)
class Transaction:
    """An open transaction; without a link until its first statement.

    Attributes:
        route: Where it goes.
        read_only: Whether a replica may run it.
        began: When it began, in seconds.
        link: The connection that it is pinned to.
        pool: The endpoint of the connection.
        epoch: The epoch of the primary that it runs on; 0 on a replica.
        wrote: Whether a write succeeded.
        ran: Whether any statement succeeded; until then another connection
            will do.
    """

    route: Route
    read_only: bool
    began: float
    link: Link | None = None
    pool: EndpointPool | None = None
    epoch: int = 0
    has_written: bool = False
    has_run: bool = False


class TransactionManager:
    """Runs the transactions of all callers of one instance."""

    def __init__(self, fleet: Fleet, targets: TargetSelector) -> None:
        self._fleet = fleet
        self._targets = targets
        self._open: dict[int, Transaction] = {}

    async def run(
        self,
        caller: Caller,
        tx: Transaction,
        run: Run,
        request_id: str,
    ) -> Result:
        """Runs a statement of a transaction; a failure has rolled it back."""
        deadline = trio.current_time() + tx.route.timeout
        pauses = backoff_delays(random.random)
        while True:
            sent, result = await self._run_once(
                caller, tx, run, request_id, deadline
            )
            if isinstance(result, Success):
                return result
            if not is_busy(sent, result):
                return failure_for_caller(
                    OperationKind.IN_TRANSACTION, sent, result
                )
            if tx.has_run:
                return BUSY_FAILURE
            # Nothing of it has run, so it may begin anew when slots are free.
            now = trio.current_time()
            pause = next_delay(pauses, now=now, deadline=deadline)
            if pause is None:
                return BUSY_FAILURE
            tx.link, tx.pool, tx.epoch = None, None, 0
            await trio.sleep(pause)

    async def _run_once(
        self,
        caller: Caller,
        tx: Transaction,
        run: Run,
        request_id: str,
        deadline: float,
    ) -> tuple[DeliveryStatus, Result]:
        failure = await self._ensure_link(caller, tx, deadline)
        if failure is not None:
            return DeliveryStatus.NOT_SENT, failure
        assert tx.link is not None
        sent = DeliveryStatus.NOT_SENT
        failure = Failure(ErrorCode.ABORTED, "no slot was free in time")
        try:
            with trio.move_on_at(deadline):
                name = await tx.link.apply_session(
                    caller.session.values, run.shape
                )
                sent = DeliveryStatus.UNANSWERED
                failure = Failure(ErrorCode.ABORTED, "no answer in time")
                text = lines.run_text(run, name)
                result = await self._exchange(
                    caller, tx, request_id, text, deadline
                )
                sent = DeliveryStatus.ANSWERED
                if isinstance(result, Success):
                    tx.has_written |= run.writes
                    tx.has_run = True
                    return sent, result
                failure = result
        except LinkError as exc:
            failure = Failure(ErrorCode.ABORTED, str(exc))
        except LagoonstairError as exc:
            sent = DeliveryStatus.NOT_SENT
            failure = refusal_failure(exc)
        if sent is DeliveryStatus.ANSWERED:
            await self.roll_back(tx)
        else:
            self.abandon(tx)
        return sent, failure

    async def commit(
        self, caller: Caller, tx: Transaction, request_id: str
    ) -> Result:
        """Commits a transaction and lets its connection go."""
        deadline = trio.current_time() + tx.route.timeout
        refusal = await self._ensure_link(caller, tx, deadline)
        if refusal is not None:
            return refusal
        sent = DeliveryStatus.UNANSWERED
        failure = Failure(ErrorCode.IN_DOUBT, "no answer in time")
        work = OperationKind.COMMIT if tx.has_written else OperationKind.READ
        try:
            with trio.move_on_at(deadline):
                result = await self._exchange(
                    caller, tx, request_id, "COMMIT", deadline
                )
                if isinstance(result, Success):
                    self._release_link(tx)
                    return result
                sent = DeliveryStatus.ANSWERED
                failure = result
        except LinkError as exc:
            failure = Failure(ErrorCode.IN_DOUBT, str(exc))
        except LagoonstairError as exc:
            sent = DeliveryStatus.NOT_SENT
            failure = Failure(ErrorCode.ABORTED, exc.message)
        self.abandon(tx)
        return failure_for_caller(work, sent, failure)

    async def roll_back(self, tx: Transaction) -> None:
        """Rolls a transaction back and lets its connection go."""
        link = tx.link
        if (
            link is not None
            and link.is_usable
            and link.state is not TransactionState.IDLE
        ):
            with trio.move_on_after(ROLLBACK_TIMEOUT_SECONDS):
                try:
                    await link.run_internal(lines.ROLLBACK)
                except LinkError:
                    # Closing the connection rolls back as well.
                    link.close()
        self._release_link(tx)

    def abandon(self, tx: Transaction) -> None:
        """Closes a transaction's connection, which rolls it back."""
        # The connection of one that has ended may be another's by now.
        if tx.link is not None and id(tx) in self._open:
            tx.link.close()
        self._release_link(tx)

    def abandon_group(self, group: str) -> None:
        """Abandons all that runs on the primary of a group."""
        for tx in [*self._open.values()]:
            if tx.route.group == group and tx.epoch:
                self.abandon(tx)
        record = self._fleet.primacy.records.get(group)
        pool = None if record is None else self._fleet.pools.get(record.primary)
        if pool is not None:
            pool.close_all()

    async def _ensure_link(
        self, caller: Caller, tx: Transaction, deadline: float
    ) -> Failure | None:
        """Sees to it that a transaction has a connection that may be used."""
        if tx.link is None:
            return await self._pin(caller, tx, deadline)
        if self._is_usable(tx):
            return None
        self.abandon(tx)
        return Failure(ErrorCode.ABORTED, REPLACED_MESSAGE)

    async def _pin(
        self, caller: Caller, tx: Transaction, deadline: float
    ) -> Failure | None:
        """Opens the transaction at an endpoint."""
        failure = Failure(ErrorCode.BUSY, NO_PRIMARY_MESSAGE)
        tried: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            target = await self._targets.choose(
                caller,
                tx.route,
                not tx.read_only,
                tx.began,
                deadline,
                tried,
            )
            if isinstance(target, Failure):
                return target
            tried.add(target.pool.endpoint.name)
            refusal = await self._pin_to(caller, tx, target, deadline)
            if refusal is None:
                return None
            failure = refusal
            if trio.current_time() >= deadline - MIN_STATEMENT_SECONDS:
                break
            if target.is_primary:
                tried.clear()
                await trio.sleep(PRIMARY_RETRY_SECONDS)
        if failure.code in NOT_RUN_CODES:
            return failure
        return Failure(ErrorCode.ABORTED, failure.message)

    async def _pin_to(
        self,
        caller: Caller,
        tx: Transaction,
        target: Target,
        deadline: float,
    ) -> Failure | None:
        pool = target.pool
        route = tx.route
        try:
            link = await pool.acquire(
                caller.workspace, deadline=deadline, priority=route.priority
            )
        except NoLinkError as exc:
            return exc.failure
        began = trio.current_time()
        failure = Failure(ErrorCode.BUSY, "no answer in time")
        try:
            with trio.move_on_at(deadline):
                if not self._targets.is_current(target):
                    pool.release(link)
                    return Failure(ErrorCode.BUSY, NO_PRIMARY_MESSAGE)
                begin = lines.begin_text(read_only=tx.read_only)
                reply = await link.run_internal(
                    lines.after_text(target.after, begin)
                )
                if isinstance(reply.result, Success):
                    tx.link = link
                    tx.pool = pool
                    if target.is_primary:
                        tx.epoch = self._fleet.primacy.epoch(route.group)
                        self._targets.begin_primary_use(route.group)
                    self._open[id(tx)] = tx
                    return None
                self._targets.record_refusal(pool, reply.result)
                failure = reply.result
        except LinkError as exc:
            pool.record_failure(began)
            failure = Failure(ErrorCode.BUSY, str(exc))
        if link.is_usable and link.state is TransactionState.IDLE:
            pool.release(link)
        else:
            pool.discard(link)
        return failure

    async def _exchange(
        self,
        caller: Caller,
        tx: Transaction,
        request_id: str,
        text: str,
        deadline: float,
    ) -> Result:
        assert tx.link is not None
        assert tx.pool is not None
        async with tx.pool.statement_slot(caller.workspace, deadline):
            # The wait for a slot may have outlasted the primary's proof.
            if not self._is_usable(tx):
                raise LagoonstairError(ErrorKind.UNAVAILABLE, REPLACED_MESSAGE)
            began = trio.current_time()
            try:
                reply = await tx.link.run(request_id, text)
            except LinkError:
                tx.pool.record_failure(began)
                raise
            has_written = tx.has_written and text == "COMMIT"
            self._targets.record_answer(
                caller, tx.route, tx.pool, tx.link, began, has_written
            )
            return reply.result

    def _release_link(self, tx: Transaction) -> None:
        if self._open.pop(id(tx), None) is None:
            return
        assert tx.link is not None
        assert tx.pool is not None
        if tx.epoch:
            self._targets.end_primary_use(tx.route.group)
        if tx.link.is_usable and tx.link.state is TransactionState.IDLE:
            tx.pool.release(tx.link)
        else:
            tx.pool.discard(tx.link)

    def _is_usable(self, tx: Transaction) -> bool:
        """Whether a transaction is open and its primary may still be used."""
        if tx.link is None or not tx.link.is_usable or id(tx) not in self._open:
            return False
        if not tx.epoch:
            return True
        assert tx.pool is not None
        return (
            self._targets.is_primary(tx.pool)
            and self._fleet.primacy.epoch(tx.route.group) == tx.epoch
        )
