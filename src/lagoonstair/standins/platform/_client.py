"""The platform port over HTTP/1.1 with JSON."""

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
CONNECTIONS = 4

AnswerT = TypeVar("AnswerT")


class HttpPlatform:
    """Calls the platform; implements ``ports.Platform``.

    Every method raises ``PlatformUnavailableError`` when no whole answer
    came in time. Its ``may_have_applied`` is false only for reads and for
    calls of which nothing was sent.
    """

    def __init__(
        self,
        address: Address,
        instance_name: str,
        *,
        timeout: float = TIMEOUT_SECONDS,
        connections: int = CONNECTIONS,
    ) -> None:
        """Prepares the calls; connects on the first one.

        Args:
            address: Where the platform listens.
            instance_name: How the caller announces itself.
            timeout: Seconds that one call may take, waiting included.
            connections: How many calls may be under way at once.
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
        """Reads rows whose key has the prefix, in key order, past ``after``."""
        req = ScanRequest(prefix, after, limit)
        body = await self._post("/v1/scan", req, changes=False)
        return _decode(body, ScanResponse, changes=False).rows

    async def transact(self, transaction: Transaction) -> bool:
        """Applies the transaction; false when a condition does not hold."""
        body = await self._post("/v1/transact", transaction, changes=True)
        return _decode(body, TransactResponse, changes=True).applied

    async def put_object(self, name: str, content: bytes) -> None:
        """Stores an object whole."""
        answer = await self._call("PUT", _target(name), content, changes=True)
        _check(answer, changes=True)

    async def get_object(self, name: str) -> bytes | None:
        """Reads an object whole; ``None`` when there is none."""
        answer = await self._call("GET", _target(name), changes=False)
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        _check(answer, changes=False)
        return answer.body

    async def listing(self) -> Listing:
        """Reads the list of instances and database groups."""
        answer = await self._call("GET", "/v1/listing", changes=False)
        _check(answer, changes=False)
        return _decode(answer.body, Listing, changes=False)

    async def _post(self, target: str, message: Any, *, changes: bool) -> bytes:
        body = msgspec.json.encode(message)
        answer = await self._call("POST", target, body, changes=changes)
        _check(answer, changes=changes)
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


def _target(name: str) -> str:
    return f"/v1/objects/{urllib.parse.quote(name, safe='')}"


def _check(answer: ClientResponse, *, changes: bool) -> None:
    if answer.status != HTTPStatus.OK:
        raise PlatformUnavailableError(
            f"the platform answered {answer.status}", may_have_applied=changes
        )


def _decode(body: bytes, message: type[AnswerT], *, changes: bool) -> AnswerT:
    try:
        return msgspec.json.decode(body, type=message)
    except msgspec.MsgspecError as exc:
        raise PlatformUnavailableError(
            f"the platform's answer is malformed: {exc}",
            may_have_applied=changes,
        ) from exc
