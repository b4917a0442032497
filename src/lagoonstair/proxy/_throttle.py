"""Refuses operations of workspaces over their rates before their homes do."""

import random

import trio

from lagoonstair.platform import lines
from lagoonstair.platform.tracking import parse_query
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.statements import (
    Begin,
    ErrorCode,
    Execute,
    Failure,
    Read,
    TransactionState,
    Write,
)
from lagoonstair.throttling import RATE_REFUSAL, Throttler, rate_refusal_hint

OPERATION_STARTS = Read | Write | Execute | Begin
"""Statements for which a home takes a token in a session without an open
transaction."""


class EntryThrottle:
    """Throttles the sessions that an instance relays."""

    def __init__(self, fleet: Fleet, metrics: Metrics) -> None:
        """Creates a throttle that has counted nothing yet.

        Args:
            fleet: The state of the instances and endpoints.
            metrics: The metrics, for the count of refusals.
        """
        self._fleet = fleet
        self._metrics = metrics
        self._throttler = Throttler()
        fleet.config_listeners.append(self._drop_removed)

    def gate(self, workspace: str, database: str) -> "SessionGate":
        """Returns the gate of a session that a home has opened."""
        return SessionGate(self, workspace, database)

    def refuse(
        self, workspace: str, database: str, *, stage: str, request: str = ""
    ) -> Failure | None:
        """Decides on an operation of which nothing was forwarded.

        Args:
            workspace: The operation's workspace.
            database: The database name that the caller asked for.
            stage: What is refused, for the log and the metrics: ``start`` for
                the opening of a session, or ``statement``.
            request: The id of the operation's first statement; empty at the
                opening of a session.

        Returns:
            The answer if it is refused, else ``None``.
        """
        now = trio.current_time()
        hint = self._throttler.refuse(now, workspace, random.random())
        if hint is None:
            return None
        self._metrics.count("throttled", stage=stage)
        if stage == "statement":
            self._metrics.count("statements", outcome=ErrorCode.BUSY.value)
        if self._throttler.takes_log_line(now, workspace):
            counts = self._throttler.counts(now, workspace)
            log_event(
                "workspace throttled",
                workspace=workspace,
                database=database,
                request=request,
                stage=stage,
                requests=round(counts.requests, 1),
                accepts=round(counts.accepts, 1),
                probability=round(counts.refusal_probability, 3),
                retry_after_ms=hint,
            )
        return Failure(ErrorCode.BUSY, f"{RATE_REFUSAL}; retry_after_ms={hint}")

    def record(self, workspace: str, error: str) -> None:
        """Counts an operation that a home has answered.

        Args:
            workspace: The operation's workspace.
            error: The error line of the answer; empty without an error.
        """
        hint = rate_refusal_hint(error)
        self._throttler.record(trio.current_time(), workspace, hint)

    def _drop_removed(self) -> None:
        if self._fleet.config is not None:
            self._throttler.keep(frozenset(self._fleet.config.workspaces))


class SessionGate:
    """Decides on the operations of one relayed session.

    The decision at the opening of the session holds for its first operation.
    """

    def __init__(
        self, throttle: EntryThrottle, workspace: str, database: str
    ) -> None:
        self._throttle = throttle
        self._workspace = workspace
        self._database = database
        self._is_first = True
        self._parsed: bytes | None = None
        self._operation: lines.Query | None = None

    def refuse(self, message: bytes) -> Failure | None:
        """Returns the answer to a message that is not to be forwarded."""
        query = self._parse_operation(message)
        if query is None:
            return None
        if self._is_first:
            self._is_first = False
            return None
        return self._throttle.refuse(
            self._workspace,
            self._database,
            stage="statement",
            request=query.request_id,
        )

    def record(
        self, message: bytes, state: TransactionState, error: str
    ) -> None:
        """Counts the home's answer to a message that starts an operation."""
        if state is not TransactionState.IDLE:
            return
        if self._parse_operation(message) is None:
            return
        self._is_first = False
        self._throttle.record(self._workspace, error)

    def _parse_operation(self, message: bytes) -> lines.Query | None:
        """Returns the statement if it starts an operation in an idle session.

        The last result is kept, because a message is looked at both when it
        is forwarded and when it is answered.
        """
        if message is not self._parsed:
            query = parse_query(message)
            is_start = query is not None and isinstance(
                query.statement, OPERATION_STARTS
            )
            self._parsed = message
            self._operation = query if is_start else None
        return self._operation
