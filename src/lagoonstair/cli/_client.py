"""Calls to the listeners of instances."""

from collections.abc import Sequence
from typing import Any

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.cli._exits import UnreachableError
from lagoonstair.cli._target import Target
from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome
from lagoonstair.wire import (
    ClientResponse,
    HttpConnection,
    HttpError,
    NotSentError,
)

RESPONSE_TIMEOUT_SECONDS = 30.0
CONNECT_TIMEOUT_SECONDS = 3.0
MIN_ATTEMPTS = 3
MAX_SUCCESS_STATUS = 299

Header = tuple[str, str]


class ErrorDetail(msgspec.Struct):
    """The error inside an answer."""

    kind: ErrorKind
    message: str
    retry_after: float | None = None


class ErrorResponse(msgspec.Struct):
    """An answer that is an error."""

    outcome: Outcome
    error: ErrorDetail


class Client:
    """Calls instances, trying each address in turn.

    Attributes:
        target: The addresses and the key.
    """

    def __init__(
        self, target: Target, *, timeout: float = RESPONSE_TIMEOUT_SECONDS
    ) -> None:
        self.target = target
        self._timeout = timeout

    async def get(self, path: str) -> Any:
        """Reads something; a lost answer is asked for again.

        Raises:
            LagoonstairError: The answer is an error, or none came.
            UnreachableError: No instance could be reached.
        """
        return await self._send_with_retries(
            "GET", path, b"", (), repeatable=True
        )

    async def change(
        self,
        method: str,
        path: str,
        body: bytes,
        *,
        operation_id: str,
        if_version: int | None = None,
    ) -> Any:
        """Changes something, at most once by its operation id.

        Raises:
            LagoonstairError: The answer is an error, or none came.
            UnreachableError: No instance could be reached.
        """
        headers = [("idempotency-key", operation_id)]
        if if_version is not None:
            headers.append(("if-match", str(if_version)))
        return await self._send_with_retries(
            method, path, body, headers, repeatable=True
        )

    async def post_once(self, path: str, body: bytes) -> Any:
        """Posts something that is not sent twice.

        Raises:
            LagoonstairError: The answer is an error, or none came.
            UnreachableError: No instance could be reached.
        """
        return await self._send_with_retries(
            "POST", path, body, (), repeatable=False
        )

    async def _send_with_retries(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Sequence[Header],
        *,
        repeatable: bool,
    ) -> Any:
        """Calls until an answer tells what became of the request.

        A request that may have been sent is sent again only if it is
        repeatable; an answer that came is never asked for twice unless it
        says that the outcome is unknown.
        """
        maybe_sent = False
        problem: Exception = UnreachableError("no address")
        for address in self._attempt_addresses():
            try:
                return await self._send_once(
                    address, method, path, body, headers
                )
            except NotSentError as exc:
                if not maybe_sent:
                    problem = UnreachableError(str(exc))
            except LagoonstairError as exc:
                if exc.response.outcome is not Outcome.UNKNOWN:
                    raise
                problem = exc
                maybe_sent = True
            if maybe_sent and not repeatable:
                break
        raise problem

    def _attempt_addresses(self) -> list[Address]:
        addresses = self.target.addresses
        rounds = -(-MIN_ATTEMPTS // len(addresses))
        return list(addresses * rounds)

    async def _send_once(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes,
        headers: Sequence[Header],
    ) -> Any:
        conn = await _connect(address)
        all_headers = [*headers, ("content-type", "application/json")]
        if self.target.key:
            all_headers.append(("authorization", f"Bearer {self.target.key}"))
        try:
            with trio.fail_after(self._timeout):
                answer = await conn.call(
                    method, path, body, headers=all_headers
                )
        except (HttpError, trio.TooSlowError) as exc:
            raise LagoonstairError(
                ErrorKind.OUTCOME_UNKNOWN, f"{address}: no whole answer"
            ) from exc
        finally:
            conn.close()
        return _decode_response(address, answer)


async def _connect(address: Address) -> HttpConnection:
    try:
        with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
            return await HttpConnection.open(address)
    except trio.TooSlowError as exc:
        raise NotSentError(f"{address}: no connection in time") from exc


def _decode_response(address: Address, answer: ClientResponse) -> Any:
    try:
        if answer.status <= MAX_SUCCESS_STATUS:
            return msgspec.json.decode(answer.body)
        error = msgspec.json.decode(answer.body, type=ErrorResponse).error
    except msgspec.MsgspecError as exc:
        raise LagoonstairError(
            ErrorKind.OUTCOME_UNKNOWN,
            f"{address}: answered {answer.status} and no readable body",
        ) from exc
    raise LagoonstairError(
        error.kind, error.message, retry_after=error.retry_after
    )
