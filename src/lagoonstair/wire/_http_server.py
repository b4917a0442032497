"""HTTP/1.1 server on trio."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import msgspec
import trio
from loguru import logger

from lagoonstair._faults import describe_exception
from lagoonstair.wire._http_encoder import encode_response
from lagoonstair.wire._http_parser import (
    BadHttpError,
    ParsedRequest,
    RequestParser,
)
from lagoonstair.wire._listen import listen

READ_BYTES = 64 * 1024
"""Maximum number of bytes that one read from the socket returns."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Interim response that asks a client to send the request body."""

TOO_LARGE = frozenset({413, 431})
"""Status codes that are reported as an error of kind ``too_large``."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """Limits of a server and of each of its client connections.

    Attributes:
        header_bytes: Size limit of a request head, in bytes.
        body_bytes: Size limit of a request body, in bytes.
        idle_timeout: Time without a request after which a connection is
            closed, in seconds.
        request_timeout: Time limit for receiving a request completely, from
            its first byte, in seconds.
        max_connections: Maximum number of open connections of the server.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    idle_timeout: float = 300.0
    request_timeout: float = 10.0
    max_connections: int = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """A complete request.

    Attributes:
        method: The HTTP method in upper case.
        target: The request target: path and query.
        headers: The headers by lower-case name.
        body: The request body.
        connection: The server's ID of the client connection.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    connection: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A response to a request.

    Attributes:
        status: The HTTP status code.
        body: The response body.
        content_type: The media type of the body.
        headers: Additional headers.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = field(default=())


INTERNAL_ERROR = HttpResponse(
    status=500,
    body=b'{"outcome":"unknown","error":{"kind":"internal",'
    b'"message":"internal error","retry":"same_request_id"}}',
)

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
ConnectionHook = Callable[[int], None]
RefusedHook = Callable[[str], None]


class HttpServer:
    """An HTTP server on one listener.

    Args:
        handler: Produces the response to a request. If it raises, the client
            receives status 500 without the exception's message.
        limits: The limits of the server and its connections.
        on_close: Called with the ID of each connection that was closed.
        on_refused: Called with the reason for which a connection is closed
            whose next request could not be received.

    Attributes:
        draining: Whether new connections are rejected, and existing ones are
            closed after their current response.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: HttpLimits | None = None,
        on_close: ConnectionHook | None = None,
        on_refused: RefusedHook | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._on_close = on_close
        self._on_refused = on_refused
        self._open: dict[int, trio.CancelScope] = {}
        self._busy: set[int] = set()
        self._next_id = 0
        self.draining = False

    @property
    def open_connections(self) -> int:
        """The number of open client connections."""
        return len(self._open)

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves connections until cancelled.

        Args:
            host: The IP address to listen on.
            port: The TCP port; 0 lets the operating system choose one.
            task_status: Receives the bound port once the server listens.
        """
        await listen(self._serve_connection, host, port, task_status)

    def drain(self) -> None:
        """Closes idle connections now, the others after their response."""
        self.draining = True
        for conn_id, scope in self._open.items():
            if conn_id not in self._busy:
                scope.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        if self.draining or len(self._open) >= self._limits.max_connections:
            with trio.move_on_after(1):
                await stream.aclose()
            return
        self._next_id += 1
        conn_id = self._next_id
        try:
            with trio.CancelScope() as scope:
                self._open[conn_id] = scope
                await self._serve_requests(stream, conn_id)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            del self._open[conn_id]
            self._busy.discard(conn_id)
            if self._on_close is not None:
                self._on_close(conn_id)
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await stream.aclose()

    async def _serve_requests(
        self, stream: trio.SocketStream, conn_id: int
    ) -> None:
        """Serves the requests of one connection, one after another."""
        parser = RequestParser(
            header_bytes=self._limits.header_bytes,
            body_bytes=self._limits.body_bytes,
        )
        while not self.draining:
            try:
                parsed = await self._receive(stream, parser, conn_id)
            except BadHttpError as exc:
                logger.warning("request refused: {}: {}", exc.reason, exc)
                if self._on_refused is not None:
                    self._on_refused(exc.reason)
                resp = _error_response(exc)
                await stream.send_all(_encode(resp, close=True))
                return
            if parsed is None:
                return
            req = HttpRequest(
                method=parsed.method,
                target=parsed.target,
                headers=parsed.headers,
                body=parsed.body,
                connection=conn_id,
            )
            resp = await self._handle(req)
            close = self.draining or not parsed.keep_alive
            await stream.send_all(
                _encode(resp, close=close, method=parsed.method)
            )
            self._busy.discard(conn_id)
            if close:
                return

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(req)
        except Exception as exc:
            logger.error("request handler failed: {}", describe_exception(exc))
            return INTERNAL_ERROR

    async def _receive(
        self, stream: trio.SocketStream, parser: RequestParser, conn_id: int
    ) -> ParsedRequest | None:
        """Receives the next request.

        Returns:
            The request, or ``None`` if the client closed the connection or the
            idle timeout expired.

        Raises:
            BadHttpError: The request is malformed, exceeds a limit or did not
                arrive completely in time.
        """
        parsed = parser.next_request()
        with trio.move_on_after(self._limits.idle_timeout) as scope:
            while parsed is None:
                # Sent before the response to an earlier request, it would
                # seem to belong to that one.
                if parser.wants_continue:
                    parser.wants_continue = False
                    await stream.send_all(CONTINUE)
                chunk = await stream.receive_some(READ_BYTES)
                if not chunk:
                    return None
                if conn_id not in self._busy:
                    self._busy.add(conn_id)
                    scope.deadline = (
                        trio.current_time() + self._limits.request_timeout
                    )
                parser.feed(chunk)
                parsed = parser.next_request()
        if parsed is None and parser.in_message:
            raise BadHttpError(408, "the request did not arrive whole", "slow")
        self._busy.add(conn_id)
        return parsed


def _encode(
    resp: HttpResponse, *, close: bool, method: str | None = None
) -> bytes:
    """Encodes a response.

    Args:
        resp: The response; one with an invalid field is replaced by an
            internal error.
        close: Whether to announce that the connection will be closed.
        method: The method of the request, if it could be received.
    """
    headers = [("content-type", resp.content_type), *resp.headers]
    if close:
        headers.append(("connection", "close"))
    is_head = method == "HEAD"
    try:
        return encode_response(resp.status, headers, resp.body, is_head=is_head)
    except ValueError as exc:
        logger.error("response invalid: {}", exc)
        return _encode(INTERNAL_ERROR, close=close, method=method)


def _error_response(exc: BadHttpError) -> HttpResponse:
    """Builds the response to a request that could not be received."""
    kind = "too_large" if exc.status in TOO_LARGE else "bad_request"
    error = {"kind": kind, "message": str(exc), "retry": "never"}
    body = msgspec.json.encode({"outcome": "not_run", "error": error})
    return HttpResponse(status=exc.status, body=body)
