"""Client for the platform's metadata store and its change feed."""

import base64
import urllib.parse
from collections.abc import Callable, Collection, Sequence
from http import HTTPStatus
from typing import NamedTuple, NoReturn

import msgspec
import trio
from loguru import logger

from lagoonstair._types import Address
from lagoonstair.platform.decoding import UnreadableError, decode_json
from lagoonstair.wire import (
    ClientResponse,
    ConnectionPool,
    HttpError,
    NotSentError,
)

CALL_SECONDS = 1.5
"""Timeout (s) of a call; a transaction normally takes 8 ms."""

FEED_MARGIN_SECONDS = 1.0
"""Time (s) by which the timeout of a feed call exceeds its wait."""

CONNECTIONS = 6
"""Connections to the store: three for waiting feed calls and three for other
calls."""

ROWS_PER_CALL = 500
"""Row limit of one answer, set by the store."""

FEED_CALL = "rows-feed"

NO_KEY = "~"
"""A key that no row has; a range of it alone is empty."""

ERA_HEADER = "store-era"
"""Header of every answer with the number of the store's history, which rises
each time the store is restored from an older copy."""


MAX_ERA_DIGITS = 6
"""Greatest number of digits of a history's number; larger ones do not fit into
the versions, epochs and fencing tokens that are derived from it."""


class StoreError(Exception):
    """A store call failed.

    Attributes:
        refused: Whether the call certainly had no effect, because it was not
            sent or the store refused it.
    """

    def __init__(self, message: str, *, refused: bool) -> None:
        super().__init__(message)
        self.refused = refused


class HistoryLostError(Exception):
    """The store no longer keeps the changes that the feed needs.

    The whole table has to be read again.
    """


class StoredRow(NamedTuple):
    """A row of a table.

    Attributes:
        key: The row's key within its table.
        value: The row's bytes; ``None`` if the row was removed.
        version: The store version of the row's last change.
    """

    key: str
    value: bytes | None
    version: int


class Rows(NamedTuple):
    """An answer of the store with rows as of one moment.

    Attributes:
        rows: The rows.
        version: The newest store version at that moment.
        now: The store's monotonic clock at that moment, in seconds.
        asked_at: When the rows were requested, in seconds on the caller's
            monotonic clock.
        era: The number of the history that the versions belong to. Each
            restore of the store from an older copy starts a new one, in which
            lost versions are given out again.
    """

    rows: tuple[StoredRow, ...]
    version: int
    now: float
    asked_at: float
    era: int = 0


class Precondition(NamedTuple):
    """A condition on a row's version; 0 requires that the row is absent."""

    table: str
    key: str
    version: int


class PutRow(NamedTuple):
    """A row to write in a transaction."""

    table: str
    key: str
    value: bytes


class Committed(NamedTuple):
    """The result of an applied transaction.

    Attributes:
        version: The store version of all rows of the transaction.
        now: The store's monotonic clock, in seconds.
        era: The number of the history that the version belongs to.
    """

    version: int
    now: float
    era: int = 0


class _WireRow(msgspec.Struct):
    key: str
    table: str = ""
    row_version: int = 0
    value: str | None = None
    deleted: bool = False


class _WireRefusal(msgspec.Struct):
    row_version: int | None = None
    rows: list[_WireRow] = []


class _WireRows(msgspec.Struct):
    row_version: int
    now_ms: float
    rows: list[_WireRow] = []
    has_more: bool = False


class _Page(NamedTuple):
    """The body of an answer and the number of the history it belongs to."""

    body: _WireRows
    era: int


class _Moment(NamedTuple):
    """A history and the newest version of it that an answer has named."""

    era: int
    version: int


class Store:
    """Client for the metadata store.

    Every method raises ``StoreError`` when the store refuses a call or gives
    no complete answer in time.

    Answers carry no ID of their call. As the store is linearizable, though, an
    answer names no version older than an answer before the call did, a write
    gets a newer one, and rows are of the table and range that were asked for.
    Any other answer counts as none, and the connections are given up.

    Args:
        address: The store's address.
        on_unexpected: Called with the reason for which an answer can't belong
            to its call: ``version``, ``rows`` or one of the connection's.

    Attributes:
        calls: Number of calls made so far.
        era: The newest history number in any answer so far.
    """

    def __init__(
        self,
        address: Address,
        on_unexpected: Callable[[str], None] | None = None,
    ) -> None:
        self._pool = ConnectionPool(
            address, size=CONNECTIONS, on_unexpected=on_unexpected
        )
        self._on_unexpected = on_unexpected
        self._newest = _Moment(0, 0)
        self._feeds: set[trio.CancelScope] = set()
        self.calls = 0
        self.era = 0

    def note_era(self, era: int) -> None:
        """Records a history number, as of an answer to any instance.

        Waiting feed calls of an earlier history end: they may wait for
        versions that will be given out again.
        """
        if era <= self.era:
            return
        self.era = era
        for scope in self._feeds:
            scope.cancel()

    async def read_row(
        self, table: str, key: str, timeout: float = CALL_SECONDS
    ) -> Rows:
        """Reads one row of a table.

        Args:
            table: The name of the table.
            key: The row's key.
            timeout: Seconds to wait for the answer.
        """
        key_range = {"from": key, "to": _key_after(key)}
        return await self._read(table, key_range, timeout)

    async def read_version(self, table: str, timeout: float) -> Rows:
        """Reads the store's newest version alone, without any row.

        Args:
            table: The name of a table, which need not exist.
            timeout: Seconds to wait for the answer.
        """
        empty_range = {"from": NO_KEY, "to": _key_after(NO_KEY)}
        return await self._read(table, empty_range, timeout)

    async def read_table(
        self, table: str, timeout: float = CALL_SECONDS
    ) -> Rows:
        """Reads all rows of a table, in several calls if necessary.

        Args:
            table: The name of the table.
            timeout: Seconds to wait for each answer.
        """
        return await self._read(table, {}, timeout)

    async def _read(
        self, table: str, key_range: dict[str, str], timeout: float
    ) -> Rows:
        asked_at = trio.current_time()
        rows: list[StoredRow] = []
        query = {
            "table": table,
            "part": "",
            "limit": str(ROWS_PER_CALL),
            **key_range,
        }
        first_era: int | None = None
        while True:
            newest = self._newest
            page, era = await self._get("rows-get", query, timeout)
            self._check_version(era, page.row_version, newest)
            self._check_rows(page.rows, query)
            if first_era not in (None, era):
                message = "the store was restored between two pages"
                raise StoreError(message, refused=True)
            first_era = era
            rows += [_decode_row(row) for row in page.rows]
            if not (page.has_more and page.rows):
                break
            query["from"] = _key_after(page.rows[-1].key)
        now = page.now_ms / 1000
        return Rows(tuple(rows), page.row_version, now, asked_at, era)

    async def follow(
        self, table: str, version: int, wait: float, *, era: int
    ) -> Rows:
        """Waits for changes of a table after a version.

        Args:
            table: The name of the table.
            version: The version up to which the table's rows are known.
            wait: Seconds after which to return without a change.
            era: The number of the history that the version belongs to.

        Raises:
            HistoryLostError: The store no longer keeps all changes since the
                version, or has a later history, in which that version is
                another one.
        """
        asked_at = trio.current_time()
        query = {
            "table": table,
            "after": str(version),
            "wait_ms": str(int(wait * 1000)),
        }
        if self.era > era:
            raise HistoryLostError
        with trio.CancelScope() as scope:
            self._feeds.add(scope)
            try:
                page, answer_era = await self._get(
                    FEED_CALL, query, wait + FEED_MARGIN_SECONDS
                )
            finally:
                self._feeds.discard(scope)
        if scope.cancelled_caught or answer_era != era:
            raise HistoryLostError
        # A feed may stop at an older version than others have seen.
        self._check_version(era, page.row_version, _Moment(era, version))
        self._check_rows(page.rows, query)
        if era and any(0 < row.row_version <= version for row in page.rows):
            self._fail("rows")
        rows = tuple(map(_decode_row, page.rows))
        return Rows(rows, page.row_version, page.now_ms / 1000, asked_at, era)

    async def transact(
        self,
        *,
        conditions: Sequence[Precondition] = (),
        puts: Sequence[PutRow] = (),
        removals: Sequence[tuple[str, str]] = (),
    ) -> Committed | None:
        """Applies a conditional transaction.

        Args:
            conditions: The versions that rows must have.
            puts: The rows to write.
            removals: The table and key of each row to remove.

        Returns:
            The result, or ``None`` if a condition does not hold.
        """
        body = msgspec.json.encode(
            {
                "precondition": [
                    {**_row_id(row.table, row.key), "row_version": row.version}
                    for row in conditions
                ],
                "writes": [
                    {
                        **_row_id(row.table, row.key),
                        "value": base64.b64encode(row.value).decode(),
                    }
                    for row in puts
                ],
                "remove": [_row_id(table, key) for table, key in removals],
            }
        )
        newest = self._newest
        answer = await self._call("POST", "/-/rows-tx", body, CALL_SECONDS)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            self._check_refusal(answer, conditions, newest)
            return None
        page, era = _decode_page(answer)
        if puts or removals:
            newest = newest._replace(version=newest.version + 1)
        self._check_version(era, page.row_version, newest)
        return Committed(page.row_version, page.now_ms / 1000, era)

    async def _get(
        self, call: str, query: dict[str, str], timeout: float
    ) -> _Page:
        target = f"/-/{call}?{urllib.parse.urlencode(query)}"
        answer = await self._call("GET", target, b"", timeout)
        if answer.status == HTTPStatus.GONE and call == FEED_CALL:
            raise HistoryLostError
        return _decode_page(answer)

    def _check_version(self, era: int, version: int, oldest: _Moment) -> None:
        """Checks that an answer is not older than the call, and notes it.

        Without a history number versions may go back at any time.

        Args:
            era: The number of the answer's history.
            version: The version that the answer names.
            oldest: The oldest version that the answer can name.

        Raises:
            StoreError: The answer is that of an earlier call.
        """
        moment = _Moment(era, version)
        if era and moment < oldest:
            self._fail("version")
        self._newest = max(self._newest, moment)

    def _check_rows(
        self, rows: Collection[_WireRow], query: dict[str, str]
    ) -> None:
        """Checks that rows are of the table and the range of a query.

        Raises:
            StoreError: The answer is that of another call.
        """
        first, end = query.get("from", ""), query.get("to")
        if any(
            row.table not in ("", query["table"])
            or row.key < first
            or (end is not None and row.key >= end)
            for row in rows
        ):
            self._fail("rows")

    def _check_refusal(
        self,
        answer: ClientResponse,
        conditions: Sequence[Precondition],
        newest: _Moment,
    ) -> None:
        """Checks that the rows in a refusal explain it.

        Raises:
            StoreError: The refusal is that of another call.
        """
        try:
            body = decode_json(answer.body, _WireRefusal)
        except UnreadableError:
            # The status alone is a refusal.
            return
        if body.row_version is not None:
            self._check_version(_era_of(answer), body.row_version, newest)
        expected = {(row.table, row.key): row.version for row in conditions}
        current = {
            (row.table, row.key): 0 if row.deleted else row.row_version
            for row in body.rows
        }
        unasked = current.keys() - expected.keys()
        if unasked or (
            current and dict.fromkeys(expected, 0) | current == expected
        ):
            self._fail("rows")

    def _fail(self, reason: str) -> NoReturn:
        """Gives up the connections after an answer to another call.

        Raises:
            StoreError: The outcome of the call is unknown.
        """
        self._pool.close()
        logger.warning("response unexpected: store: {}", reason)
        if self._on_unexpected is not None:
            self._on_unexpected(reason)
        raise StoreError(f"answer to another call: {reason}", refused=False)

    async def _call(
        self, method: str, target: str, body: bytes, timeout: float
    ) -> ClientResponse:
        self.calls += 1
        headers = (("content-type", "application/json"),) if body else ()
        try:
            with trio.fail_after(timeout):
                async with self._pool.acquire() as conn:
                    answer = await conn.call(
                        method, target, body, headers=headers
                    )
        except NotSentError as exc:
            raise StoreError(str(exc), refused=True) from exc
        except (HttpError, trio.TooSlowError) as exc:
            # What broke one connection has often broken the idle ones too;
            # the next call would wait in vain on each of them.
            self._pool.close()
            message = f"{target.partition('?')[0]}: {exc or 'timed out'}"
            raise StoreError(message, refused=False) from exc
        self.note_era(_era_of(answer))
        return answer


def _era_of(answer: ClientResponse) -> int:
    """Returns the history number of an answer; 0 from a store without one."""
    text = answer.headers.get(ERA_HEADER, "")
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_ERA_DIGITS else 0


def is_refusal(status: int) -> bool:
    """Returns whether an HTTP status says that a call had no effect."""
    return (
        HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
        and status != HTTPStatus.REQUEST_TIMEOUT
    ) or status in (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    )


def _key_after(key: str) -> str:
    """Returns the next key; a range includes its first key, not its last."""
    return key + "\0"


def _row_id(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _decode_row(row: _WireRow) -> StoredRow:
    """Decodes a row; one whose value is not base64 has an empty value."""
    value = None
    if not row.deleted and row.value is not None:
        try:
            value = base64.b64decode(row.value, validate=True)
        except ValueError:
            value = b""
    return StoredRow(row.key, value, row.row_version)


def _decode_page(answer: ClientResponse) -> _Page:
    if answer.status != HTTPStatus.OK:
        raise StoreError(
            f"the store answered {answer.status}",
            refused=is_refusal(answer.status),
        )
    try:
        body = decode_json(answer.body, _WireRows)
        return _Page(body, _era_of(answer))
    except UnreadableError as exc:
        message = f"the store's answer is malformed: {exc}"
        raise StoreError(message, refused=False) from exc
