"""The decisions of one member: terms, log, transactions. No I/O."""

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
PAGE_ENTRIES = 500


class _Transaction:
    """Statements of an open transaction and what they returned."""

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.statements: list[Statement] = []
        self.outcomes: list[Outcome] = []


class Member:
    """One database of a group.

    Attributes:
        term: The greatest term it accepted.
        role: Its role in the term.
        leader: The primary that it was told to follow, if any.
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
        """The position of the last applied entry."""
        return self._log.last

    def status(self) -> EndpointStatus:
        """Reports term, role and log.

        A primary that is followed, but whose log was not compared yet, is
        not reported.
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
        """Grants a term to the first candidate that asks for it."""
        if term > self.term:
            self._enter(term, leader="")
            self._granted_to = candidate
        granted = term == self.term and candidate == self._granted_to
        return FenceAnswer(granted=granted, status=self.status())

    def promote(self, term: int, candidate: str) -> EndpointStatus:
        """Becomes the primary and writes the first entry of the term."""
        if term != self.term or candidate != self._granted_to:
            self._refuse(EndpointRefusal.STALE_TERM, "the term is not granted")
        if self.role is Role.REPLICA:
            self.role = Role.PRIMARY
            self.leader = self.name
            self.synced = True
            self._append(Entry(term=term, offset=self.last.offset + 1))
        return self.status()

    def follow(self, term: int, primary: str) -> EndpointStatus:
        """Accepts the primary of a term."""
        if term < self.term:
            self._refuse(EndpointRefusal.STALE_TERM, "the term is over")
        if term == self.term and self.role is Role.PRIMARY:
            if primary != self.name:
                self._refuse(EndpointRefusal.BAD_REQUEST, "it is the primary")
            return self.status()
        if primary == self.name:
            self._refuse(EndpointRefusal.BAD_REQUEST, "it is no primary")
        if (term, primary) != (self.term, self.leader):
            granted = self._granted_to if term == self.term else ""
            self._enter(term, leader=primary)
            self._granted_to = granted
        return self.status()

    def page(self, after: int, *, whole: bool = False) -> LogPage:
        """Returns entries after an offset, all of them if ``whole``."""
        end = None if whole else after + PAGE_ENTRIES
        return LogPage(
            name=self.name,
            term=self.term,
            history=self._log.history,
            last=self.last,
            entries=tuple(self._log.entries[after:end]),
        )

    def check_replica(self, term: int) -> None:
        """Refuses to feed a replica unless it is the primary of its term."""
        self.check_term(term)
        self._check_primary()

    def reconcile(self, page: LogPage) -> None:
        """Drops the entries that the primary's log lacks.

        Raises:
            EndpointRefusedError: The page is not of the followed primary.
        """
        if (page.term, page.name) != (self.term, self.leader):
            self._refuse(EndpointRefusal.STALE_TERM, "not the primary")
        common = common_offset(
            self._log.history, self.last, page.history, page.last
        )
        if common < self.last.offset:
            self._rebuild(self._log.prefix(common))
        self.synced = True

    def replicate(self, entry: Entry, *, term: int) -> None:
        """Applies the next entry of the primary of a term."""
        if term != self.term or not self.synced:
            self._refuse(EndpointRefusal.STALE_TERM, "the term is over")
        if entry.offset == self.last.offset + 1:
            self._append(entry)

    def run(self, call: Run) -> RunAnswer:
        """Runs statements as one transaction."""
        self.check_term(call.term)
        if call.read_only:
            return self._read(call)
        self._check_primary()
        first = self._find(call.workspace, call.request_id, call.digest)
        if first is not None:
            return self._repeat(call.call_id, first)
        outcomes = self._apply(call.statements)
        return self._record(call, call.statements, outcomes)

    def execute(self, conn_id: int, call: Execute) -> RunAnswer:
        """Runs statements in the connection's transaction."""
        self.check_term(call.term)
        self._check_primary()
        txn = self._transactions.get(conn_id) or _Transaction(call.workspace)
        self._check_workspace(txn, call.workspace)
        known = len(txn.outcomes)
        try:
            outcomes = self._store.dry_run([*txn.statements, *call.statements])
        except StatementError as exc:
            self._refuse(EndpointRefusal.STATEMENT_FAILED, str(exc))
        if outcomes[:known] != txn.outcomes:
            self.rollback(conn_id)
            self._refuse(EndpointRefusal.SERIALIZATION, "data has changed")
        txn.statements += call.statements
        txn.outcomes = outcomes
        self._transactions[conn_id] = txn
        return self._answer(call.call_id, outcomes[known:])

    def commit(self, conn_id: int, call: Commit) -> RunAnswer:
        """Commits the connection's transaction."""
        self.check_term(call.term)
        self._check_primary()
        txn = self._transactions.get(conn_id)
        first = self._find(call.workspace, call.request_id, call.digest)
        if first is not None:
            self.rollback(conn_id)
            return self._repeat(call.call_id, first)
        if txn is None:
            self._refuse(EndpointRefusal.NO_TRANSACTION, "none is open")
        self._check_workspace(txn, call.workspace)
        self.rollback(conn_id)
        outcomes = self._apply(txn.statements, expected=txn.outcomes)
        return self._record(call, tuple(txn.statements), outcomes)

    def rollback(self, conn_id: int) -> None:
        """Forgets the connection's transaction."""
        self._transactions.pop(conn_id, None)

    def in_transaction(self, conn_id: int) -> bool:
        """Whether the connection has an open transaction."""
        return conn_id in self._transactions

    def check_term(self, term: int) -> None:
        """Refuses a call of another term than the member's."""
        if term != self.term:
            self._refuse(EndpointRefusal.STALE_TERM, f"term is {self.term}")

    def _enter(self, term: int, *, leader: str) -> None:
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
                EndpointRefusal.BAD_REQUEST, "transaction of another workspace"
            )

    def _find(
        self, workspace: str, request_id: str | None, digest: str
    ) -> Entry | None:
        entry = self._log.find(workspace, request_id)
        if entry is not None and entry.digest != digest:
            self._refuse(
                EndpointRefusal.REQUEST_ID_REUSED, "the request differs"
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
                self._refuse(EndpointRefusal.SERIALIZATION, "data has changed")

        try:
            return self._store.apply(statements, check)
        except StatementError as exc:
            self._refuse(EndpointRefusal.STATEMENT_FAILED, str(exc))

    def _record(
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
            results=_rows(outcomes),
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
            results=_rows(outcomes),
        )

    def _repeat(self, call_id: int, entry: Entry) -> RunAnswer:
        return RunAnswer(
            call_id=call_id,
            term=self.term,
            position=entry.position,
            results=entry.results,
            duplicate=True,
        )

    def _refuse(self, refusal: EndpointRefusal, message: str) -> NoReturn:
        raise EndpointRefusedError(refusal, message, term=self.term)


def _rows(outcomes: list[Outcome]) -> tuple[Result, ...]:
    return tuple(outcome.rows for outcome in outcomes)
