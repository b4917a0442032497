"""Callers' connections."""

import random
import socket
from collections.abc import Awaitable, Callable

import trio

from lagoonstair._faults import describe_exception
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.platform import lines
from lagoonstair.proxy._conversation import CallerConnection
from lagoonstair.proxy._executor import Executor
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._quota import Quota
from lagoonstair.proxy._relay import RelayedSession
from lagoonstair.proxy._relays import HomeRouter
from lagoonstair.proxy._retries import refusal_failure
from lagoonstair.proxy._targets import Caller
from lagoonstair.proxy._transactions import Transaction, TransactionManager
from lagoonstair.routing import Route, RoutingConfig
from lagoonstair.statements import (
    Begin,
    EndTransaction,
    ErrorCode,
    Failure,
    LocalResult,
    OpenTransaction,
    Result,
    Run,
    Success,
    TransactionState,
)

START_TIMEOUT_SECONDS = 10.0
"""How long a caller may take to open its session."""

TCP_USER_TIMEOUT_MS = 10_000
"""Unacknowledged bytes end a caller's connection after this time: longer than
any cut of a link that callers outlive."""

SUCCESS_LOG_RATIO = 1 / 64
"""The part of the answers without an error that is logged."""

CALLER_DESCRIPTOR_SHARE = 0.9
"""The part of the descriptors that callers may use; the rest is for
endpoints, instances and the store."""

SESSION_ENDING_CODES = frozenset({ErrorCode.NO_AUTH, ErrorCode.NO_DATABASE})
"""Errors after which the session can run nothing more."""

NO_HOME_MESSAGE = "no home is in reach"

RESERVED_DESCRIPTORS = 200
"""Descriptors that the platform keeps for files."""


class CallerServer:
    """Serves callers.

    Attributes:
        draining: Once set, sessions are closed as soon as they are idle.
    """

    def __init__(
        self,
        fleet: Fleet,
        executor: Executor,
        transactions: TransactionManager,
        quota: Quota,
        metrics: Metrics,
        max_descriptors: int,
        relays: HomeRouter,
    ) -> None:
        self._fleet = fleet
        self._executor = executor
        self._transactions = transactions
        self._quota = quota
        self._metrics = metrics
        self._relays = relays
        sockets = max_descriptors - RESERVED_DESCRIPTORS
        self._max_open = int(sockets * CALLER_DESCRIPTOR_SHARE)
        self._conversations: dict[int, CallerConnection] = {}
        self.draining = False
        fleet.config_listeners.append(self._close_revoked)

    @property
    def sessions(self) -> int:
        """How many callers are connected."""
        return len(self._conversations)

    def drain(self) -> None:
        """Closes idle sessions now and the others once they are idle."""
        self.draining = True
        for conv in [*self._conversations.values()]:
            if conv.wait_scope is not None and conv.is_idle:
                conv.wait_scope.cancel()
            if conv.relayed is not None and conv.relayed.is_idle:
                conv.relayed.cancel()

    def roll_back_idle_transactions(self) -> None:
        """Rolls open transactions back whose callers are silent."""
        for conv in [*self._conversations.values()]:
            if conv.wait_scope is not None:
                conv.wait_scope.cancel()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one caller until it leaves."""
        await self._serve(stream, self._run_or_relay)

    async def serve_relayed(self, stream: trio.SocketStream) -> None:
        """Serves one caller that another instance relays."""
        await self._serve(stream, self._run_session)

    async def _serve(
        self,
        stream: trio.SocketStream,
        converse: Callable[[CallerConnection], Awaitable[None]],
    ) -> None:
        conv = CallerConnection(stream, lines.LineSplitter())
        self._conversations[id(conv)] = conv
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        try:
            if await self._open_session(conv):
                await converse(conv)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The caller has gone; there is nobody to answer.
            self._metrics.count("callers_gone")
        except lines.BadLineError as exc:
            self._metrics.count("bad_lines", code=exc.code.value)
            await conv.send_refusal(Failure(exc.code, str(exc)))
        except Exception as exc:
            # One session's fault must not end the others.
            log_event("session failed", fault=describe_exception(exc))
            self._metrics.count("sessions_failed")
        finally:
            del self._conversations[id(conv)]
            if conv.tx is not None:
                self._transactions.abandon(conv.tx)
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await stream.aclose()

    async def _run_or_relay(self, conv: CallerConnection) -> None:
        assert conv.caller is not None
        start = lines.encode_caller_start(conv.database, conv.key)
        found = await self._relays.open_session(
            conv.caller.workspace, conv.stream, start
        )
        if found is None:
            self._metrics.count("starts_refused", code="no_home")
            log_event(
                "session refused",
                cause=NO_HOME_MESSAGE,
                database=conv.database,
                workspace=conv.caller.workspace,
                line=self._relays.candidates(conv.caller.workspace),
            )
            await conv.send_refusal(Failure(ErrorCode.BUSY, NO_HOME_MESSAGE))
            return
        name, conv.relayed = found
        if conv.relayed is None:
            await self._run_session(conv)
            return
        failure = await self._relays.relay(
            conv.relayed, name, conv.database, conv.splitter.take_remaining()
        )
        if failure is not None:
            self._log_lost_home(conv, conv.relayed, name, failure)
            await conv.send_final_result(failure, conv.relayed.state)

    async def _run_session(self, conv: CallerConnection) -> None:
        await conv.stream.send_all(lines.encode_ready(TransactionState.IDLE))
        while not (self.draining and conv.is_idle):
            line = await self._next_line(conv)
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
                case lines.Query():
                    if not await self._answer(conv, message):
                        return

    async def _open_session(self, conv: CallerConnection) -> bool:
        with trio.move_on_after(START_TIMEOUT_SECONDS):
            line = await conv.receive_line()
            if line is None:
                return False
            message = lines.parse_caller_line(line)
            if not isinstance(message, lines.Start):
                raise lines.BadLineError(
                    ErrorCode.MALFORMED, "the session is not open"
                )
            conv.database = message.database
            conv.key = message.key
            if len(self._conversations) > self._max_open:
                failure = Failure(ErrorCode.BUSY, "too many sessions")
                await conv.send_refusal(failure)
                return False
            granted = self._authorize(conv)
            if isinstance(granted, Failure):
                self._metrics.count("starts_refused", code=granted.code.value)
                await conv.send_refusal(granted)
                return False
            return True
        return False

    def _authorize(self, conv: CallerConnection) -> Route | Failure:
        """Checks the key and the route by the configuration of now."""
        config = self._fleet.config
        if config is None:
            return Failure(ErrorCode.BUSY, "no configuration yet")
        route = config.routes.get(conv.database)
        if route is None:
            return Failure(ErrorCode.NO_DATABASE, "no route has this name")
        workspace = config.keys.get(conv.key)
        if workspace is None:
            if not route.allows_anonymous:
                return Failure(ErrorCode.NO_AUTH, "unknown key")
            workspace = _public_workspace(config)
        if conv.caller is None:
            conv.caller = Caller(workspace=workspace, session=conv.session)
        elif conv.caller.workspace != workspace:
            return Failure(
                ErrorCode.NO_AUTH, "the key has another workspace now"
            )
        return route

    async def _answer(self, conv: CallerConnection, query: lines.Query) -> bool:
        """Answers a statement; false when the session must end."""
        began = trio.current_time()
        result = await self._execute(conv, query)
        state = conv.session.state
        await conv.stream.send_all(lines.encode_result(result, state))
        self._log_answer(conv, query, result, trio.current_time() - began)
        ends = (
            isinstance(result, Failure) and result.code in SESSION_ENDING_CODES
        )
        return not ends

    async def _execute(
        self, conv: CallerConnection, query: lines.Query
    ) -> Result:
        session = conv.session
        step = session.step(query.statement)
        match step:
            case LocalResult(result):
                return result
            case OpenTransaction(read_only):
                return await self._open_transaction(conv, read_only)
            case EndTransaction(commits):
                return await self._end_transaction(conv, query, commits)
            case Run():
                return await self._run_statement(conv, query, step)

    async def _open_transaction(
        self, conv: CallerConnection, read_only: bool
    ) -> Result:
        granted = await self._admit(conv)
        if isinstance(granted, Failure):
            return granted
        conv.tx = Transaction(
            route=granted, read_only=read_only, began=trio.current_time()
        )
        conv.session.mark_opened()
        return Success()

    async def _end_transaction(
        self, conv: CallerConnection, query: lines.Query, commits: bool
    ) -> Result:
        tx, conv.tx = conv.tx, None
        assert tx is not None
        assert conv.caller is not None
        try:
            if commits:
                return await self._transactions.commit(
                    conv.caller, tx, query.request_id
                )
            await self._transactions.roll_back(tx)
            return Success()
        finally:
            conv.session.mark_ended()

    async def _run_statement(
        self, conv: CallerConnection, query: lines.Query, run: Run
    ) -> Result:
        if run.autocommit:
            granted = await self._admit(conv)
            if isinstance(granted, Failure):
                return granted
            assert conv.caller is not None
            return await self._executor.run(
                conv.caller, granted, run, query.request_id
            )
        assert conv.tx is not None
        assert conv.caller is not None
        result = await self._transactions.run(
            conv.caller, conv.tx, run, query.request_id
        )
        if isinstance(result, Failure):
            conv.tx = None
            conv.session.mark_failed()
        return result

    async def _admit(self, conv: CallerConnection) -> Route | Failure:
        """Checks the key, the route and the rate before an operation."""
        granted = self._authorize(conv)
        if isinstance(granted, Failure):
            return granted
        assert conv.caller is not None
        try:
            await self._quota.admit(conv.caller.workspace)
        except LagoonstairError as exc:
            self._metrics.count("over_rate")
            return refusal_failure(exc)
        return granted

    async def _next_line(self, conv: CallerConnection) -> bytes | None:
        """The next line; ``None`` when the caller left or must leave."""
        line = conv.splitter.next_line()
        while line is None:
            # The key may have been withdrawn while a statement ran.
            if conv.is_idle and isinstance(self._authorize(conv), Failure):
                return None
            seconds = float("inf")
            if conv.tx is not None and self._fleet.config is not None:
                seconds = self._fleet.config.transaction_idle
            with trio.move_on_after(seconds) as scope:
                conv.wait_scope = scope
                try:
                    line = await conv.receive_line()
                    if line is None:
                        return None
                finally:
                    conv.wait_scope = None
            if line is None and not self._end_idle_transaction(conv):
                return None
        return line

    def _end_idle_transaction(self, conv: CallerConnection) -> bool:
        """Ends an idle transaction; false when the session is to end."""
        if conv.tx is None:
            return False
        self._transactions.abandon(conv.tx)
        conv.tx = None
        conv.session.mark_failed()
        self._metrics.count("idle_transactions_ended")
        return not self.draining

    def _close_revoked(self) -> None:
        """Closes idle sessions whose key or route is gone."""
        for conv in [*self._conversations.values()]:
            if conv.caller is None or conv.wait_scope is None:
                continue
            if conv.is_idle and isinstance(self._authorize(conv), Failure):
                conv.wait_scope.cancel()

    def _log_lost_home(
        self,
        conv: CallerConnection,
        relayed: RelayedSession,
        home: str,
        failure: Failure,
    ) -> None:
        """Logs a statement whose home was lost; only this instance can."""
        query = relayed.outstanding_query()
        assert conv.caller is not None
        self._metrics.count("statements", outcome=failure.code.value)
        log_event(
            "statement answered",
            request="" if query is None else query.request_id,
            kind="" if query is None else _statement_kind(query),
            outcome=failure.code.value,
            cause=failure.message,
            home=home,
            database=conv.database,
            workspace=conv.caller.workspace,
            seconds=round(relayed.waiting_seconds(trio.current_time()), 4),
            state=relayed.state.value,
        )

    def _log_answer(
        self,
        conv: CallerConnection,
        query: lines.Query,
        result: Result,
        seconds: float,
    ) -> None:
        kind = _statement_kind(query)
        assert conv.caller is not None
        match result:
            case Success():
                self._metrics.count("statements", outcome="done")
                code = "done"
                message = ""
            case Failure():
                code = result.code.value
                message = result.message
                self._metrics.count("statements", outcome=code)
        self._metrics.observe("statement", seconds, kind=kind)
        if code == "done" and (
            isinstance(query.statement, Begin)
            or random.random() > SUCCESS_LOG_RATIO
        ):
            return
        config = self._fleet.config
        route = None if config is None else config.routes.get(conv.database)
        workspace = (
            None
            if config is None
            else config.workspaces.get(conv.caller.workspace)
        )
        log_event(
            "statement answered",
            request=query.request_id,
            group="" if route is None else route.group,
            kind=kind,
            outcome=code,
            cause=message,
            database=conv.database,
            workspace=conv.caller.workspace,
            seconds=round(seconds, 4),
            state=conv.session.state.value,
            config_version=0 if config is None else config.version,
            rate=0.0 if workspace is None else workspace.rate,
        )


def _statement_kind(query: lines.Query) -> str:
    """The kind of a statement, for logs and metrics."""
    return type(query.statement).__name__.lower()


def _public_workspace(config: RoutingConfig) -> str:
    """The workspace in whose name callers of an open route run."""
    return next(iter(config.workspaces), "")
