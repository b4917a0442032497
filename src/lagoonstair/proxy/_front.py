"""Server for callers' connections: sessions, authorization and logging."""

import socket
from collections.abc import Awaitable, Callable

import trio

from lagoonstair._faults import describe_exception
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.platform import lines
from lagoonstair.proxy._access import Access
from lagoonstair.proxy._admission import refuse_unservable
from lagoonstair.proxy._answer_log import AnswerLog
from lagoonstair.proxy._conversation import CallerConnection
from lagoonstair.proxy._entry import EntrySessions
from lagoonstair.proxy._executor import Executor
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._isolation import IsolationWatch
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._primary_reach import PrimaryReach
from lagoonstair.proxy._quota import Quota
from lagoonstair.proxy._relay import SHUTDOWN_MESSAGE
from lagoonstair.proxy._relays import HomeRouter
from lagoonstair.proxy._retries import refusal_failure
from lagoonstair.proxy._sockets import is_readable
from lagoonstair.proxy._targets import WITHDRAWN_MESSAGE
from lagoonstair.proxy._transactions import Transaction, TransactionManager
from lagoonstair.routing import Route
from lagoonstair.statements import (
    EndTransaction,
    ErrorCode,
    Failure,
    LocalResult,
    OpenTransaction,
    Result,
    Run,
    Success,
    TransactionState,
    failure_without_answer,
)

START_TIMEOUT_SECONDS = 10.0
"""Time limit in seconds for a caller to open its session."""

TCP_USER_TIMEOUT_MS = 10_000
"""Time in milliseconds after which unacknowledged data ends a caller's
connection; longer than any network interruption that callers survive."""

CALLER_DESCRIPTOR_SHARE = 0.9
"""Fraction of the file descriptors that callers may use; the rest is for
connections to endpoints, other instances and the store."""

SESSION_ENDING_CODES = frozenset({ErrorCode.NO_AUTH, ErrorCode.NO_DATABASE})
"""Errors after which a session is closed, as it can run no more statements."""

CUT_MESSAGE = "no answer before the shutdown"

RESERVED_DESCRIPTORS = 200
"""Number of descriptors that the platform reserves for files."""


class CallerServer:
    """Accepts callers' sessions and answers their statements.

    Attributes:
        draining: Whether sessions are closed as soon as they are idle.
        refusing: Whether no statement is begun any more. What was read whole
            is refused, and what runs is answered before its session ends.
        primary_reach: Turns relayed sessions away whose primary is out of
            reach; ``None`` where callers are not shed.
    """

    def __init__(
        self,
        fleet: Fleet,
        executor: Executor,
        transactions: TransactionManager,
        quota: Quota,
        metrics: Metrics,
        max_descriptors: int,
        router: HomeRouter,
        isolation: IsolationWatch | None = None,
    ) -> None:
        self._fleet = fleet
        self._executor = executor
        self._transactions = transactions
        self._quota = quota
        self._metrics = metrics
        self._access = Access(fleet)
        self._authorize = self._access.authorize
        self._answers = AnswerLog(fleet, metrics)
        self._entry = EntrySessions(fleet, metrics, router, isolation)
        sockets = max_descriptors - RESERVED_DESCRIPTORS
        self._max_connections = int(sockets * CALLER_DESCRIPTOR_SHARE)
        self._connections: dict[int, CallerConnection] = {}
        self.draining = False
        self.refusing = False
        self.primary_reach: PrimaryReach | None = None
        if fleet.features.sheds_unreachable:
            self.primary_reach = PrimaryReach(
                fleet, metrics, lambda: [*self._connections.values()]
            )
        fleet.config_listeners.append(self._close_unauthorized)

    @property
    def sessions(self) -> int:
        """Number of connected callers."""
        return len(self._connections)

    def close_idle_relayed(self) -> int:
        """Closes the relayed sessions whose callers wait for nothing.

        Returns:
            The number of closed sessions.
        """
        return sum(
            connection.relayed.close_if_idle()
            for connection in [*self._connections.values()]
            if connection.relayed is not None
        )

    def drain(self) -> None:
        """Closes idle sessions now and the others once they are idle."""
        self.draining = True
        for connection in [*self._connections.values()]:
            if connection.wait_scope is not None and connection.is_idle:
                connection.wait_scope.cancel()
            if connection.relayed is not None:
                connection.relayed.cancel_when_idle()
                if self.refusing:
                    connection.relayed.cancel_when_answered()

    def refuse_statements(self) -> None:
        """Ends all sessions as soon as no statement of theirs runs.

        Their open transactions are rolled back.
        """
        self.refusing = True
        for connection in [*self._connections.values()]:
            if connection.wait_scope is not None:
                connection.wait_scope.cancel()
        self.drain()

    def cut_statements(self) -> None:
        """Answers the statements that still run with what is known of them."""
        for connection in [*self._connections.values()]:
            if connection.statement_scope is not None:
                connection.statement_scope.cancel()
            if connection.relayed is not None:
                connection.relayed.cut()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves a caller until its session ends.

        Args:
            stream: The caller's connection.
        """
        await self._serve(stream, self._run_or_relay)

    async def serve_relayed(self, stream: trio.SocketStream) -> None:
        """Serves a caller whose session another instance relays here.

        Args:
            stream: The connection to the relaying instance.
        """
        await self._serve_for_peer(stream, self._run_movable)

    async def serve_unmoved(self, stream: trio.SocketStream) -> None:
        """Serves a relayed session also if its primary is out of reach.

        Args:
            stream: The connection to the relaying instance.
        """
        await self._serve_for_peer(stream, self._run_session)

    async def _serve_for_peer(
        self,
        stream: trio.SocketStream,
        run_session: Callable[[CallerConnection], Awaitable[None]],
    ) -> None:
        if self.draining:
            # Without a greeting, the other instance tries the next home.
            self._metrics.count("relays_refused")
            await stream.aclose()
            return
        await self._serve(stream, run_session)

    async def _run_movable(self, connection: CallerConnection) -> None:
        """Runs a relayed session unless its primary is out of reach."""
        if self.primary_reach is not None:
            refusal = self.primary_reach.refusal(connection.database)
            if refusal is not None:
                await connection.send_refusal(refusal)
                return
            connection.is_movable = True
        await self._run_session(connection)

    async def _serve(
        self,
        stream: trio.SocketStream,
        run_session: Callable[[CallerConnection], Awaitable[None]],
    ) -> None:
        """Serves a connection, and cleans up after it whatever happens."""
        connection = CallerConnection(stream, lines.LineSplitter())
        self._connections[id(connection)] = connection
        with self._fleet.supervisor.contain("session end"):
            await self._serve_connection(connection, run_session)

    async def _serve_connection(
        self,
        connection: CallerConnection,
        run_session: Callable[[CallerConnection], Awaitable[None]],
    ) -> None:
        stream = connection.stream
        try:
            stream.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
            if await self._open_session(connection):
                await run_session(connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The caller has left, so no answer can be sent.
            self._metrics.count("callers_gone")
        except lines.BadLineError as exc:
            self._metrics.count(
                "bad_lines", code=exc.code.value, reason=str(exc)
            )
            log_event(
                "message refused",
                cause=str(exc),
                code=exc.code.value,
                database=connection.database,
                workspace=connection.caller and connection.caller.workspace,
            )
            await connection.send_refusal(Failure(exc.code, str(exc)))
        except Exception as exc:
            # An unexpected error in one session must not end the others.
            log_event("session failed", fault=describe_exception(exc))
            self._metrics.count("sessions_failed")
        finally:
            del self._connections[id(connection)]
            if connection.tx is not None:
                self._transactions.abandon(connection.tx)
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await stream.aclose()

    async def _run_or_relay(self, connection: CallerConnection) -> None:
        """Runs a session here or relays it to its workspace's home."""
        await self._entry.run(
            connection,
            self._authorize,
            self._run_session,
            self._answer_statements,
            lambda: self._access.allowed_domains(connection),
        )

    async def _run_session(self, connection: CallerConnection) -> None:
        """Greets a caller and serves its session until it ends."""
        await connection.stream.send_all(
            lines.encode_ready(TransactionState.IDLE)
        )
        await self._answer_statements(connection)

    async def _answer_statements(self, connection: CallerConnection) -> None:
        """Answers a session's statements until it ends."""
        while not (self.draining and connection.is_idle):
            line = await self._next_line(connection)
            if line is None:
                return
            message = lines.parse_caller_line(line)
            match message:
                case lines.Release():
                    return
                case lines.Start():
                    raise lines.BadLineError(
                        ErrorCode.MALFORMED, "the session is open"
                    )
                case lines.Query() if self.refusing:
                    await self._refuse_query(connection, message)
                case lines.Query():
                    if not await self._answer_query(connection, message):
                        return

    async def _open_session(self, connection: CallerConnection) -> bool:
        """Reads a session's first line; returns whether it is authorized."""
        with trio.move_on_after(START_TIMEOUT_SECONDS):
            line = await connection.receive_line()
            if line is None:
                return False
            message = lines.parse_caller_line(line)
            if not isinstance(message, lines.Start):
                raise lines.BadLineError(
                    ErrorCode.MALFORMED, "the session is not open"
                )
            connection.database = message.database
            connection.key = message.key
            if len(self._connections) > self._max_connections:
                failure = Failure(ErrorCode.BUSY, "too many sessions")
                await connection.send_refusal(failure)
                return False
            route = self._authorize(connection)
            if isinstance(route, Failure):
                self._metrics.count("starts_refused", code=route.code.value)
                await connection.send_refusal(route)
                return False
            return True
        return False

    async def _answer_query(
        self, connection: CallerConnection, query: lines.Query
    ) -> bool:
        """Answers a statement and returns whether the session continues."""
        started_at = trio.current_time()
        state = connection.session.state
        result = None
        message = CUT_MESSAGE
        try:
            with trio.CancelScope() as connection.statement_scope:
                result = await self._execute(connection, query)
        except Exception as exc:
            self._fleet.supervisor.report(
                "statement", exc, request=query.request_id
            )
            message = "internal error"
        finally:
            connection.statement_scope = None
        if result is None:
            # Its transaction is rolled back with the end of the session.
            failure = failure_without_answer(
                query.statement,
                in_transaction=state is not TransactionState.IDLE,
                message=message,
            )
            await connection.send_final_result(failure, state)
            self._answers.record(
                connection, query, failure, trio.current_time() - started_at
            )
            return False
        state = connection.session.state
        await connection.stream.send_all(lines.encode_result(result, state))
        self._answers.record(
            connection, query, result, trio.current_time() - started_at
        )
        ends = (
            isinstance(result, Failure) and result.code in SESSION_ENDING_CODES
        )
        # A failed transaction is ended by its caller first.
        return not (ends and state is TransactionState.IDLE)

    async def _refuse_query(
        self, connection: CallerConnection, query: lines.Query
    ) -> None:
        """Answers a statement that is not run because of the shutdown."""
        if connection.tx is not None:
            # Before the answer, which says that nothing of it is kept.
            self._transactions.abandon(connection.tx)
            connection.tx = None
        result = connection.session.refuse(query.statement, SHUTDOWN_MESSAGE)
        state = connection.session.state
        await connection.stream.send_all(lines.encode_result(result, state))
        self._answers.record(connection, query, result, 0.0)

    async def _execute(
        self, connection: CallerConnection, query: lines.Query
    ) -> Result:
        """Runs a statement, or answers it from the session's state."""
        session = connection.session
        if self._access.is_withdrawn(connection) or connection.is_detached:
            return self._deny(connection, query)
        step = session.step(query.statement)
        match step:
            case LocalResult(result):
                return result
            case OpenTransaction(read_only):
                return await self._open_transaction(connection, read_only)
            case EndTransaction(commits):
                return await self._end_transaction(connection, query, commits)
            case Run():
                return await self._run_statement(connection, query, step)

    def _deny(self, connection: CallerConnection, query: lines.Query) -> Result:
        """Answers a statement whose key was withdrawn, also for a while."""
        self._end_withdrawn(connection)
        failure = Failure(ErrorCode.NO_AUTH, WITHDRAWN_MESSAGE)
        if not self._access.is_withdrawn(connection):
            failure = Failure(ErrorCode.ABORTED, WITHDRAWN_MESSAGE)
        return connection.session.deny(query.statement, failure)

    def _end_withdrawn(self, connection: CallerConnection) -> bool:
        """Rolls back the open transaction of a key that was withdrawn.

        Returns:
            Whether there was one.
        """
        if connection.tx is None or not self._access.is_withdrawn(connection):
            return False
        self._transactions.abandon(connection.tx)
        connection.tx = None
        connection.session.mark_failed()
        self._metrics.count("withdrawn_transactions_ended")
        log_event(
            "transaction of withdrawn key ended",
            database=connection.database,
            workspace=connection.caller and connection.caller.workspace,
        )
        return True

    async def _open_transaction(
        self, connection: CallerConnection, read_only: bool
    ) -> Result:
        route = await self._admit(connection)
        if isinstance(route, Failure):
            return route
        connection.tx = Transaction(
            route=route, read_only=read_only, began=trio.current_time()
        )
        connection.session.mark_opened()
        return Success()

    async def _end_transaction(
        self, connection: CallerConnection, query: lines.Query, commits: bool
    ) -> Result:
        tx, connection.tx = connection.tx, None
        assert tx is not None
        assert connection.caller is not None
        try:
            if commits:
                return await self._transactions.commit(
                    connection.caller, tx, query.request_id
                )
            await self._transactions.roll_back(tx)
            return Success()
        finally:
            connection.session.mark_ended()

    async def _run_statement(
        self, connection: CallerConnection, query: lines.Query, run: Run
    ) -> Result:
        if run.autocommit:
            route = await self._admit(connection)
            if isinstance(route, Failure):
                return route
            assert connection.caller is not None
            return await self._executor.run(
                connection.caller, route, run, query.request_id
            )
        assert connection.tx is not None
        assert connection.caller is not None
        result = await self._transactions.run(
            connection.caller, connection.tx, run, query.request_id
        )
        if isinstance(result, Failure):
            connection.tx = None
            connection.session.mark_failed()
        return result

    async def _admit(self, connection: CallerConnection) -> Route | Failure:
        """Checks authorization and the rate before an operation.

        Returns:
            The session's route, or the failure to answer with.
        """
        route = self._authorize(connection)
        if isinstance(route, Failure):
            return route
        assert connection.caller is not None
        refusal = refuse_unservable(
            self._fleet,
            self._metrics,
            route,
            connection.caller.workspace,
        )
        if refusal is not None:
            return refusal
        try:
            await self._quota.admit(connection.caller.workspace)
        except LagoonstairError as exc:
            self._metrics.count("over_rate")
            return refusal_failure(exc)
        return route

    async def _next_line(self, connection: CallerConnection) -> bytes | None:
        """Returns the next line, or ``None`` if the session is to end."""
        line = connection.splitter.next_line()
        while line is None:
            if self.refusing and not is_readable(connection.stream):
                return None
            # The key may have been withdrawn while a statement ran.
            self._end_withdrawn(connection)
            if connection.is_idle and (
                connection.is_detached
                or isinstance(self._authorize(connection), Failure)
            ):
                return None
            seconds = self._idle_limit(connection)
            with trio.move_on_after(seconds) as scope:
                connection.wait_scope = scope
                try:
                    line = await connection.receive_line()
                    if line is None:
                        return None
                finally:
                    connection.wait_scope = None
            if line is None and not (
                self._end_withdrawn(connection)
                or self._end_idle_transaction(connection)
            ):
                return None
        return line

    def _idle_limit(self, connection: CallerConnection) -> float:
        """Returns for how long, in seconds, a session may wait for a line."""
        config = self._fleet.config
        is_limited = (
            connection.tx is not None
            or connection.is_detached
            or self._access.is_withdrawn(connection)
        )
        if config is None or not is_limited:
            return float("inf")
        return config.transaction_idle

    def _end_idle_transaction(self, connection: CallerConnection) -> bool:
        """Ends an idle transaction.

        Returns:
            Whether the session continues; false without a transaction and
            during a drain.
        """
        if connection.tx is None:
            return False
        self._transactions.abandon(connection.tx)
        connection.tx = None
        connection.session.mark_failed()
        self._metrics.count("idle_transactions_ended")
        return not self.draining

    def _close_unauthorized(self) -> None:
        """Closes sessions whose key or route was removed, once they are idle.

        The open transaction of a key that was withdrawn is rolled back, as
        soon as no statement of it runs. A relayed session is handled here too,
        because its home may be cut off from the configuration.
        """
        for connection in [*self._connections.values()]:
            if connection.caller is None:
                continue
            if connection.tx is not None and self._access.is_withdrawn(
                connection
            ):
                if connection.wait_scope is not None:
                    connection.wait_scope.cancel()
                continue
            if not isinstance(self._authorize(connection), Failure):
                self._leave_disallowed_home(connection)
                continue
            if connection.relayed is not None:
                connection.relayed.cancel_when_idle()
                if self._access.is_withdrawn(connection):
                    connection.relayed.detach_when_answered()
            elif connection.wait_scope is not None and connection.is_idle:
                connection.wait_scope.cancel()

    def _leave_disallowed_home(self, connection: CallerConnection) -> None:
        """Ends a relayed session if its home is not in a home region.

        What the caller sends must not reach it any more, so an open
        transaction is rolled back.
        """
        allowed = self._access.allowed_domains(connection)
        place = self._fleet.places.get(connection.home)
        if connection.relayed is None or allowed is None or place is None:
            return
        if place.failure_domain not in allowed:
            connection.relayed.cancel_when_idle()
            connection.relayed.cancel_when_answered()
