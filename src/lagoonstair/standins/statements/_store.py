"""A stand-in for the metadata store, with fault injection."""

import base64
import dataclasses
import enum
import functools
import urllib.parse
from typing import Any, NamedTuple

import msgspec
import trio

from lagoonstair.wire import HttpRequest, HttpResponse, HttpServer

PROTECTED_TABLES = ("op", "servers")
"""Tables that callers may not write; they belong to the operator and the
databases."""

ERA_HEADER = "Store-Era"
"""Header of every answer with the number of restores, counted from 1."""

MAX_WAIT_SECONDS = 30.0
"""The longest that a feed call may wait for a change, in seconds."""


class StoreFault(enum.Enum):
    """A fault of the store that affects all calls.

    Attributes:
        NONE: Calls are answered.
        BUSY: Calls are answered with 503 and have no effect.
        SILENT: Calls have no effect and are never answered.
        LOSES_ANSWERS: Calls take effect, but are never answered.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    LOSES_ANSWERS = "loses_answers"


class _Row(NamedTuple):
    """A row's value in base64, ``None`` once deleted, and its version."""

    value: str | None
    version: int


class StoreCopy(NamedTuple):
    """A copy of all rows, from which the store can be restored.

    Attributes:
        rows: The rows by table and key.
        version: The newest version.
        history_start: The version from which on changes are kept.
    """

    rows: dict[tuple[str, str], _Row]
    version: int
    history_start: int


class StoreStandin:
    """A metadata store that keeps its rows in memory.

    Attributes:
        era: The number of the history; rises with each restore.
        fault: The injected fault.
        refused_callers: The callers whose calls are answered with 503.
        feeds_hang: Whether waiting feed calls miss all changes.
        calls: The number of calls received.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], _Row] = {}
        self._version = 0
        self._history_start = 0
        self._changed = trio.Event()
        self.era = 1
        self.fault = StoreFault.NONE
        self.refused_callers: set[str] = set()
        self.feeds_hang = False
        self.calls = 0

    async def serve(
        self,
        host: str,
        caller: str,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves one caller on a port of its own until cancelled.

        Args:
            host: The IP address to listen on.
            caller: The name of the caller that uses the port.
            task_status: Reports the bound port once the server listens.
        """
        handle = functools.partial(self._handle, caller)
        await HttpServer(handle).serve(host, 0, task_status=task_status)

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row, also of a protected table.

        Args:
            table: The row's table.
            key: The row's key.
            value: The row's value; encoded as JSON unless it is ``bytes``.
        """
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.put_encoded(table, key, base64.b64encode(raw).decode())

    def put_encoded(self, table: str, key: str, value: str) -> None:
        """Writes a row whose value is already encoded in base64, or badly."""
        self._apply({(table, key): value})

    def delete(self, table: str, key: str) -> None:
        """Deletes a row."""
        self._apply({(table, key): None})

    def row(self, table: str, key: str) -> Any:
        """Returns a row's decoded value; ``None`` if there is no row."""
        row = self._rows.get((table, key))
        if row is None or row.value is None:
            return None
        return msgspec.json.decode(base64.b64decode(row.value))

    def truncate_history(self) -> None:
        """Discards the change history; feeds from before it get 410."""
        self._history_start = self._version
        self._notify_feeds()

    def copy(self) -> StoreCopy:
        """Returns a copy of the present rows."""
        return StoreCopy(dict(self._rows), self._version, self._history_start)

    def restore(self, copy: StoreCopy) -> None:
        """Goes back to a copy; its later versions are given out again.

        Rows of protected tables are lost too: their writers write them again.
        """
        self._rows = dict(copy.rows)
        self._version = copy.version
        self._history_start = copy.history_start
        self.era += 1
        self._notify_feeds()

    def _apply(self, values: dict[tuple[str, str], str | None]) -> None:
        self._version += 1
        for row_key, value in values.items():
            self._rows[row_key] = _Row(value, self._version)
        self._notify_feeds()

    def _notify_feeds(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()

    async def _handle(self, caller: str, req: HttpRequest) -> HttpResponse:
        resp = await self._answer(caller, req)
        era = (ERA_HEADER, str(self.era))
        return dataclasses.replace(resp, headers=(*resp.headers, era))

    async def _answer(self, caller: str, req: HttpRequest) -> HttpResponse:
        self.calls += 1
        if self.fault is StoreFault.BUSY or caller in self.refused_callers:
            return HttpResponse(status=503, body=b"")
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        path, _, query = req.target.partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        match req.method, path:
            case "POST", "/-/rows-tx":
                resp = self._transact(msgspec.json.decode(req.body))
            case "GET", "/-/rows-get":
                resp = self._get(args)
            case "GET", "/-/rows-feed":
                resp = await self._feed(args)
            case _:
                resp = HttpResponse(status=404, body=b"")
        if self.fault is StoreFault.LOSES_ANSWERS:
            await trio.sleep_forever()
        return resp

    def _transact(self, body: dict[str, Any]) -> HttpResponse:
        changes = [*body["writes"], *body["remove"]]
        if any(row["table"] in PROTECTED_TABLES for row in changes):
            return HttpResponse(status=403, body=b"")
        for condition in body["precondition"]:
            row = self._rows.get((condition["table"], condition["key"]))
            version = 0 if row is None or row.value is None else row.version
            if version != condition["row_version"]:
                return self._page([], 412)
        self._apply(
            {(row["table"], row["key"]): row.get("value") for row in changes}
        )
        return self._page([], 200)

    def _get(self, args: dict[str, str]) -> HttpResponse:
        rows = [
            self._encode_row(row_key, row)
            for row_key, row in sorted(self._rows.items())
            if row_key[0] == args["table"]
            and row_key[1] >= args.get("from", "")
            and ("to" not in args or row_key[1] < args["to"])
            and row.value is not None
        ]
        return self._page(rows, 200)

    async def _feed(self, args: dict[str, str]) -> HttpResponse:
        after = int(args["after"])
        with trio.move_on_after(
            min(MAX_WAIT_SECONDS, int(args["wait_ms"]) / 1000)
        ):
            while True:
                if not self._history_start <= after <= self._version:
                    return HttpResponse(status=410, body=b"")
                rows = [
                    self._encode_row(row_key, row)
                    for row_key, row in self._rows.items()
                    if row_key[0] == args["table"] and row.version > after
                ]
                if rows and not self.feeds_hang:
                    break
                await self._changed.wait()
        rows.sort(key=lambda row: int(row["row_version"]))
        return self._page([] if self.feeds_hang else rows, 200)

    def _encode_row(
        self, row_key: tuple[str, str], row: _Row
    ) -> dict[str, Any]:
        encoded: dict[str, Any] = {
            "table": row_key[0],
            "part": "",
            "key": row_key[1],
            "row_version": row.version,
        }
        if row.value is None:
            return {**encoded, "deleted": True}
        return {**encoded, "value": row.value}

    def _page(self, rows: list[dict[str, Any]], status: int) -> HttpResponse:
        page = {
            "rows": rows,
            "has_more": False,
            "row_version": self._version,
            "now_ms": trio.current_time() * 1000,
        }
        return HttpResponse(status=status, body=msgspec.json.encode(page))
