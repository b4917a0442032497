"""A stand-in for the metadata store, with faults that a test sets."""

import base64
import enum
import functools
import urllib.parse
from typing import Any, NamedTuple

import msgspec
import trio

from lagoonstair.wire import HttpRequest, HttpResponse, HttpServer

PROTECTED_TABLES = ("op", "servers")
"""Tables that only the operator and the databases write."""

MAX_WAIT_SECONDS = 30.0
"""The longest that a call of the feed may wait."""


class StoreFault(enum.Enum):
    """How the store misbehaves."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    LOSES_ANSWERS = "loses_answers"


class _Row(NamedTuple):
    value: str | None
    version: int


class StoreStandin:
    """Rows in memory.

    Attributes:
        fault: How it misbehaves.
        turned_away: Callers whose calls it refuses.
        calls: How many calls came.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], _Row] = {}
        self._version = 0
        self._kept_from = 0
        self._changed = trio.Event()
        self.fault = StoreFault.NONE
        self.refused_callers: set[str] = set()
        self.calls = 0

    async def serve(
        self,
        host: str,
        caller: str,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens for one caller until cancelled; reports the port."""
        answer = functools.partial(self._answer, caller)
        await HttpServer(answer).serve(host, 0, task_status=task_status)

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row as its owner would; ``bytes`` are taken as they are."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._apply({(table, key): base64.b64encode(raw).decode()})

    def delete(self, table: str, key: str) -> None:
        """Drops a row."""
        self._apply({(table, key): None})

    def row(self, table: str, key: str) -> Any:
        """A row's value, decoded; ``None`` without one."""
        row = self._rows.get((table, key))
        if row is None or row.value is None:
            return None
        return msgspec.json.decode(base64.b64decode(row.value))

    def truncate_history(self) -> None:
        """Has every feed begin anew."""
        self._kept_from = self._version
        self._wake()

    def _apply(self, values: dict[tuple[str, str], str | None]) -> None:
        self._version += 1
        for where, value in values.items():
            self._rows[where] = _Row(value, self._version)
        self._wake()

    def _wake(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()

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
        for wanted in body["precondition"]:
            row = self._rows.get((wanted["table"], wanted["key"]))
            version = 0 if row is None or row.value is None else row.version
            if version != wanted["row_version"]:
                return self._page([], 412)
        self._apply(
            {(row["table"], row["key"]): row.get("value") for row in changes}
        )
        return self._page([], 200)

    def _get(self, args: dict[str, str]) -> HttpResponse:
        rows = [
            self._wire(where, row)
            for where, row in sorted(self._rows.items())
            if where[0] == args["table"]
            and where[1] >= args.get("from", "")
            and row.value is not None
        ]
        return self._page(rows, 200)

    async def _feed(self, args: dict[str, str]) -> HttpResponse:
        after = int(args["after"])
        with trio.move_on_after(
            min(MAX_WAIT_SECONDS, int(args["wait_ms"]) / 1000)
        ):
            while True:
                if after < self._kept_from:
                    return HttpResponse(status=410, body=b"")
                rows = [
                    self._wire(where, row)
                    for where, row in self._rows.items()
                    if where[0] == args["table"] and row.version > after
                ]
                if rows:
                    break
                await self._changed.wait()
        rows.sort(key=lambda row: int(row["row_version"]))
        return self._page(rows, 200)

    def _wire(self, where: tuple[str, str], row: _Row) -> dict[str, Any]:
        wire: dict[str, Any] = {
            "table": where[0],
            "part": "",
            "key": where[1],
            "row_version": row.version,
        }
        if row.value is None:
            return {**wire, "deleted": True}
        return {**wire, "value": row.value}

    def _page(self, rows: list[dict[str, Any]], status: int) -> HttpResponse:
        page = {
            "rows": rows,
            "has_more": False,
            "row_version": self._version,
            "now_ms": trio.current_time() * 1000,
        }
        return HttpResponse(status=status, body=msgspec.json.encode(page))
