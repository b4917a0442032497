"""A SQL store in memory whose changes are all or nothing."""

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
"""Functions that replicas would compute to other values."""


class StatementError(Exception):
    """A statement failed; none of the batch has an effect."""


class Outcome(NamedTuple):
    """What a statement did.

    Attributes:
        rows: The rows it returned.
        changed: How many rows it changed, -1 for a read.
    """

    rows: Result
    changed: int


class SqlStore:
    """Tables in memory."""

    def __init__(self, schema: str) -> None:
        # Statements are compiled each time, since the authorizer, which
        # tells reads from writes, is asked at compilation only.
        self._db = sqlite3.connect(
            ":memory:", isolation_level=None, cached_statements=0
        )
        self._allowed: frozenset[int] | None = None
        self._db.executescript(schema)
        self._db.set_authorizer(self._authorize)

    def read(self, statements: Sequence[Statement]) -> list[Outcome]:
        """Runs statements that may not write.

        Raises:
            StatementError: A statement failed or writes.
        """
        return self._guarded(statements, READ_ACTIONS)

    def dry_run(self, statements: Sequence[Statement]) -> list[Outcome]:
        """Runs statements and undoes what they changed.

        Raises:
            StatementError: A statement failed.
        """
        self._db.execute("SAVEPOINT trial")
        try:
            return self._guarded(statements, WRITE_ACTIONS)
        finally:
            self._undo()

    def apply(
        self,
        statements: Sequence[Statement],
        check: Callable[[list[Outcome]], None] | None = None,
    ) -> list[Outcome]:
        """Runs statements as one transaction.

        Args:
            statements: What to run.
            check: Looks at the outcomes; the transaction is undone when it
                raises.

        Raises:
            StatementError: A statement failed; nothing was changed.
        """
        self._db.execute("SAVEPOINT trial")
        try:
            outcomes = self._guarded(statements, WRITE_ACTIONS)
            if check is not None:
                check(outcomes)
        except BaseException:
            self._undo()
            raise
        self._db.execute("RELEASE trial")
        return outcomes

    def close(self) -> None:
        """Drops the tables."""
        self._db.close()

    def _undo(self) -> None:
        # A statement with OR ROLLBACK has ended the transaction already.
        if self._db.in_transaction:
            self._db.execute("ROLLBACK TO trial")
            self._db.execute("RELEASE trial")

    def _guarded(
        self, statements: Sequence[Statement], allowed: frozenset[int]
    ) -> list[Outcome]:
        self._allowed = allowed
        try:
            return [self._run(statement) for statement in statements]
        except (
            sqlite3.Error,
            sqlite3.Warning,
            OverflowError,
            UnicodeError,
        ) as exc:
            raise StatementError(str(exc)) from exc
        finally:
            self._allowed = None

    def _run(self, statement: Statement) -> Outcome:
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
