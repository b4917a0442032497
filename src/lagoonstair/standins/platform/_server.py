"""The HTTP server of the platform stand-in."""

import urllib.parse
from typing import Any, TypeVar

import msgspec
import trio

from lagoonstair.ports import Transaction
from lagoonstair.standins.platform._config import PlatformConfig
from lagoonstair.standins.platform._faults import FaultSet
from lagoonstair.standins.platform._listing import (
    LaggingListing,
    ListingChange,
)
from lagoonstair.standins.platform._messages import (
    INSTANCE_HEADER,
    ReadRequest,
    ReadResponse,
    ScanRequest,
    ScanResponse,
    TransactResponse,
)
from lagoonstair.standins.platform._tables import Tables
from lagoonstair.wire import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)

OBJECTS_PATH = "/v1/objects/"
"""The prefix of the paths of objects."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""The maximum size of a request body, in bytes; bounds a stored object."""

MessageT = TypeVar("MessageT")


class Counters(msgspec.Struct, kw_only=True):
    """The numbers of calls and rows that the stand-in has served.

    Attributes:
        reads: Calls that read rows.
        rows_read: Rows that those calls requested by key, or found by prefix.
        writes: Transactions, applied or not.
        rows_written: Rows that were written.
        conflicts: Transactions with a condition that didn't hold.
        object_reads: Calls that read an object, found or not.
        object_writes: Objects that were stored.
        listings: Listings that were returned.
        refused: Calls answered with 503 by an injected fault.
        lost: Changes whose answer was replaced by 504 by an injected fault.
    """

    reads: int = 0
    rows_read: int = 0
    writes: int = 0
    rows_written: int = 0
    conflicts: int = 0
    object_reads: int = 0
    object_writes: int = 0
    listings: int = 0
    refused: int = 0
    lost: int = 0


class PlatformStandin:
    """The table service, object store and listing of a platform.

    Attributes:
        counters: The numbers of calls and rows served so far.
    """

    def __init__(self, listing: LaggingListing) -> None:
        self._tables = Tables()
        self._listing = listing
        self._faults = FaultSet()
        self._server = HttpServer(
            self._handle, limits=HttpLimits(body_bytes=MAX_BODY_BYTES)
        )
        self.counters = Counters()

    @classmethod
    def from_config(cls, cfg: PlatformConfig) -> "PlatformStandin":
        """Creates a stand-in with the configured listing and empty tables."""
        return cls(LaggingListing(cfg.listing, lag=cfg.listing_lag))

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled.

        Args:
            host: The IP address to listen on.
            port: The TCP port to listen on; 0 takes a free one.
            task_status: Reports the bound port once the server listens.
        """
        await self._server.serve(host, port, task_status=task_status)

    def set_faults(self, faults: FaultSet) -> None:
        """Replaces all injected faults."""
        self._faults = faults
        self._listing.reordered = faults.listing_reordered
        if faults.listing_lag is not None:
            self._listing.lag = faults.listing_lag

    def change_listing(self, change: ListingChange) -> None:
        """Changes the listing; callers see the change after the lag."""
        self._listing.change(change, trio.current_time())

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        try:
            if req.target.startswith("/admin/"):
                return self._handle_admin_call(req)
            return await self._handle_instance_call(req)
        except msgspec.MsgspecError as exc:
            return _json_response({"error": str(exc)}, status=400)

    def _handle_admin_call(self, req: HttpRequest) -> HttpResponse:
        match (req.method, req.target):
            case ("POST", "/admin/faults"):
                self.set_faults(_decode(req, FaultSet))
                return _json_response({})
            case ("POST", "/admin/listing"):
                self.change_listing(_decode(req, ListingChange))
                return _json_response({})
            case ("GET", "/admin/counters"):
                return _json_response(self.counters)
        return _json_response({"error": "no such path"}, status=404)

    async def _handle_instance_call(self, req: HttpRequest) -> HttpResponse:
        faults = self._faults.for_instance(req.headers.get(INSTANCE_HEADER, ""))
        if faults.down:
            self.counters.refused += 1
            return _json_response({"error": "down"}, status=503)
        await trio.sleep(faults.slow_seconds)
        resp = self._perform(req)
        await trio.sleep(faults.slow_answer_seconds)
        if faults.answer_lost and _changes_data(req):
            self.counters.lost += 1
            return _json_response({"error": "answer lost"}, status=504)
        return resp

    def _perform(self, req: HttpRequest) -> HttpResponse:
        match (req.method, req.target):
            case ("POST", "/v1/read"):
                return _json_response(self._read(_decode(req, ReadRequest)))
            case ("POST", "/v1/scan"):
                return _json_response(self._scan(_decode(req, ScanRequest)))
            case ("POST", "/v1/transact"):
                return _json_response(self._transact(_decode(req, Transaction)))
            case ("GET", "/v1/listing"):
                self.counters.listings += 1
                return _json_response(
                    self._listing.visible_at(trio.current_time())
                )
            case ("PUT", target) if target.startswith(OBJECTS_PATH):
                self.counters.object_writes += 1
                self._tables.put_object(_object_name(target), req.body)
                return _json_response({})
            case ("GET", target) if target.startswith(OBJECTS_PATH):
                return self._get_object(_object_name(target))
        return _json_response({"error": "no such path"}, status=404)

    def _read(self, req: ReadRequest) -> ReadResponse:
        self.counters.reads += 1
        self.counters.rows_read += len(req.keys)
        return ReadResponse(self._tables.read(req.keys))

    def _scan(self, req: ScanRequest) -> ScanResponse:
        rows = self._tables.scan(req.prefix, req.after, req.limit)
        self.counters.reads += 1
        self.counters.rows_read += len(rows)
        return ScanResponse(rows)

    def _transact(self, transaction: Transaction) -> TransactResponse:
        applied = self._tables.transact(transaction)
        self.counters.writes += 1
        if applied:
            self.counters.rows_written += len(transaction.writes)
        else:
            self.counters.conflicts += 1
        return TransactResponse(applied)

    def _get_object(self, name: str) -> HttpResponse:
        self.counters.object_reads += 1
        content = self._tables.get_object(name)
        if content is None:
            return _json_response({"error": "no such object"}, status=404)
        return HttpResponse(
            status=200, body=content, content_type="application/octet-stream"
        )


def _changes_data(req: HttpRequest) -> bool:
    return req.method == "PUT" or req.target == "/v1/transact"


def _object_name(target: str) -> str:
    return urllib.parse.unquote(target.removeprefix(OBJECTS_PATH))


def _decode(req: HttpRequest, message: type[MessageT]) -> MessageT:
    return msgspec.json.decode(req.body, type=message)


def _json_response(message: Any, *, status: int = 200) -> HttpResponse:
    return HttpResponse(status=status, body=msgspec.json.encode(message))
