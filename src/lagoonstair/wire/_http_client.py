"""HTTP/1.1 client connection on trio."""

import contextlib
import os
import select
import socket
import struct
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import trio
from loguru import logger

from lagoonstair._types import Address
from lagoonstair.wire._http_encoder import encode_request
from lagoonstair.wire._http_parser import (
    BadHttpError,
    ParsedResponse,
    ResponseParser,
)

READ_BYTES = 64 * 1024
"""Maximum number of bytes that one read from the socket returns."""

LAST_PART_BYTES = 16 * 1024
"""Size of the last part of a request, which is sent only if nothing was
received before it."""

UnexpectedHook = Callable[[str], None]
"""Receives the reason for which received bytes can't answer a request:
``idle``, ``early`` or ``second``."""


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

    Responses carry nothing that ties them to a request but their order. A
    connection on which more was received than one response to each request is
    therefore closed.

    Args:
        stream: The connected stream.
        address: The address to which the stream is connected.
        on_unexpected: Called when bytes are received that can't belong to the
            response to a request.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        address: Address,
        on_unexpected: UnexpectedHook | None = None,
    ) -> None:
        self._stream = stream
        self._address = address
        self._on_unexpected = on_unexpected
        self._parser = ResponseParser()
        self._poll = select.poll()
        self._poll.register(stream.socket.fileno(), select.POLLIN)
        self._is_free = True

    @property
    def usable(self) -> bool:
        """Whether the connection can carry another request.

        It is false while a request is in progress, and stays false after a
        failure, a cancellation or a response that ends the connection, and
        once the server has closed the connection or sent anything unasked.
        """
        return self._is_free and not self._has_received("idle")

    @classmethod
    async def open(
        cls, address: Address, on_unexpected: UnexpectedHook | None = None
    ) -> "HttpConnection":
        """Opens a connection.

        Args:
            address: The server's address.
            on_unexpected: Called when bytes are received that can't belong to
                the response to a request.

        Raises:
            NotSentError: The connection could not be established.
        """
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError as exc:
            raise NotSentError(f"{address}: {exc}") from exc
        return cls(stream, address, on_unexpected)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        headers: Sequence[tuple[str, str]] = (),
        is_correlated: bool = False,
    ) -> ClientResponse:
        """Sends a request and reads the complete response.

        A cancelled call leaves the connection unusable, since its response may
        still arrive.

        Args:
            method: The HTTP method.
            target: The request target: path and query.
            body: The request body.
            headers: Additional headers.
            is_correlated: Whether the caller checks by an ID in the response
                that it answers this request. Without it, two responses at
                once answer nothing.

        Raises:
            HttpError: The connection is not usable, no complete response was
                received, or more than one.
            ValueError: The method, the target or a header contains characters
                that it may not have; nothing was sent.
        """
        if not self.usable:
            raise HttpError("the connection can't carry another request")
        message = encode_request(
            method, target, (("host", str(self._address)), *headers), body
        )
        self._is_free = False
        try:
            await self._send(message)
            parsed = await self._receive()
            if not self._parser.idle:
                self._report("second")
                if not is_correlated:
                    raise BadHttpError(502, "more than one response")
        except (BadHttpError, trio.BrokenResourceError, OSError) as exc:
            self.close()
            raise HttpError(f"{self._address}: {exc}") from exc
        if parsed.keep_alive and self._parser.idle:
            self._is_free = True
        else:
            self.close()
        return ClientResponse(parsed.status, parsed.headers, parsed.body)

    def close(self) -> None:
        """Closes the socket without waiting for a response."""
        self._is_free = False
        self._stream.socket.close()

    def reset(self) -> None:
        """Closes the socket and discards what has not been delivered yet."""
        linger = struct.pack("ii", 1, 0)
        with contextlib.suppress(OSError):
            # Fails if the socket has been closed already.
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    async def _send(self, message: bytes) -> None:
        """Sends a request.

        Raises:
            BadHttpError: Something was received before the request was sent
                completely, which therefore can't answer it.
        """
        if len(message) > LAST_PART_BYTES:
            await self._stream.send_all(message[:-LAST_PART_BYTES])
            if self._has_received("early"):
                raise BadHttpError(502, "bytes came before the whole request")
        await self._stream.send_all(message[-LAST_PART_BYTES:])

    def _has_received(self, reason: str) -> bool:
        """Closes the connection if it has been closed or received anything.

        Args:
            reason: Why received bytes are unexpected.

        Returns:
            Whether it was closed.
        """
        if not self._poll.poll(0):
            return False
        try:
            data = os.read(self._stream.socket.fileno(), 1)
        except OSError:
            data = b""
        self.close()
        if data:
            self._report(reason)
        return True

    def _report(self, reason: str) -> None:
        logger.warning("response unexpected: {}: {}", self._address, reason)
        if self._on_unexpected is not None:
            self._on_unexpected(reason)

    async def _receive(self) -> ParsedResponse:
        while (parsed := self._parser.next_response()) is None:
            chunk = await self._stream.receive_some(READ_BYTES)
            if not chunk:
                raise BadHttpError(
                    502, "the server closed the connection before its response"
                )
            self._parser.feed(chunk)
        return parsed
