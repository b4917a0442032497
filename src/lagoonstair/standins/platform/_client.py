"""A client of the platform over HTTP/1.1 with JSON."""

import urllib.parse
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.ports import (
    Listing,
    PlatformUnavailableError,
    Row,
    Transaction,
)
from lagoonstair.standins.platform._messages import (
    INSTANCE_HEADER,
    ReadRequest,
    ReadResponse,
    ScanRequest,
    ScanResponse,
    TransactResponse,
)
from lagoonstair.wire import (
    ClientResponse,
    ConnectionPool,
    HttpError,
    NotSentError,
)

TIMEOUT_SECONDS = 2.0
"""The default timeout of one call, in seconds."""

MAX_CONNECTIONS = 4
"""The default limit on concurrent calls; each one uses a connection."""

AnswerT = TypeVar("AnswerT")


class HttpPlatform:
    """A client of the platform; implements ``ports.Platform``.

    Every method raises ``PlatformUnavailableError`` if no complete answer
    arrives before the timeout or the platform reports a failure. The error's
    ``may_have_applied`` is false only for reads and for calls of which
    nothing was sent.
    """

    def __init__(
        self,
        address: Address,
        instance_name: str,
        *,
        timeout: float = TIMEOUT_SECONDS,
        connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Creates a client, which connects on its first call.

        Args:
            address: The address that the platform listens on.
            instance_name: The name by which the caller identifies itself.
            timeout: The timeout of a call in seconds, including the wait for
                a free connection.
            connections: The maximum number of concurrent calls.
        """
        self._pool = ConnectionPool(address, size=connections)
        self._headers = ((INSTANCE_HEADER, instance_name),)
        self._timeout = timeout

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Reads rows in one snapshot; a missing row has version 0."""
        req = ReadRequest(tuple(keys))
        body = await self._post("/v1/read", req, changes=False)
        return _decode(body, ReadResponse, changes=False).rows

    async def scan(
        self, prefix: str, *, after: str, limit: int
    ) -> list[tuple[str, Row]]:
        """Reads rows by key prefix, in key order, after the key ``after``."""
        req = ScanRequest(prefix, after, limit)
        body = await self._post("/v1/scan", req, changes=False)
        return _decode(body, ScanResponse, changes=False).rows

    async def transact(self, transaction: Transaction) -> bool:
        """Applies a transaction; returns false if a condition doesn't hold."""
        body = await self._post("/v1/transact", transaction, changes=True)
        return _decode(body, TransactResponse, changes=True).applied

    async def put_object(self, name: str, content: bytes) -> None:
        """Stores an object, replacing one of the same name."""
        answer = await self._call(
            "PUT", _object_path(name), content, changes=True
        )
        _check_status(answer, changes=True)

    async def get_object(self, name: str) -> bytes | None:
        """Reads an object; returns ``None`` if it doesn't exist."""
        answer = await self._call("GET", _object_path(name), changes=False)
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        _check_status(answer, changes=False)
        return answer.body

    async def listing(self) -> Listing:
        """Reads the listing of instances and database groups."""
        answer = await self._call("GET", "/v1/listing", changes=False)
        _check_status(answer, changes=False)
        return _decode(answer.body, Listing, changes=False)

    async def _post(self, target: str, message: Any, *, changes: bool) -> bytes:
        body = msgspec.json.encode(message)
        answer = await self._call("POST", target, body, changes=changes)
        _check_status(answer, changes=changes)
        return answer.body

    async def _call(
        self, method: str, target: str, body: bytes = b"", *, changes: bool
    ) -> ClientResponse:
        sent = False
        try:
            with trio.fail_after(self._timeout):
                async with self._pool.acquire() as conn:
                    sent = True
                    return await conn.call(
                        method, target, body, headers=self._headers
                    )
        except (NotSentError, HttpError, trio.TooSlowError) as exc:
            raise PlatformUnavailableError(
                f"{method} {target}: {exc or 'timed out'}",
                may_have_applied=sent and changes,
            ) from exc


def _object_path(name: str) -> str:
    return f"/v1/objects/{urllib.parse.quote(name, safe='')}"


def _check_status(answer: ClientResponse, *, changes: bool) -> None:
    if answer.status != HTTPStatus.OK:
        raise PlatformUnavailableError(
            f"the platform answered with HTTP status {answer.status}",
            may_have_applied=changes,
        )


def _decode(body: bytes, message: type[AnswerT], *, changes: bool) -> AnswerT:
    try:
        return msgspec.json.decode(body, type=message)
    except msgspec.MsgspecError as exc:
        raise PlatformUnavailableError(
            f"the platform's answer cannot be decoded: {exc}",
            may_have_applied=changes,
        ) from exc
