"""HTTP/1.1 client connection on trio."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

import trio

from lagoonstair._types import Address
from lagoonstair.wire._http_parser import (
    BadHttpError,
    ParsedResponse,
    ResponseParser,
)

READ_BYTES = 64 * 1024
"""Maximum number of bytes that one read from the socket returns."""


class NotSentError(Exception):
    """The connection could not be opened, so that no request was sent."""


class HttpError(Exception):
    """No complete response arrived; the request may have been processed.

    Also raised, with nothing sent, for a connection that is not usable.
    """


class ClientResponse(NamedTuple):
    """A complete response to a client request.

    Attributes:
        status: The HTTP status code.
        headers: The headers by lower-case name.
        body: The response body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpConnection:
    """A client connection that carries one request at a time.

    Attributes:
        usable: Whether the connection can carry another request. It is false
            while a request is in progress, and stays false after a failure,
            a cancellation or a response that ends the connection.
    """

    def __init__(self, stream: trio.SocketStream, address: Address) -> None:
        self._stream = stream
        self._address = address
        self._parser = ResponseParser()
        self.usable = True

    @classmethod
    async def open(cls, address: Address) -> "HttpConnection":
        """Opens a connection.

        Args:
            address: The server's address.

        Raises:
            NotSentError: The connection could not be established.
        """
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError as exc:
            raise NotSentError(f"{address}: {exc}") from exc
        return cls(stream, address)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        headers: Sequence[tuple[str, str]] = (),
    ) -> ClientResponse:
        """Sends a request and reads the complete response.

        A cancelled call leaves the connection unusable, since its response may
        still arrive.

        Args:
            method: The HTTP method.
            target: The request target: path and query.
            body: The request body.
            headers: Additional headers.

        Raises:
            HttpError: The connection is not usable, or no complete response
                was received.
            ValueError: The method, the target or a header contains a line
                break.
        """
        if not self.usable:
            raise HttpError("the connection can't carry another request")
        self.usable = False
        try:
            await self._stream.send_all(
                self._encode(method, target, body, headers)
            )
            parsed = await self._receive()
        except (BadHttpError, trio.BrokenResourceError, OSError) as exc:
            self.close()
            raise HttpError(f"{self._address}: {exc}") from exc
        if parsed.keep_alive and self._parser.idle:
            self.usable = True
        else:
            self.close()
        return ClientResponse(parsed.status, parsed.headers, parsed.body)

    def close(self) -> None:
        """Closes the socket without waiting for a response."""
        self.usable = False
        self._stream.socket.close()

    def _encode(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: Sequence[tuple[str, str]],
    ) -> bytes:
        lines = [
            f"{method} {target} HTTP/1.1",
            f"host: {self._address}",
            f"content-length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if any("\r" in line or "\n" in line for line in lines):
            raise ValueError("request line or header contains a line break")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

    async def _receive(self) -> ParsedResponse:
        while (parsed := self._parser.next_response()) is None:
            chunk = await self._stream.receive_some(READ_BYTES)
            if not chunk:
                raise BadHttpError(
                    502, "the server closed the connection before its response"
                )
            self._parser.feed(chunk)
        return parsed
