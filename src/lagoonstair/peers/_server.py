"""The server side of calls between instances."""

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
from lagoonstair.peers._send_queue import CONNECTION_ERRORS, SendQueue
from lagoonstair.wire import (
    FrameReader,
    FrameTooLargeError,
    listen,
    write_frame,
)

NONCE_BYTES = 16
"""Bytes in the nonce that the client signs."""

HANDSHAKE_TIMEOUT_SECONDS = 5.0
"""Seconds within which a client must have authenticated."""

NIL = msgspec.Raw(msgspec.msgpack.encode(None))

MessageT = TypeVar("MessageT")


@dataclass(frozen=True, slots=True)
class PeerContext:
    """The context of a call.

    Attributes:
        name: The authenticated name of the calling instance.
    """

    name: str


Handler = Callable[[Any, PeerContext], Awaitable[Any]]


class HandlerRegistry:
    """The handlers of calls, by the class name of the message."""

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
        """Registers the handler of a message type.

        A ``LagoonstairError`` that the handler raises is raised at the
        caller. A handler registered earlier for the type is replaced.
        """
        decoder = msgspec.msgpack.Decoder(message)
        self._entries[message.__name__] = (decoder, handler)

    async def dispatch(self, call: Call, ctx: PeerContext) -> Any:
        """Decodes a call's body and returns its handler's result.

        Raises:
            LagoonstairError: ``BAD_REQUEST`` for an unknown type or an invalid
                body, or the handler's error.
        """
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
    """Handles a ping, whose reply has no content."""


class PeerServer:
    """Serves authenticated calls on one listener.

    Attributes:
        refused_connections: The number of connections that failed to
            authenticate.
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
        """Listens until cancelled; the task starts with the port's number."""
        await listen(self._serve, host, port, task_status)

    async def _serve(self, stream: trio.SocketStream) -> None:
        reader = FrameReader(stream)
        try:
            ctx = None
            with trio.move_on_after(HANDSHAKE_TIMEOUT_SECONDS):
                ctx = await self._authenticate(stream, reader)
            if ctx is None:
                self.refused_connections += 1
                logger.warning("refused a peer that failed to authenticate")
                return
            await self._serve_calls(stream, reader, ctx)
        except* CONNECTION_ERRORS:
            pass
        except* Exception as exc:
            logger.error("peer connection failed: {}", describe_exception(exc))
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
        except (msgspec.MsgspecError, RecursionError):
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
        try:
            send_queue.put(self._encoder.encode(reply))
        except FrameTooLargeError as exc:
            logger.error("reply to {} not sent: {}", call.kind, exc)
            failure = Failure(ErrorKind.INTERNAL, "reply too large", None)
            reply = Reply(call.call_id, NIL, failure)
            send_queue.put(self._encoder.encode(reply))
