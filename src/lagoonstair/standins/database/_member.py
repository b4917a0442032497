"""The state machine of one member: terms, log and transactions, without I/O."""

from collections.abc import Sequence
from typing import NoReturn

from lagoonstair._types import Position
from lagoonstair.ports import (
    Commit,
    EndpointRefusal,
    EndpointRefusedError,
    EndpointStatus,
    Execute,
    FenceAnswer,
    Result,
    Role,
    Run,
    RunAnswer,
    Statement,
)
from lagoonstair.standins.database._config import DatabaseConfig
from lagoonstair.standins.database._log import (
    Entry,
    Log,
    LogPage,
    common_offset,
)
from lagoonstair.standins.database._store import (
    Outcome,
    SqlStore,
    StatementError,
)

FIRST_TERM = 1
"""The term that a group starts in; its primary is configured, not elected."""

MAX_PAGE_ENTRIES = 500
"""The maximum number of log entries in one answer to a replica."""


class _Transaction:
    """An open transaction: its statements so far and their outcomes."""

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.statements: list[Statement] = []
        self.outcomes: list[Outcome] = []


class Member:
    """One member of a database group.

    Open transactions are keyed by connection. Their statements run again at
    each step and at commit, and the transaction is refused if an outcome has
    changed since.

    Attributes:
        name: The member's name.
        term: The highest term that it has accepted.
        role: Its role in that term.
        leader: The primary that it follows; empty while it knows none.
        synced: Whether its log is known to be a prefix of the primary's.
    """

    def __init__(self, cfg: DatabaseConfig) -> None:
        self._cfg = cfg
        self.name = cfg.name
        self.term = FIRST_TERM
        self.role = Role.PRIMARY if cfg.primary == cfg.name else Role.REPLICA
        self.leader = cfg.primary
        self.synced = True
        self._granted_to = ""
        self._store = SqlStore(cfg.schema)
        self._log = Log()
        self._transactions: dict[int, _Transaction] = {}
        self._append(Entry(term=FIRST_TERM, offset=1))

    @property
    def last(self) -> Position:
        """The position of the last applied log entry."""
        return self._log.last

    def status(self) -> EndpointStatus:
        """Returns the member's term, role and log positions.

        The primary is left empty until this member's log has been compared
        with the primary's.
        """
        return EndpointStatus(
            name=self.name,
            role=self.role,
            term=self.term,
            last=self._log.last,
            history=self._log.history,
            primary=self.leader if self.synced else "",
        )

    def fence(self, term: int, candidate: str) -> FenceAnswer:
        """Grants a term to the first candidate that requests it.

        A higher term than the current one ends the current one: the member
        becomes a replica without a primary and drops its transactions.
        """
        if term > self.term:
            self._accept_term(term, leader="")
            self._granted_to = candidate
        granted = term == self.term and candidate == self._granted_to
        return FenceAnswer(granted=granted, status=self.status())

    def promote(self, term: int, candidate: str) -> EndpointStatus:
        """Becomes the primary and writes the first entry of the term.

        Raises:
            EndpointRefusedError: The term isn't granted to the candidate.
        """
        if term != self.term or candidate != self._granted_to:
            self._refuse(
                EndpointRefusal.STALE_TERM,
                "the term is not granted",
            )
        if self.role is Role.REPLICA:
            self.role = Role.PRIMARY
            self.leader = self.name
            self.synced = True
            self._append(Entry(term=term, offset=self.last.offset + 1))
        return self.status()

    def follow(self, term: int, primary: str) -> EndpointStatus:
        """Follows the primary of a term, unless the term is over.

        Raises:
            EndpointRefusedError: The term is lower than the member's, or the
                named primary contradicts the member's own role.
        """
        if term < self.term:
            self._refuse(EndpointRefusal.STALE_TERM, "the term is over")
        if term == self.term and self.role is Role.PRIMARY:
            if primary != self.name:
                self._refuse(
                    EndpointRefusal.BAD_REQUEST,
                    "it is the primary",
                )
            return self.status()
        if primary == self.name:
            self._refuse(
                EndpointRefusal.BAD_REQUEST,
                "it is no primary",
            )
        if (term, primary) != (self.term, self.leader):
            granted = self._granted_to if term == self.term else ""
            self._accept_term(term, leader=primary)
            self._granted_to = granted
        return self.status()

    def page(self, after: int, *, whole: bool = False) -> LogPage:
        """Returns log entries after an offset.

        Args:
            after: The offset of the entry before the first one returned.
            whole: Whether to return all of them, not just
                ``MAX_PAGE_ENTRIES``.
        """
        end = None if whole else after + MAX_PAGE_ENTRIES
        return LogPage(
            name=self.name,
            term=self.term,
            history=self._log.history,
            last=self.last,
            entries=tuple(self._log.entries[after:end]),
        )

    def check_replica(self, term: int) -> None:
        """Checks that a replica in a term may read the log of this member.

        Raises:
            EndpointRefusedError: The member isn't the primary of the term.
        """
        self.check_term(term)
        self._check_primary()

    def reconcile(self, page: LogPage) -> None:
        """Drops the entries that the primary's log lacks.

        Raises:
            EndpointRefusedError: The page isn't from the followed primary.
        """
        if (page.term, page.name) != (self.term, self.leader):
            self._refuse(
                EndpointRefusal.STALE_TERM,
                "the log page is not from the followed primary",
            )
        common = common_offset(
            self._log.history, self.last, page.history, page.last
        )
        if common < self.last.offset:
            self._rebuild(self._log.prefix(common))
        self.synced = True

    def replicate(self, entry: Entry, *, term: int) -> None:
        """Applies an entry from the primary of a term, if it is the next one.

        Raises:
            EndpointRefusedError: The term has ended, or the log was not
                compared with the primary's yet.
        """
        if term != self.term or not self.synced:
            self._refuse(EndpointRefusal.STALE_TERM, "the term has ended")
        if entry.offset == self.last.offset + 1:
            self._append(entry)

    def run(self, call: Run) -> RunAnswer:
        """Runs statements as one transaction.

        A write whose request id is in the log already doesn't run again; it
        is answered with the recorded results.

        Raises:
            EndpointRefusedError: The term is another one, the member may not
                run the call, or a statement failed.
        """
        self.check_term(call.term)
        if call.read_only:
            return self._read(call)
        self._check_primary()
        recorded = self._find_recorded(
            call.workspace, call.request_id, call.digest
        )
        if recorded is not None:
            return self._answer_duplicate(call.call_id, recorded)
        outcomes = self._apply(call.statements)
        return self._log_transaction(call, call.statements, outcomes)

    def execute(self, conn_id: int, call: Execute) -> RunAnswer:
        """Runs statements in the connection's transaction; opens it if needed.

        Raises:
            EndpointRefusedError: The member isn't the primary of the term, a
                statement failed, or an earlier outcome has changed.
        """
        self.check_term(call.term)
        self._check_primary()
        txn = self._transactions.get(conn_id) or _Transaction(call.workspace)
        self._check_workspace(txn, call.workspace)
        previous = len(txn.outcomes)
        try:
            outcomes = self._store.dry_run([*txn.statements, *call.statements])
        except StatementError as exc:
            self._refuse(EndpointRefusal.STATEMENT_FAILED, str(exc))
        if outcomes[:previous] != txn.outcomes:
            self.rollback(conn_id)
            self._refuse(
                EndpointRefusal.SERIALIZATION,
                "data has changed",
            )
        txn.statements += call.statements
        txn.outcomes = outcomes
        self._transactions[conn_id] = txn
        return self._answer(call.call_id, outcomes[previous:])

    def commit(self, conn_id: int, call: Commit) -> RunAnswer:
        """Commits the connection's transaction.

        A request id that is in the log already is answered with the recorded
        results, and the open transaction is rolled back.

        Raises:
            EndpointRefusedError: The member isn't the primary of the term, no
                transaction is open, or an outcome has changed.
        """
        self.check_term(call.term)
        self._check_primary()
        txn = self._transactions.get(conn_id)
        recorded = self._find_recorded(
            call.workspace, call.request_id, call.digest
        )
        if recorded is not None:
            self.rollback(conn_id)
            return self._answer_duplicate(call.call_id, recorded)
        if txn is None:
            self._refuse(EndpointRefusal.NO_TRANSACTION, "none is open")
        self._check_workspace(txn, call.workspace)
        self.rollback(conn_id)
        outcomes = self._apply(txn.statements, expected=txn.outcomes)
        return self._log_transaction(call, tuple(txn.statements), outcomes)

    def rollback(self, conn_id: int) -> None:
        """Discards the connection's transaction, if one is open."""
        self._transactions.pop(conn_id, None)

    def in_transaction(self, conn_id: int) -> bool:
        """Returns whether the connection has an open transaction."""
        return conn_id in self._transactions

    def check_term(self, term: int) -> None:
        """Checks that a call is of the member's term.

        Raises:
            EndpointRefusedError: The call is of another term.
        """
        if term != self.term:
            self._refuse(
                EndpointRefusal.STALE_TERM,
                f"term is {self.term}",
            )

    def _accept_term(self, term: int, *, leader: str) -> None:
        self.term = term
        self.role = Role.REPLICA
        self.leader = leader
        self.synced = False
        self._granted_to = ""
        self._transactions.clear()

    def _read(self, call: Run) -> RunAnswer:
        if not self.synced:
            self._refuse(EndpointRefusal.NOT_PRIMARY, "not in step yet")
        try:
            outcomes = self._store.read(call.statements)
        except StatementError as exc:
            self._refuse(EndpointRefusal.STATEMENT_FAILED, str(exc))
        return self._answer(call.call_id, outcomes)

    def _check_primary(self) -> None:
        if self.role is not Role.PRIMARY:
            self._refuse(EndpointRefusal.NOT_PRIMARY, "it is a replica")

    def _check_workspace(self, txn: _Transaction, workspace: str) -> None:
        if txn.workspace != workspace:
            self._refuse(
                EndpointRefusal.BAD_REQUEST,
                "transaction of another workspace",
            )

    def _find_recorded(
        self, workspace: str, request_id: str | None, digest: str
    ) -> Entry | None:
        entry = self._log.find(workspace, request_id)
        if entry is not None and entry.digest != digest:
            self._refuse(
                EndpointRefusal.REQUEST_ID_REUSED,
                "the request differs",
            )
        return entry

    def _apply(
        self,
        statements: Sequence[Statement],
        *,
        expected: list[Outcome] | None = None,
    ) -> list[Outcome]:
        def check(outcomes: list[Outcome]) -> None:
            if expected is not None and outcomes != expected:
                self._refuse(
                    EndpointRefusal.SERIALIZATION,
                    "data has changed",
                )

        try:
            return self._store.apply(statements, check)
        except StatementError as exc:
            self._refuse(EndpointRefusal.STATEMENT_FAILED, str(exc))

    def _log_transaction(
        self,
        call: Run | Commit,
        statements: tuple[Statement, ...],
        outcomes: list[Outcome],
    ) -> RunAnswer:
        entry = Entry(
            term=self.term,
            offset=self.last.offset + 1,
            workspace=call.workspace,
            request_id=call.request_id,
            digest=call.digest,
            statements=statements,
            results=_results(outcomes),
        )
        self._log.append(entry)
        return self._answer(call.call_id, outcomes)

    def _append(self, entry: Entry) -> None:
        self._store.apply(entry.statements)
        self._log.append(entry)

    def _rebuild(self, entries: list[Entry]) -> None:
        self._store.close()
        self._store = SqlStore(self._cfg.schema)
        self._log = Log()
        for entry in entries:
            self._append(entry)

    def _answer(self, call_id: int, outcomes: list[Outcome]) -> RunAnswer:
        return RunAnswer(
            call_id=call_id,
            term=self.term,
            position=self.last,
            results=_results(outcomes),
        )

    def _answer_duplicate(self, call_id: int, entry: Entry) -> RunAnswer:
        return RunAnswer(
            call_id=call_id,
            term=self.term,
            position=entry.position,
            results=entry.results,
            duplicate=True,
        )

    def _refuse(self, refusal: EndpointRefusal, message: str) -> NoReturn:
        raise EndpointRefusedError(refusal, message, term=self.term)


def _results(outcomes: list[Outcome]) -> tuple[Result, ...]:
    return tuple(outcome.rows for outcome in outcomes)
