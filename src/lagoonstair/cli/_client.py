"""HTTP client for the operator and caller listeners of instances."""

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
"""Longest time, in seconds, from sending a request to its whole response."""
CONNECT_TIMEOUT_SECONDS = 3.0
"""Longest time, in seconds, to open a connection to one address."""
MIN_ATTEMPTS = 3
"""Lower bound on the number of attempts before a request fails.

The addresses are tried in whole rounds, as few as give this many attempts.
"""
MAX_SUCCESS_STATUS = 299
"""Highest HTTP status code of a response that is not an error."""

Header = tuple[str, str]


class ErrorDetail(msgspec.Struct):
    """The ``error`` object of an error response.

    Attributes:
        kind: The kind of error.
        message: A description for people.
        retry_after: Seconds to wait before a retry, if the instance says so.
    """

    kind: ErrorKind
    message: str
    retry_after: float | None = None


class ErrorResponse(msgspec.Struct):
    """The body of an error response.

    Attributes:
        outcome: Whether the request took effect.
        error: The error itself.
    """

    outcome: Outcome
    error: ErrorDetail


class Client:
    """Sends requests to instances, trying each address in turn.

    Attributes:
        target: The addresses to try and the key to authenticate with.
    """

    def __init__(
        self, target: Target, *, timeout: float = RESPONSE_TIMEOUT_SECONDS
    ) -> None:
        """Creates a client without opening a connection.

        Args:
            target: The addresses to try and the key to authenticate with.
            timeout: Longest time, in seconds, for one response.
        """
        self.target = target
        self._timeout = timeout

    async def get(self, path: str) -> Any:
        """Sends a GET request, and repeats it if its response is lost.

        Returns:
            The decoded response body.

        Raises:
            LagoonstairError: The response is an error or did not arrive.
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
        """Sends a change, which takes effect at most once per operation id.

        Args:
            method: The HTTP method.
            path: The request target.
            body: The request body, as JSON.
            operation_id: The idempotency key, which makes retries safe.
            if_version: Refuse the change if what it replaces was changed
                after this version.

        Returns:
            The decoded response body.

        Raises:
            LagoonstairError: The response is an error or did not arrive.
            UnreachableError: No instance could be reached.
        """
        headers = [("idempotency-key", operation_id)]
        if if_version is not None:
            headers.append(("if-match", str(if_version)))
        return await self._send_with_retries(
            method, path, body, headers, repeatable=True
        )

    async def post_once(self, path: str, body: bytes) -> Any:
        """Sends a POST request that is never sent twice.

        Returns:
            The decoded response body.

        Raises:
            LagoonstairError: The response is an error or did not arrive.
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
        """Sends a request until a response tells its outcome.

        A request that may have been sent is sent again only if it is
        repeatable. A response ends the attempts unless it says that the
        outcome is unknown.

        Raises:
            LagoonstairError: The response is an error, or the outcome is
                still unknown after the last attempt.
            UnreachableError: No instance could be reached.
        """
        maybe_sent = False
        last_error: Exception = UnreachableError("no address")
        for address in self._attempt_addresses():
            try:
                return await self._send_once(
                    address, method, path, body, headers
                )
            except NotSentError as exc:
                if not maybe_sent:
                    last_error = UnreachableError(str(exc))
            except LagoonstairError as exc:
                if exc.response.outcome is not Outcome.UNKNOWN:
                    raise
                last_error = exc
                maybe_sent = True
            if maybe_sent and not repeatable:
                break
        raise last_error

    def _attempt_addresses(self) -> list[Address]:
        """Returns one address per attempt, in whole rounds."""
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
        """Sends a request to one address and decodes the response.

        Raises:
            NotSentError: No connection could be opened.
            LagoonstairError: The response is an error or did not arrive.
        """
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
                ErrorKind.OUTCOME_UNKNOWN, f"{address}: no complete response"
            ) from exc
        finally:
            conn.close()
        return _decode_response(address, answer)


async def _connect(address: Address) -> HttpConnection:
    """Opens a connection to an instance.

    Raises:
        NotSentError: No connection could be opened in time.
    """
    try:
        with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
            return await HttpConnection.open(address)
    except trio.TooSlowError as exc:
        raise NotSentError(f"{address}: connecting timed out") from exc


def _decode_response(address: Address, answer: ClientResponse) -> Any:
    """Decodes the body of a response.

    Raises:
        LagoonstairError: The response is an error or can't be decoded.
    """
    try:
        if answer.status <= MAX_SUCCESS_STATUS:
            return msgspec.json.decode(answer.body)
        error = msgspec.json.decode(answer.body, type=ErrorResponse).error
    except msgspec.MsgspecError as exc:
        raise LagoonstairError(
            ErrorKind.OUTCOME_UNKNOWN,
            f"{address}: status {answer.status} with an undecodable body",
        ) from exc
    raise LagoonstairError(
        error.kind, error.message, retry_after=error.retry_after
    )
