"""A small HTTP/1.1 server on trio."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec
import trio
from loguru import logger

from lagoonstair._faults import describe_exception
from lagoonstair.wire._http_parser import (
    BadHttpError,
    ParsedRequest,
    RequestParser,
)
from lagoonstair.wire._listen import listen

READ_BYTES = 64 * 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
TOO_LARGE = frozenset({413, 431})
STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}"
    for status in HTTPStatus
}


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """Bounds on what one client connection may use.

    Attributes:
        header_bytes: The largest request head, in bytes.
        body_bytes: The largest request body, in bytes.
        idle_timeout: Seconds without a request after which a connection is
            closed.
        request_timeout: Seconds within which a begun request must arrive whole.
        max_connections: How many connections may be open at once.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    idle_timeout: float = 300.0
    request_timeout: float = 10.0
    max_connections: int = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """A request that arrived whole.

    Attributes:
        method: The method, in capitals.
        target: The path with its query.
        headers: The headers, with names in lower case.
        body: The body.
        connection: A number that names the client connection.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    connection: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A response.

    Attributes:
        status: The HTTP status code.
        body: The body.
        content_type: The body's media type.
        headers: Further headers.
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


class HttpServer:
    """Serves requests on one listener.

    Attributes:
        draining: Once set, each connection is closed after its answer.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: HttpLimits | None = None,
        on_close: ConnectionHook | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._on_close = on_close
        self._open: dict[int, trio.CancelScope] = {}
        self._busy: set[int] = set()
        self._next_id = 0
        self.draining = False

    @property
    def open_connections(self) -> int:
        """How many client connections are open."""
        return len(self._open)

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens until cancelled; reports the port once it listens."""
        await listen(self._serve, host, port, task_status)

    def drain(self) -> None:
        """Closes idle connections now and the others after their answer."""
        self.draining = True
        for conn_id, scope in self._open.items():
            if conn_id not in self._busy:
                scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        if self.draining or len(self._open) >= self._limits.max_connections:
            with trio.move_on_after(1):
                await stream.aclose()
            return
        self._next_id += 1
        conn_id = self._next_id
        try:
            with trio.CancelScope() as scope:
                self._open[conn_id] = scope
                await self._converse(stream, conn_id)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        finally:
            del self._open[conn_id]
            self._busy.discard(conn_id)
            if self._on_close is not None:
                self._on_close(conn_id)
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await stream.aclose()

    async def _converse(self, stream: trio.SocketStream, conn_id: int) -> None:
        parser = RequestParser(
            header_bytes=self._limits.header_bytes,
            body_bytes=self._limits.body_bytes,
        )
        while not self.draining:
            try:
                parsed = await self._receive(stream, parser, conn_id)
            except BadHttpError as exc:
                resp = _refusal(exc)
                await stream.send_all(encode_response(resp, close=True))
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
            resp = await self._answer(req)
            close = self.draining or not parsed.keep_alive
            await stream.send_all(encode_response(resp, close=close))
            self._busy.discard(conn_id)
            if close:
                return

    async def _answer(self, req: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(req)
        except Exception as exc:
            logger.error("handler failed: {}", describe_exception(exc))
            return INTERNAL_ERROR

    async def _receive(
        self, stream: trio.SocketStream, parser: RequestParser, conn_id: int
    ) -> ParsedRequest | None:
        """Receives a request; None when the client closed or was silent.

        Raises:
            BadHttpError: What arrived can't be answered otherwise.
        """
        parsed = parser.next_request()
        with trio.move_on_after(self._limits.idle_timeout) as scope:
            while parsed is None:
                chunk = await stream.receive_some(READ_BYTES)
                if not chunk:
                    return None
                if conn_id not in self._busy:
                    self._busy.add(conn_id)
                    scope.deadline = (
                        trio.current_time() + self._limits.request_timeout
                    )
                parser.feed(chunk)
                if parser.wants_continue:
                    parser.wants_continue = False
                    await stream.send_all(CONTINUE)
                parsed = parser.next_request()
        if parsed is None and parser.began:
            raise BadHttpError(408, "the request did not arrive whole")
        self._busy.add(conn_id)
        return parsed


def encode_response(resp: HttpResponse, *, close: bool) -> bytes:
    """Encodes a response whole."""
    lines = [
        STATUS_LINES[resp.status],
        f"content-type: {resp.content_type}",
        f"content-length: {len(resp.body)}",
        *(f"{name}: {value}" for name, value in resp.headers),
    ]
    if close:
        lines.append("connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + resp.body


def _refusal(exc: BadHttpError) -> HttpResponse:
    kind = "too_large" if exc.status in TOO_LARGE else "bad_request"
    error = {"kind": kind, "message": str(exc), "retry": "never"}
    body = msgspec.json.encode({"outcome": "not_run", "error": error})
    return HttpResponse(status=exc.status, body=body)
