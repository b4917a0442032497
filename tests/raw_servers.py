"""Servers that send bytes as a test scripts them, without any codec."""

import contextlib
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from lagoonstair._types import Address

HOST = "127.0.0.1"

Script = Callable[[trio.SocketStream], Awaitable[None]]


async def start_raw(nursery: trio.Nursery, script: Script) -> Address:
    """Starts a server whose connections each run the script.

    A client that leaves unread bytes resets its connection.
    """

    async def serve(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            await script(stream)

    (listener,) = await nursery.start(
        partial(trio.serve_tcp, serve, 0, host=HOST)
    )
    return Address(HOST, listener.socket.getsockname()[1])


async def read_request(stream: trio.SocketStream) -> bytes:
    """Returns a request, which announces its length; empty at the end."""
    data = bytearray()
    while b"\r\n\r\n" not in data:
        chunk = await stream.receive_some()
        if not chunk:
            return b""
        data += chunk
    head, _, body = bytes(data).partition(b"\r\n\r\n")
    size = next(
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    )
    while len(body) < size:
        body += await stream.receive_some()
    return head + b"\r\n\r\n" + body


def response(body: bytes, *headers: bytes, status: bytes = b"200 OK") -> bytes:
    """Builds a response of status, headers and body."""
    size = b"content-length: %d" % len(body)
    lines = [b"HTTP/1.1 " + status, size, *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
