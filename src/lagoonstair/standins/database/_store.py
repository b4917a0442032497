"""An SQL database in memory that applies batches atomically."""

import sqlite3
from collections.abc import Callable, Sequence
from typing import NamedTuple

from lagoonstair.ports import Result, Statement

READ_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_SELECT,
        sqlite3.SQLITE_READ,
        sqlite3.SQLITE_FUNCTION,
        sqlite3.SQLITE_RECURSIVE,
    }
)
WRITE_ACTIONS = READ_ACTIONS | {
    sqlite3.SQLITE_INSERT,
    sqlite3.SQLITE_UPDATE,
    sqlite3.SQLITE_DELETE,
}
NONDETERMINISTIC_FUNCTIONS = frozenset(
    {
        "random",
        "randomblob",
        "date",
        "time",
        "datetime",
        "julianday",
        "unixepoch",
        "strftime",
        "changes",
        "total_changes",
    }
)
"""Functions that may return another value when a replica runs the statement
again; statements that use them are rejected."""


class StatementError(Exception):
    """A statement failed or isn't allowed; its batch has no effect."""


class Outcome(NamedTuple):
    """The outcome of a statement.

    Attributes:
        rows: The rows that it returned.
        changed: The number of rows that it changed; -1 for a read.
    """

    rows: Result
    changed: int


class SqlStore:
    """The tables of one member, in memory."""

    def __init__(self, schema: str) -> None:
        # Statements aren't cached: SQLite calls the authorizer, which tells
        # reads from writes, only when it compiles a statement.
        self._db = sqlite3.connect(
            ":memory:", isolation_level=None, cached_statements=0
        )
        self._allowed: frozenset[int] | None = None
        self._db.executescript(schema)
        self._db.set_authorizer(self._authorize)

    def read(self, statements: Sequence[Statement]) -> list[Outcome]:
        """Runs statements that may not change data.

        Raises:
            StatementError: A statement failed or would change data.
        """
        return self._run_authorized(statements, READ_ACTIONS)

    def dry_run(self, statements: Sequence[Statement]) -> list[Outcome]:
        """Runs statements and rolls back what they changed.

        Raises:
            StatementError: A statement failed.
        """
        self._db.execute("SAVEPOINT trial")
        try:
            return self._run_authorized(statements, WRITE_ACTIONS)
        finally:
            self._roll_back()

    def apply(
        self,
        statements: Sequence[Statement],
        check: Callable[[list[Outcome]], None] | None = None,
    ) -> list[Outcome]:
        """Runs statements as one transaction.

        Args:
            statements: The statements to run, in order.
            check: Called with the outcomes before the commit; if it raises,
                the transaction is rolled back.

        Returns:
            The outcome of each statement.

        Raises:
            StatementError: A statement failed; nothing was changed.
        """
        self._db.execute("SAVEPOINT trial")
        try:
            outcomes = self._run_authorized(statements, WRITE_ACTIONS)
            if check is not None:
                check(outcomes)
        except BaseException:
            self._roll_back()
            raise
        self._db.execute("RELEASE trial")
        return outcomes

    def close(self) -> None:
        """Closes the database, which discards its tables."""
        self._db.close()

    def _roll_back(self) -> None:
        # A failed statement with OR ROLLBACK has ended the transaction.
        if self._db.in_transaction:
            self._db.execute("ROLLBACK TO trial")
            self._db.execute("RELEASE trial")

    def _run_authorized(
        self, statements: Sequence[Statement], allowed: frozenset[int]
    ) -> list[Outcome]:
        self._allowed = allowed
        try:
            return [self._run_statement(statement) for statement in statements]
        except (
            sqlite3.Error,
            sqlite3.Warning,
            OverflowError,
            UnicodeError,
        ) as exc:
            raise StatementError(str(exc)) from exc
        finally:
            self._allowed = None

    def _run_statement(self, statement: Statement) -> Outcome:
        cur = self._db.execute(statement.sql, statement.params)
        rows = [list(row) for row in cur.fetchall()]
        return Outcome(rows, cur.rowcount)

    def _authorize(
        self, action: int, arg1: str | None, arg2: str | None, *_: object
    ) -> int:
        if self._allowed is None:
            return sqlite3.SQLITE_OK
        if action not in self._allowed:
            return sqlite3.SQLITE_DENY
        if (
            action == sqlite3.SQLITE_FUNCTION
            and arg2 in NONDETERMINISTIC_FUNCTIONS
        ):
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK
