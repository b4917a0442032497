"""The platform's metadata store: rows and their feed."""

import base64
import urllib.parse
from collections.abc import Sequence
from http import HTTPStatus
from typing import NamedTuple

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.wire import (
    ConnectionPool,
    HttpAnswer,
    HttpError,
    NotSentError,
)

CALL_SECONDS = 1.5
"""How long one call may take; a transaction takes 8 ms when all is well."""

FEED_MARGIN_SECONDS = 1.0
"""How much longer than its wait a call of the feed may take."""

CONNECTIONS = 6
"""Three feeds that wait, and three calls beside them."""

ROWS_PER_CALL = 500
"""The store returns no more rows in one answer."""


class StoreError(Exception):
    """A call that failed.

    Attributes:
        refused: Whether the store answered that it did nothing.
    """

    def __init__(self, message: str, *, refused: bool) -> None:
        super().__init__(message)
        self.refused = refused


class HistoryLostError(Exception):
    """The feed can't continue; the table is to be read anew."""


class StoredRow(NamedTuple):
    """A row.

    Attributes:
        key: The row's key within its table.
        value: The bytes; ``None`` when the row was dropped.
        version: The store's version at the last change.
    """

    key: str
    value: bytes | None
    version: int


class Rows(NamedTuple):
    """Rows as of one moment.

    Attributes:
        rows: The rows.
        version: The newest version of the store at that moment.
        now: The store's steady clock, in seconds.
        asked_at: When they were asked for, in the caller's time (s).
    """

    rows: tuple[StoredRow, ...]
    version: int
    now: float
    asked_at: float


class Precondition(NamedTuple):
    """The version that a row must have; 0 for a row that must not exist."""

    table: str
    key: str
    version: int


class PutRow(NamedTuple):
    """A row to write."""

    table: str
    key: str
    value: bytes


class Committed(NamedTuple):
    """A transaction that was applied.

    Attributes:
        version: The version of all its rows.
        now: The store's steady clock, in seconds.
    """

    version: int
    now: float


class _WireRow(msgspec.Struct):
    key: str
    row_version: int = 0
    value: str | None = None
    deleted: bool = False


class _WireRows(msgspec.Struct):
    row_version: int
    now_ms: float
    rows: list[_WireRow] = []
    has_more: bool = False


class Store:
    """Calls the store; the only client of it.

    Every method raises ``StoreError`` when no whole answer came in time.
    """

    def __init__(self, address: Address) -> None:
        self._pool = ConnectionPool(address, size=CONNECTIONS)
        self.calls = 0

    async def read_table(self, table: str) -> Rows:
        """Reads all rows of a table."""
        asked_at = trio.current_time()
        rows: list[StoredRow] = []
        query = {"table": table, "part": "", "limit": str(ROWS_PER_CALL)}
        while True:
            page = await self._get("rows-get", query, CALL_SECONDS)
            rows += [_decode_row(row) for row in page.rows]
            if not (page.has_more and page.rows):
                break
            # A range includes its first key, so go on just behind the last.
            query["from"] = page.rows[-1].key + "\0"
        now = page.now_ms / 1000
        return Rows(tuple(rows), page.row_version, now, asked_at)

    async def follow(self, table: str, version: int, wait: float) -> Rows:
        """Waits for changes of a table after a version.

        Args:
            table: The table.
            version: The version up to which its rows are known.
            wait: After how many seconds to return without a change.

        Raises:
            HistoryLostError: Changes since the version are not kept any more.
        """
        asked_at = trio.current_time()
        query = {
            "table": table,
            "after": str(version),
            "wait_ms": str(int(wait * 1000)),
        }
        page = await self._get("rows-feed", query, wait + FEED_MARGIN_SECONDS)
        rows = tuple(map(_decode_row, page.rows))
        return Rows(rows, page.row_version, page.now_ms / 1000, asked_at)

    async def transact(
        self,
        *,
        conditions: Sequence[Precondition] = (),
        puts: Sequence[PutRow] = (),
        removals: Sequence[tuple[str, str]] = (),
    ) -> Committed | None:
        """Applies a transaction; ``None`` when a condition does not hold.

        Args:
            conditions: Versions that rows must have.
            puts: Rows to write.
            removals: Table and key of rows to drop.
        """
        body = msgspec.json.encode(
            {
                "precondition": [
                    {**_where(row.table, row.key), "row_version": row.version}
                    for row in conditions
                ],
                "writes": [
                    {
                        **_where(row.table, row.key),
                        "value": base64.b64encode(row.value).decode(),
                    }
                    for row in puts
                ],
                "remove": [_where(table, key) for table, key in removals],
            }
        )
        answer = await self._call("POST", "/-/rows-tx", body, CALL_SECONDS)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            return None
        page = _decode_rows(answer)
        return Committed(page.row_version, page.now_ms / 1000)

    async def _get(
        self, call: str, query: dict[str, str], timeout: float
    ) -> _WireRows:
        target = f"/-/{call}?{urllib.parse.urlencode(query)}"
        answer = await self._call("GET", target, b"", timeout)
        if answer.status == HTTPStatus.GONE:
            raise HistoryLostError
        return _decode_rows(answer)

    async def _call(
        self, method: str, target: str, body: bytes, timeout: float
    ) -> HttpAnswer:
        self.calls += 1
        headers = (("content-type", "application/json"),) if body else ()
        try:
            with trio.fail_after(timeout):
                async with self._pool.lend() as conn:
                    return await conn.call(
                        method, target, body, headers=headers
                    )
        except NotSentError as exc:
            raise StoreError(str(exc), refused=True) from exc
        except (HttpError, trio.TooSlowError) as exc:
            message = f"{target.partition('?')[0]}: {exc or 'timed out'}"
            raise StoreError(message, refused=False) from exc


def _where(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _decode_row(row: _WireRow) -> StoredRow:
    value = None
    if not row.deleted and row.value is not None:
        value = base64.b64decode(row.value)
    return StoredRow(row.key, value, row.row_version)


def _decode_rows(answer: HttpAnswer) -> _WireRows:
    if answer.status != HTTPStatus.OK:
        raise StoreError(f"the store answered {answer.status}", refused=True)
    try:
        return msgspec.json.decode(answer.body, type=_WireRows)
    except msgspec.MsgspecError as exc:
        message = f"the store's answer is malformed: {exc}"
        raise StoreError(message, refused=False) from exc
