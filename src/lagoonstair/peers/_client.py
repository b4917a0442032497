"""The client side of calls between instances."""

import secrets
from typing import Any, TypeVar

import msgspec
import trio
from loguru import logger

from lagoonstair._faults import describe_exception
from lagoonstair._types import Address
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.peers._messages import (
    Call,
    Challenge,
    Hello,
    Ping,
    Reply,
    Welcome,
    compute_mac,
    verify_mac,
)
from lagoonstair.peers._send_queue import CONNECTION_ERRORS, SendQueue
from lagoonstair.wire import FrameReader, FrameTooLargeError, write_frame

NONCE_BYTES = 16
"""Bytes in the nonce that the server signs."""

CONNECT_TIMEOUT_SECONDS = 0.5
"""Seconds allowed for the TCP connection and the handshake together."""

KEEPALIVE_INTERVAL_SECONDS = 0.5
"""Seconds between two checks for received frames after a call."""

MAX_SILENT_CHECKS = 2
"""Consecutive checks without a received frame that end a connection."""

PING_ID = 0
"""The call id of pings; the ids of other calls start above it."""

PING = Call(PING_ID, Ping.__name__, msgspec.Raw(msgspec.msgpack.encode(Ping())))

AnswerT = TypeVar("AnswerT")


class PeerNotSentError(Exception):
    """The call was not sent.

    No connection to the peer could be opened, or the message is too large.
    """


class PeerLostError(Exception):
    """The connection broke after the call may have been sent."""


class _PendingCall:
    """A call that is waiting for its reply."""

    __slots__ = ("event", "reply")

    def __init__(self) -> None:
        self.event = trio.Event()
        self.reply: Reply | None = None


class _Connection:
    """A multiplexed connection to a peer."""

    def __init__(self, stream: trio.SocketStream, reader: FrameReader) -> None:
        self._stream = stream
        self._reader = reader
        self._send_queue = SendQueue(stream)
        self._pending: dict[int, _PendingCall] = {}
        self._next_id = PING_ID
        self._received = 0
        self._expects_frame = False
        self._call_added = trio.Event()
        self._encoder = msgspec.msgpack.Encoder()
        self._replies = msgspec.msgpack.Decoder(Reply)
        self.closed = False

    async def run(self) -> None:
        """Sends and receives frames until the connection breaks."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_queue.run)
                nursery.start_soon(self._keep_alive)
                await self._read()
                nursery.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        except* Exception as exc:
            logger.error("peer connection failed: {}", describe_exception(exc))
        finally:
            self._close()

    async def call(self, message: Any) -> Reply:
        """Sends a call and waits for its reply.

        Raises:
            PeerLostError: The connection broke before the reply.
            PeerNotSentError: The message is too large.
        """
        self._next_id += 1
        call_id = self._next_id
        body = msgspec.Raw(self._encoder.encode(message))
        call = Call(call_id, type(message).__name__, body)
        try:
            self._send_queue.put(self._encoder.encode(call))
        except FrameTooLargeError as exc:
            raise PeerNotSentError(f"{call.kind}: {exc}") from exc
        pending = _PendingCall()
        self._pending[call_id] = pending
        self._expects_frame = True
        self._call_added.set()
        try:
            await pending.event.wait()
        finally:
            self._pending.pop(call_id, None)
        if pending.reply is None:
            raise PeerLostError("the connection broke before the reply")
        return pending.reply

    async def _keep_alive(self) -> None:
        """Ends the connection if calls get no answer and pings neither.

        A caller may give up before that; its call still counts, or calls that
        are rare and wait for a short time would never find out.
        """
        while True:
            if not self._expects_frame:
                self._call_added = trio.Event()
                await self._call_added.wait()
            silent_checks = 0
            while self._expects_frame:
                received = self._received
                if silent_checks:
                    # Most calls get their reply before the first check; a ping
                    # with each call would double the traffic between instances.
                    self._send_queue.put(self._encoder.encode(PING))
                await trio.sleep(KEEPALIVE_INTERVAL_SECONDS)
                silent_checks = (
                    silent_checks + 1 if self._received == received else 0
                )
                if silent_checks >= MAX_SILENT_CHECKS:
                    raise trio.BrokenResourceError(
                        "the peer sent nothing after it was called"
                    )

    async def _read(self) -> None:
        while (body := await self._reader.read()) is not None:
            self._received += 1
            reply = self._replies.decode(body)
            pending = self._pending.pop(reply.call_id, None)
            if pending is not None:
                pending.reply = reply
                pending.event.set()
            self._expects_frame = bool(self._pending)

    def _close(self) -> None:
        self.closed = True
        self._stream.socket.close()
        for pending in self._pending.values():
            pending.event.set()


class PeerClient:
    """Calls peers over one multiplexed connection to each address."""

    def __init__(self, name: str, secret: bytes, nursery: trio.Nursery) -> None:
        self._name = name
        self._secret = secret
        self._nursery = nursery
        self._conns: dict[Address, _Connection] = {}
        self._locks: dict[Address, trio.Lock] = {}

    async def call(
        self, address: Address, message: Any, answer: type[AnswerT]
    ) -> AnswerT:
        """Calls a peer and returns its reply, decoded as ``answer``.

        Raises:
            LagoonstairError: The peer replied with an error.
            PeerLostError: The call may have been sent; no reply arrived, or
                none that can be read.
            PeerNotSentError: The call was not sent.
        """
        conn = await self._connect(address)
        reply = await conn.call(message)
        if reply.failure is not None:
            kind, error_message, retry_after = (
                reply.failure.kind,
                reply.failure.message,
                reply.failure.retry_after,
            )
            raise LagoonstairError(kind, error_message, retry_after=retry_after)
        try:
            return msgspec.msgpack.decode(reply.body, type=answer)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise PeerLostError(f"malformed reply: {exc}") from exc

    async def _connect(self, address: Address) -> _Connection:
        lock = self._locks.setdefault(address, trio.Lock())
        async with lock:
            conn = self._conns.get(address)
            if conn is None or conn.closed:
                conn = await self._open(address)
                self._conns[address] = conn
                self._nursery.start_soon(conn.run)
            return conn

    async def _open(self, address: Address) -> _Connection:
        stream = None
        try:
            with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                stream = await trio.open_tcp_stream(*address)
                reader = FrameReader(stream)
                await self._authenticate(stream, reader)
        except (
            *CONNECTION_ERRORS,
            trio.TooSlowError,
            # The address is not one that a socket takes.
            OverflowError,
            ValueError,
        ) as exc:
            if stream is not None:
                stream.socket.close()
            raise PeerNotSentError(f"{address}: {exc}") from exc
        return _Connection(stream, reader)

    async def _authenticate(
        self, stream: trio.SocketStream, reader: FrameReader
    ) -> None:
        challenge = await _read_message(reader, Challenge)
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = Hello(
            name=self._name,
            nonce=nonce,
            mac=compute_mac(
                self._secret, "client", self._name, challenge.nonce
            ),
        )
        await write_frame(stream, msgspec.msgpack.encode(hello))
        welcome = await _read_message(reader, Welcome)
        if not verify_mac(
            self._secret, "server", welcome.name, nonce, welcome.mac
        ):
            raise trio.BrokenResourceError(
                "the peer failed to prove that it holds the shared secret"
            )


async def _read_message(reader: FrameReader, message: type[AnswerT]) -> AnswerT:
    body = await reader.read()
    if body is None:
        raise trio.BrokenResourceError(
            "the peer closed the connection during the handshake"
        )
    return msgspec.msgpack.decode(body, type=message)
