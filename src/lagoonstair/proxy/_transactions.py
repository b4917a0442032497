"""Transactions, each of which is pinned to one connection until it ends."""

import random
from dataclasses import dataclass

import trio

from lagoonstair.admission import WorkKind
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.platform import lines
from lagoonstair.proxy._admission import work_of
from lagoonstair.proxy._cold_gate import is_cold_refusal
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._link import Link, LinkError, LinkUse
from lagoonstair.proxy._pool import EndpointPool, NoLinkError
from lagoonstair.proxy._region_filter import ELSEWHERE_MESSAGE
from lagoonstair.proxy._retries import (
    BUSY_FAILURE,
    TOO_LONG_MESSAGE,
    backoff_delays,
    next_delay,
    refusal_failure,
)
from lagoonstair.proxy._targets import (
    CONFIRMED_LATE_MESSAGE,
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
    Expected,
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

STOPPED_MESSAGE = "the failure domain of the transaction is evacuated"

BEGIN_ATTEMPTS = 2
"""Maximum number of connections of one endpoint on which a transaction is begun
because it is not certain that it was on the one before."""

ROLLBACK_TIMEOUT_SECONDS = 0.3
"""Time limit of a rollback, in seconds. Closing the connection would roll back
as well, but the connection opened in its place needs a slot; a rollback needs
none."""


@dataclass(slots=True, kw_only=True)
class Transaction:
    """An open transaction.

    Attributes:
        route: The route of the caller's database name.
        read_only: Whether a replica may run it.
        began: When it began, in seconds.
        link: The connection that it is pinned to; ``None`` before the first
            statement.
        pool: The connections of the link's endpoint.
        epoch: The epoch of the primary that it runs on; 0 on a replica.
        has_written: Whether a write succeeded.
        has_run: Whether any statement succeeded; until then it can move to
            another connection.
        is_committing: Whether its commit has been sent, or may have been.
    """

    route: Route
    read_only: bool
    began: float
    link: Link | None = None
    pool: EndpointPool | None = None
    epoch: int = 0
    has_written: bool = False
    has_run: bool = False
    is_committing: bool = False


class TransactionManager:
    """Runs the transactions of all callers of an instance."""

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
        """Runs a statement in a transaction.

        If the endpoint is busy and nothing of the transaction has run, the
        transaction is begun again after a backoff.

        Args:
            caller: The caller that sent the statement.
            tx: The transaction; it has been rolled back if the result is a
                failure.
            run: The statement.
            request_id: The caller's id of the statement.

        Returns:
            The answer to the caller.
        """
        deadline = trio.current_time() + tx.route.timeout
        delays = backoff_delays(random.random)
        while True:
            sent, result = await self._attempt(
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
            # Nothing of it has run, so it can begin again when slots are free.
            now = trio.current_time()
            delay = next_delay(delays, now=now, deadline=deadline)
            if delay is None:
                return BUSY_FAILURE
            tx.link, tx.pool, tx.epoch = None, None, 0
            await trio.sleep(delay)

    async def _attempt(
        self,
        caller: Caller,
        tx: Transaction,
        run: Run,
        request_id: str,
        deadline: float,
    ) -> tuple[DeliveryStatus, Result]:
        """Runs a statement once; rolls the transaction back on failure."""
        failure = await self._ensure_link(caller, tx, deadline)
        if failure is not None:
            return DeliveryStatus.NOT_SENT, failure
        sent = DeliveryStatus.UNANSWERED
        failure = Failure(ErrorCode.ABORTED, "no answer in time")
        try:
            with trio.move_on_at(deadline):
                result = await self._exchange(
                    caller, tx, request_id, run, deadline
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
        """Commits a transaction and releases its connection.

        Args:
            caller: The caller that sent the commit.
            tx: The transaction; it has ended afterwards, whatever the result.
            request_id: The caller's id of the statement.

        Returns:
            The answer to the caller; in doubt if the transaction has written
            and the commit was sent but not confirmed. If it was not sent,
            nothing of the transaction is kept.
        """
        deadline = trio.current_time() + tx.route.timeout
        refusal = await self._ensure_link(caller, tx, deadline)
        if refusal is not None:
            return refusal
        sent = DeliveryStatus.NOT_SENT
        failure = Failure(ErrorCode.ABORTED, "no answer in time")
        work = OperationKind.COMMIT if tx.has_written else OperationKind.READ
        try:
            with trio.move_on_at(deadline):
                result = await self._exchange(
                    caller, tx, request_id, None, deadline
                )
                if isinstance(result, Success):
                    self._release_link(tx)
                    if tx.has_written and not self._targets.may_acknowledge(
                        tx.route.group, tx.epoch
                    ):
                        return Failure(
                            ErrorCode.IN_DOUBT, CONFIRMED_LATE_MESSAGE
                        )
                    return result
                sent = DeliveryStatus.ANSWERED
                failure = result
        except LinkError as exc:
            failure = Failure(ErrorCode.ABORTED, str(exc))
        except LagoonstairError as exc:
            failure = refusal_failure(exc)
            if failure.code is not ErrorCode.NO_AUTH:
                failure = Failure(ErrorCode.ABORTED, exc.message)
        if tx.is_committing and sent is DeliveryStatus.NOT_SENT:
            sent = DeliveryStatus.UNANSWERED
        self.abandon(tx)
        return failure_for_caller(work, sent, failure)

    async def roll_back(self, tx: Transaction) -> None:
        """Rolls a transaction back and releases its connection."""
        link = tx.link
        if (
            link is not None
            and link.is_in_step
            and link.state is not TransactionState.IDLE
            and tx.pool is not None
            # Without a token, the end of the connection rolls back.
            and await self._targets.try_admit_cold(tx.pool)
        ):
            with trio.move_on_after(ROLLBACK_TIMEOUT_SECONDS):
                try:
                    await link.run_internal(lines.ROLLBACK, Expected.ENDED)
                except LinkError:
                    # The endpoint rolls back when the connection closes.
                    link.close()
        self._release_link(tx)

    def abandon(self, tx: Transaction) -> None:
        """Rolls a transaction back by closing its connection."""
        # After its end another transaction may use the connection.
        if tx.link is not None and id(tx) in self._open:
            tx.link.close()
        self._release_link(tx)

    def abandon_stopped(self) -> int:
        """Abandons the transactions on endpoints that may not be used.

        A commit that has been sent ends by itself; its outcome would be in
        doubt.

        Returns:
            The number of abandoned transactions.
        """
        stopped = [
            tx
            for tx in self._open.values()
            if not tx.is_committing and self._is_stopped(tx)
        ]
        for tx in stopped:
            self.abandon(tx)
        return len(stopped)

    def abandon_group(self, group: str) -> None:
        """Abandons the group's transactions that run on its primary.

        All connections to the recorded primary are closed as well.
        """
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
        """Ensures that a transaction has a usable connection.

        Returns:
            The failure to answer with, or ``None`` if the connection can be
            used.
        """
        if tx.link is None:
            return await self._pin(caller, tx, deadline)
        if self._is_usable(tx):
            assert tx.pool is not None
            if self._targets.permits(caller, tx.route, tx.pool):
                return None
            self.abandon(tx)
            return Failure(ErrorCode.ABORTED, ELSEWHERE_MESSAGE)
        self.abandon(tx)
        if self._is_stopped(tx):
            return Failure(ErrorCode.ABORTED, STOPPED_MESSAGE)
        return Failure(ErrorCode.ABORTED, REPLACED_MESSAGE)

    async def _pin(
        self, caller: Caller, tx: Transaction, deadline: float
    ) -> Failure | None:
        """Begins a transaction at an endpoint and pins it to the connection.

        Returns:
            The failure to answer with, or ``None`` on success.
        """
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
                begins_transaction=True,
            )
            if isinstance(target, Failure):
                return target
            tried.add(target.pool.endpoint.name)
            refusal = await self._pin_to(caller, tx, target, deadline)
            if refusal is None:
                return None
            failure = refusal
            if target.waits and is_cold_refusal(failure):
                return failure
            if failure.code is ErrorCode.NO_AUTH:
                return failure
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
        """Begins a transaction at one endpoint; ``None`` on success.

        If it is not certain on a connection that it was begun, it is begun on
        another one.
        """
        for _ in range(BEGIN_ATTEMPTS):
            try:
                return await self._pin_to_link(caller, tx, target, deadline)
            except LinkError:
                continue
        return Failure(ErrorCode.BUSY, "no transaction could be begun")

    async def _pin_to_link(
        self,
        caller: Caller,
        tx: Transaction,
        target: Target,
        deadline: float,
    ) -> Failure | None:
        """Begins a transaction on one connection; ``None`` on success.

        Raises:
            LinkError: It is not certain whether it was begun; the connection
                is closed.
        """
        pool = target.pool
        route = tx.route
        try:
            link = await pool.acquire(
                caller.workspace,
                deadline=deadline,
                use=LinkUse.TRANSACTION,
                work=work_of(route, tx.began, in_transaction=True),
            )
        except NoLinkError as exc:
            return exc.failure
        started_at = trio.current_time()
        failure = Failure(ErrorCode.BUSY, "no answer in time")
        try:
            with trio.move_on_at(deadline):
                await self._targets.admit_cold(target)
                self._targets.check_key(caller, route)
                if not self._targets.may_begin(caller, route, target):
                    pool.release(link)
                    return Failure(ErrorCode.BUSY, NO_PRIMARY_MESSAGE)
                begin = lines.begin_text(read_only=tx.read_only)
                reply = await link.run_internal(
                    lines.after_text(target.after, begin), Expected.BEGUN
                )
                if isinstance(reply.result, Success):
                    tx.link = link
                    tx.pool = pool
                    if target.is_primary:
                        tx.epoch = self._fleet.primacy.epoch(route.group)
                        self._targets.begin_primary_use(route.group)
                    self._open[id(tx)] = tx
                    return None
                pool.admission.record_result(None, started_at, reply.result)
                self._targets.record_refusal(pool, reply.result)
                failure = reply.result
        except LinkError as exc:
            if exc.is_doubtful:
                pool.discard(link)
                raise
            pool.record_link_error(started_at, exc)
            failure = Failure(ErrorCode.BUSY, str(exc))
        except LagoonstairError as exc:
            failure = refusal_failure(exc)
        pool.release(link)
        return failure

    async def _exchange(
        self,
        caller: Caller,
        tx: Transaction,
        request_id: str,
        run: Run | None,
        deadline: float,
    ) -> Result:
        """Sends a statement on a transaction's connection.

        Every text of a caller in a transaction is sent here, after the values
        of its session.

        Args:
            caller: The caller that sent the statement.
            tx: The transaction.
            request_id: The caller's id of the statement.
            run: The statement; ``None`` for the commit.
            deadline: Time by which it must be answered, in seconds.

        Raises:
            LinkError: The connection failed. The statement may have run; a
                commit only if ``is_committing`` is set.
            LagoonstairError: The statement was not sent: no slot will be free
                in time, the primary was replaced, the key was withdrawn, or it
                is too long.
        """
        assert tx.link is not None
        assert tx.pool is not None
        work = work_of(tx.route, tx.began, in_transaction=True)
        values = caller.session.values
        shape = None if run is None else run.shape
        async with tx.pool.statement_slot(caller.workspace, deadline, work):
            if self._targets.is_cold(tx.pool):
                await self._targets.admit_cold(
                    Target(tx.pool, None, bool(tx.epoch)),
                    1 + tx.link.count_setup(values, shape),
                )
            self._check_sendable(caller, tx)
            prepared_name = await tx.link.apply_session(values, shape)
            self._check_sendable(caller, tx)
            text = (
                lines.COMMIT
                if run is None
                else lines.run_text(run, prepared_name)
            )
            if not lines.fits_query(request_id, text):
                raise LagoonstairError(ErrorKind.TOO_LARGE, TOO_LONG_MESSAGE)
            started_at = trio.current_time()
            tx.is_committing = run is None
            expected = Expected.COMMITTED if run is None else Expected.SIGNED
            kind = (
                None if run is None else WorkKind(tx.route.priority, run.writes)
            )
            try:
                reply = await tx.link.run(request_id, text, expected)
            except LinkError as exc:
                # One that is closed at the hard stop does not show that the
                # endpoint is out of reach, and no probe would refute it.
                if not self._is_stopped(tx):
                    tx.pool.record_link_error(started_at, exc)
                raise
            except trio.Cancelled:
                if trio.current_time() >= deadline:
                    tx.pool.admission.record_unanswered(started_at)
                raise
            tx.pool.admission.record_result(kind, started_at, reply.result)
            commits_writes = (
                tx.has_written
                and run is None
                and isinstance(reply.result, Success)
            )
            self._targets.record_answer(
                caller, tx.route, tx.pool, tx.link, started_at, commits_writes
            )
            return reply.result

    def _check_sendable(self, caller: Caller, tx: Transaction) -> None:
        """Checks that a caller's text may be sent in a transaction now.

        Raises:
            LagoonstairError: It may not: the key was withdrawn, the primary's
                proof has expired, or the endpoint's domain is not permitted.
        """
        assert tx.pool is not None
        self._targets.check_key(caller, tx.route)
        if not self._is_usable(tx):
            raise LagoonstairError(ErrorKind.UNAVAILABLE, REPLACED_MESSAGE)
        if not self._targets.permits(caller, tx.route, tx.pool):
            raise LagoonstairError(ErrorKind.UNAVAILABLE, ELSEWHERE_MESSAGE)

    def _release_link(self, tx: Transaction) -> None:
        """Ends a transaction and returns its connection, if it has one."""
        if self._open.pop(id(tx), None) is None:
            return
        assert tx.link is not None
        assert tx.pool is not None
        if tx.epoch:
            self._targets.end_primary_use(tx.route.group)
        tx.pool.release(tx.link)

    def _is_usable(self, tx: Transaction) -> bool:
        """Returns whether a transaction is open on the current primary.

        One on a replica only has to be open.
        """
        if tx.link is None or not tx.link.is_usable or id(tx) not in self._open:
            return False
        if self._is_stopped(tx):
            return False
        if not tx.epoch:
            return True
        assert tx.pool is not None
        return (
            self._targets.is_primary(tx.pool)
            and self._fleet.primacy.epoch(tx.route.group) == tx.epoch
        )

    def _is_stopped(self, tx: Transaction) -> bool:
        """Returns whether the hard stop of the transaction's domain passed."""
        if tx.pool is None:
            return False
        domain = tx.pool.endpoint.failure_domain
        return self._fleet.evacuation.is_stopped(domain, trio.current_time())
