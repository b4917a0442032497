"""The side that answers calls of other instances."""

import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
import trio
from loguru import logger

from lagoonstair._faults import describe_exception
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.peers._messages import (
    Call,
    Challenge,
    Failure,
    Hello,
    Ping,
    Reply,
    Welcome,
    compute_mac,
    verify_mac,
)
from lagoonstair.peers._outbox import CONNECTION_ERRORS, SendQueue
from lagoonstair.wire import (
    FrameReader,
    listen,
    write_frame,
)

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_SECONDS = 5.0
NIL = msgspec.Raw(msgspec.msgpack.encode(None))

MessageT = TypeVar("MessageT")


@dataclass(frozen=True, slots=True)
class PeerContext:
    """Who calls.

    Attributes:
        name: The calling instance's authenticated name.
    """

    name: str


Handler = Callable[[Any, PeerContext], Awaitable[Any]]


class HandlerRegistry:
    """Which handler answers which type of message."""

    def __init__(self) -> None:
        self._entries: dict[
            str, tuple[msgspec.msgpack.Decoder[Any], Handler]
        ] = {}
        self.register(Ping, _answer_ping)

    def register(
        self,
        message: type[MessageT],
        handler: Callable[[MessageT, PeerContext], Awaitable[Any]],
    ) -> None:
        """Answers messages of a type with a handler.

        A handler may raise ``LagoonstairError``; the caller gets the same.
        """
        decoder = msgspec.msgpack.Decoder(message)
        self._entries[message.__name__] = (decoder, handler)

    async def dispatch(self, call: Call, ctx: PeerContext) -> Any:
        """Decodes a call's body and runs its handler."""
        entry = self._entries.get(call.kind)
        if entry is None:
            raise LagoonstairError(
                ErrorKind.BAD_REQUEST, f"unknown message {call.kind}"
            )
        decoder, handler = entry
        try:
            message = decoder.decode(call.body)
        except msgspec.ValidationError as exc:
            raise LagoonstairError(
                ErrorKind.BAD_REQUEST, f"{call.kind}: {exc}"
            ) from exc
        return await handler(message, ctx)


async def _answer_ping(message: Ping, ctx: PeerContext) -> None:
    """Answers nothing: the reply itself is the answer."""


class PeerServer:
    """Answers authenticated calls on one listener.

    Attributes:
        refused: How many connections failed to authenticate.
    """

    def __init__(
        self, name: str, secret: bytes, registry: HandlerRegistry
    ) -> None:
        self._name = name
        self._secret = secret
        self._registry = registry
        self._encoder = msgspec.msgpack.Encoder()
        self._calls = msgspec.msgpack.Decoder(Call)
        self.refused_connections = 0

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens until cancelled; reports the port once it listens."""
        await listen(self._serve, host, port, task_status)

    async def _serve(self, stream: trio.SocketStream) -> None:
        reader = FrameReader(stream)
        try:
            ctx = None
            with trio.move_on_after(HANDSHAKE_TIMEOUT_SECONDS):
                ctx = await self._authenticate(stream, reader)
            if ctx is None:
                self.refused_connections += 1
                logger.warning("refused an unknown peer")
                return
            await self._serve_calls(stream, reader, ctx)
        except* CONNECTION_ERRORS:
            pass
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await stream.aclose()

    async def _authenticate(
        self, stream: trio.SocketStream, reader: FrameReader
    ) -> PeerContext | None:
        nonce = secrets.token_bytes(NONCE_BYTES)
        await write_frame(stream, self._encoder.encode(Challenge(nonce)))
        body = await reader.read()
        if body is None:
            return None
        try:
            hello = msgspec.msgpack.decode(body, type=Hello)
        except msgspec.MsgspecError:
            return None
        if not verify_mac(self._secret, "client", hello.name, nonce, hello.mac):
            return None
        mac = compute_mac(self._secret, "server", self._name, hello.nonce)
        welcome = Welcome(self._name, mac)
        await write_frame(stream, self._encoder.encode(welcome))
        return PeerContext(hello.name)

    async def _serve_calls(
        self, stream: trio.SocketStream, reader: FrameReader, ctx: PeerContext
    ) -> None:
        send_queue = SendQueue(stream)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_queue.run)
            while (body := await reader.read()) is not None:
                call = self._calls.decode(body)
                nursery.start_soon(self._answer, call, ctx, send_queue)
            nursery.cancel_scope.cancel()

    async def _answer(
        self, call: Call, ctx: PeerContext, send_queue: SendQueue
    ) -> None:
        body = NIL
        failure = None
        try:
            answer = await self._registry.dispatch(call, ctx)
            body = msgspec.Raw(self._encoder.encode(answer))
        except LagoonstairError as exc:
            failure = Failure(exc.kind, exc.message, exc.retry_after)
        except Exception as exc:
            logger.error(
                "call {} failed: {}", call.kind, describe_exception(exc)
            )
            failure = Failure(ErrorKind.INTERNAL, "internal error", None)
        reply = Reply(call.call_id, body, failure)
        send_queue.put(self._encoder.encode(reply))
