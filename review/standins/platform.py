"""Stand-ins for the platform: the metadata store and the promotion call.

They use the standard library only and follow PROTOCOL.md.
"""

import asyncio
import base64
import json
import time
import urllib.parse

HOST = "127.0.0.1"
ANSWER_SECONDS = 0.004
TX_SECONDS = 0.008
HISTORY_SECONDS = 20.0
PROTECTED_TABLES = ("op", "servers")


async def read_request(reader):
    """Reads an HTTP request; returns ``None`` at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return method, target, headers, body


def encode_response(status, body, headers=()):
    """Encodes an HTTP response with a JSON body."""
    data = json.dumps(body).encode()
    lines = [
        f"HTTP/1.1 {status} X",
        "content-type: application/json",
        f"content-length: {len(data)}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


async def serve_http(handle):
    """Serves HTTP/1.1 on a free loopback port; returns the port."""

    async def on_connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                writer.write(await handle(*request))
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, HOST, 0)
    return server.sockets[0].getsockname()[1]


class Store:
    """The metadata store: rows, transactions and the change feed."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self._changed = asyncio.Event()
        self._written_at = []

    async def start(self):
        """Starts to listen; the port is then in ``port``."""
        self.port = await serve_http(self._handle)

    def put(self, table, key, value):
        """Writes a row as the operator or a database does."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply({(table, key): base64.b64encode(raw).decode()})

    def delete(self, table, key):
        """Removes a row as a database that leaves does."""
        self._apply({(table, key): None})

    def value(self, table, key):
        """Returns a row's decoded JSON, or ``None`` without a row."""
        value = self.rows.get((table, key), (None, 0))[0]
        return None if value is None else json.loads(base64.b64decode(value))

    def _apply(self, values):
        self.version += 1
        for row_key, value in values.items():
            self.rows[row_key] = (value, self.version)
        self._written_at.append((time.monotonic(), self.version))
        event, self._changed = self._changed, asyncio.Event()
        event.set()

    def _history_start(self):
        """Returns the version from which on the feed knows all changes."""
        since = time.monotonic() - HISTORY_SECONDS
        while self._written_at and self._written_at[0][0] < since:
            self._forgotten = self._written_at.pop(0)[1]
        return getattr(self, "_forgotten", 0)

    async def _handle(self, method, target, headers, body):
        await asyncio.sleep(ANSWER_SECONDS)
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        match method, path:
            case "POST", "/-/rows-tx":
                await asyncio.sleep(TX_SECONDS)
                status, rows = self._transact(json.loads(body))
            case "GET", "/-/rows-get":
                return self._get(args)
            case "GET", "/-/rows-feed":
                status, rows = await self._feed(args)
            case _:
                status, rows = 404, []
        return self._page(status, rows)

    def _page(self, status, rows, has_more=False):
        body = {
            "rows": rows,
            "has_more": has_more,
            "row_version": self.version,
            "now_ms": time.monotonic() * 1000,
        }
        return encode_response(status, body, [("Store-Era", "1")])

    def _transact(self, call):
        writes = call.get("writes", [])
        removals = call.get("remove", [])
        if any(row["table"] in PROTECTED_TABLES for row in writes + removals):
            return 403, []
        conditions = call.get("precondition", [])
        for row in conditions:
            value, version = self.rows.get(
                (row["table"], row["key"]), (None, 0)
            )
            if row["row_version"] != (0 if value is None else version):
                keys = [(row["table"], row["key"]) for row in conditions]
                return 412, [self._row(key) for key in keys if key in self.rows]
        changes = {(row["table"], row["key"]): row["value"] for row in writes}
        changes |= {(row["table"], row["key"]): None for row in removals}
        if changes:
            self._apply(changes)
        return 200, []

    def _get(self, args):
        limit = min(500, int(args.get("limit", "500")))
        keys = sorted(
            key
            for key, (value, _) in self.rows.items()
            if key[0] == args["table"]
            and value is not None
            and key[1] >= args.get("from", "")
            and ("to" not in args or key[1] < args["to"])
        )
        rows = [self._row(key) for key in keys[:limit]]
        return self._page(200, rows, len(keys) > limit)

    async def _feed(self, args):
        after = int(args["after"])
        deadline = time.monotonic() + min(30.0, int(args["wait_ms"]) / 1000)
        while True:
            if after < self._history_start():
                return 410, []
            keys = [
                key
                for key, (_, version) in self.rows.items()
                if key[0] == args["table"] and version > after
            ]
            keys.sort(key=lambda key: self.rows[key][1])
            left = deadline - time.monotonic()
            if keys or left <= 0:
                return 200, [self._row(key) for key in keys]
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _row(self, key):
        value, version = self.rows[key]
        row = {
            "table": key[0],
            "part": "",
            "key": key[1],
            "row_version": version,
        }
        return row | ({"deleted": True} if value is None else {"value": value})


class Cloud:
    """The platform's promotion call."""

    def __init__(self, services, note):
        self._services = services
        self._note = note

    async def start(self):
        """Starts to listen; the port is then in ``port``."""
        self.port = await serve_http(self._handle)

    async def _handle(self, method, target, headers, body):
        call = json.loads(body)
        database = self._services[call["service"]].databases.get(call["id"])
        self._note(
            "promotion called",
            id=call["id"],
            holder=headers.get("x-lagoonstair-duty-holder"),
            fence=headers.get("x-lagoonstair-fence-token"),
        )
        if database is None or database.down:
            return encode_response(409, {})
        database.service.promote(database)
        return encode_response(200, {})
