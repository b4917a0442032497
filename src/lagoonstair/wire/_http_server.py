"""A small HTTP/1.1 server on trio with the h11 codec."""

import contextlib
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import h11
import trio
from loguru import logger

READ_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """Bounds on what one client connection may use.

    Attributes:
        header_bytes: The largest request head, in bytes.
        body_bytes: The largest request body, in bytes.
        idle: Seconds without a request after which a connection is closed.
        request: Seconds within which a begun request must arrive whole.
        connections: How many connections may be open at once.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    idle: float = 300.0
    request: float = 10.0
    connections: int = 4096


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


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
ConnectionHook = Callable[[int], None]


class _TooLargeError(Exception):
    """The request is over a limit."""


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
        listeners = await trio.open_tcp_listeners(port, host=host)
        bound = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, self._serve, listeners)
            task_status.started(bound)

    def drain(self) -> None:
        """Closes idle connections now and the others after their answer."""
        self.draining = True
        for conn_id, scope in self._open.items():
            if conn_id not in self._busy:
                scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        if self.draining or len(self._open) >= self._limits.connections:
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
        codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        while True:
            try:
                req = await self._receive(stream, codec, conn_id)
            except _TooLargeError as exc:
                await self._refuse(stream, codec, 413, str(exc))
                return
            except h11.RemoteProtocolError as exc:
                await self._refuse(
                    stream, codec, exc.error_status_hint, str(exc)
                )
                return
            if req is None:
                return
            resp = await self._answer(req)
            await _send(stream, codec, resp, close=self.draining)
            self._busy.discard(conn_id)
            if codec.our_state is not h11.DONE or self.draining:
                return
            if codec.their_state is not h11.DONE:
                return
            codec.start_next_cycle()

    async def _answer(self, req: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(req)
        except Exception as exc:
            logger.error("handler failed: {}", type(exc).__name__)
            return HttpResponse(
                status=500,
                body=b'{"outcome":"unknown","error":{"kind":"internal",'
                b'"message":"internal error"}}',
            )

    async def _receive(
        self, stream: trio.SocketStream, codec: h11.Connection, conn_id: int
    ) -> HttpRequest | None:
        with trio.move_on_after(self._limits.idle) as idle:
            event = await _next_event(stream, codec)
        if idle.cancelled_caught or not isinstance(event, h11.Request):
            return None
        self._busy.add(conn_id)
        body = bytearray()
        with trio.move_on_after(self._limits.request) as whole:
            while True:
                part = await _next_event(stream, codec)
                if isinstance(part, h11.EndOfMessage):
                    break
                if not isinstance(part, h11.Data):
                    return None
                body += part.data
                if len(body) > self._limits.body_bytes:
                    raise _TooLargeError(
                        f"body is over {self._limits.body_bytes} bytes"
                    )
        if whole.cancelled_caught:
            raise h11.RemoteProtocolError("request timed out", 408)
        return HttpRequest(
            method=event.method.decode("ascii"),
            target=event.target.decode("latin-1"),
            headers={
                name.decode("latin-1"): value.decode("latin-1")
                for name, value in event.headers
            },
            body=bytes(body),
            connection=conn_id,
        )

    async def _refuse(
        self,
        stream: trio.SocketStream,
        codec: h11.Connection,
        status: int,
        message: str,
    ) -> None:
        if codec.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        kind = "too_large" if status in (413, 431) else "bad_request"
        text = message.replace("\\", "").replace('"', "'")
        body = (
            f'{{"outcome":"not_run","error":{{"kind":"{kind}",'
            f'"message":"{text}"}}}}'
        )
        resp = HttpResponse(status=status, body=body.encode())
        with contextlib.suppress(trio.BrokenResourceError):
            await _send(stream, codec, resp, close=True)


async def _next_event(
    stream: trio.SocketStream, codec: h11.Connection
) -> object:
    while True:
        event = codec.next_event()
        if event is not h11.NEED_DATA:
            return event
        if codec.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(codec.send(go_on) or b"")
        codec.receive_data(await stream.receive_some(READ_BYTES))


async def _send(
    stream: trio.SocketStream,
    codec: h11.Connection,
    resp: HttpResponse,
    *,
    close: bool,
) -> None:
    headers = [
        ("content-type", resp.content_type),
        ("content-length", str(len(resp.body))),
        *resp.headers,
    ]
    if close:
        headers.append(("connection", "close"))
    head = codec.send(h11.Response(status_code=resp.status, headers=headers))
    data = codec.send(h11.Data(data=resp.body))
    end = codec.send(h11.EndOfMessage())
    await stream.send_all(b"".join(p for p in (head, data, end) if p))
