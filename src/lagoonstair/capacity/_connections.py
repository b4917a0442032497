"""Resident memory of idle connections."""

import os
import socket
from collections.abc import Callable

import trio

from lagoonstair._types import Address
from lagoonstair.capacity._calls import HOST, SECRET
from lagoonstair.capacity._process import resident_bytes
from lagoonstair.groups import GroupView, GroupViewAsk
from lagoonstair.peers import (
    HandlerRegistry,
    PeerClient,
    PeerContext,
    PeerServer,
)
from lagoonstair.wire import HttpRequest, HttpResponse, HttpServer

POLL_INTERVAL_SECONDS = 0.05
"""Seconds between two checks whether all connections are open."""


def caller_connections(count: int) -> float:
    """Returns the resident bytes of a server's idle caller connections."""
    return _measure_with_client(_serve_callers, _open_sockets, count)


def peer_connections(count: int) -> float:
    """Returns the resident bytes that peer connections take at the server."""
    return _measure_with_client(_serve_peers, _open_peers, count)


def _measure_with_client(
    serve: Callable[[int, int, int], float],
    client: Callable[[int, int], None],
    count: int,
) -> float:
    """Measures a server while a forked process keeps connections open.

    The client runs in the forked process so that its memory is not counted.
    It reports by a pipe when all its connections are open.

    Args:
        serve: Runs the server, and returns by how many bytes its resident
            memory grew. Its arguments are the descriptor that it writes its
            port to, the descriptor that becomes readable when all
            connections are open, and the number of connections.
        client: Opens connections. Its arguments are the server's port and
            the number of connections.
        count: The number of connections.

    Returns:
        The growth of the server's resident memory in bytes.
    """
    control_pipe, ready_pipe = os.pipe(), os.pipe()
    pid = os.fork()
    if pid == 0:
        port = int(os.read(control_pipe[0], 16))
        client(port, count)
        os.write(ready_pipe[1], b"1")
        os.read(control_pipe[0], 1)
        os._exit(0)
    growth = serve(control_pipe[1], ready_pipe[0], count)
    os.write(control_pipe[1], b"1")
    os.waitpid(pid, 0)
    return growth


def _open_sockets(port: int, count: int) -> None:
    _KEPT_SOCKETS.extend(
        socket.create_connection((HOST, port)) for _ in range(count)
    )


def _open_peers(port: int, count: int) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for number in range(count):
                client = PeerClient(f"i{number}", SECRET, nursery)
                ask = GroupViewAsk(group="g1")
                await client.call(Address(HOST, port), ask, GroupView)
            _KEPT_SOCKETS.extend(
                socket.socket(fileno=os.dup(fd))
                for fd in _list_socket_descriptors()
            )
            nursery.cancel_scope.cancel()

    trio.run(main)


def _list_socket_descriptors() -> list[int]:
    links = [
        (int(name), f"/proc/self/fd/{name}") for name in _list_descriptors()
    ]
    return [
        number
        for number, link in links
        if os.path.exists(link) and os.readlink(link).startswith("socket:")
    ]


def _list_descriptors() -> list[str]:
    return os.listdir("/proc/self/fd")


_KEPT_SOCKETS: list[socket.socket] = []
"""Sockets of the forked client, referenced so that they stay open."""


def _serve_callers(control_fd: int, ready_fd: int, count: int) -> float:
    async def handler(req: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200, body=req.body)

    async def main() -> float:
        server = HttpServer(handler)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, HOST, 0)
            before = resident_bytes()
            os.write(control_fd, str(port).encode())
            await trio.lowlevel.wait_readable(ready_fd)
            while server.open_connections < count:
                await trio.sleep(POLL_INTERVAL_SECONDS)
            growth = resident_bytes() - before
            nursery.cancel_scope.cancel()
        return float(growth)

    return trio.run(main)


def _serve_peers(control_fd: int, ready_fd: int, count: int) -> float:
    async def view(ask: GroupViewAsk, ctx: PeerContext) -> GroupView:
        return GroupView(
            watcher="a", term=1, primary="b", silence=0.0, can_act=True
        )

    async def main() -> float:
        registry = HandlerRegistry()
        registry.register(GroupViewAsk, view)
        server = PeerServer("i000", SECRET, registry)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, HOST, 0)
            before = resident_bytes()
            os.write(control_fd, str(port).encode())
            await trio.lowlevel.wait_readable(ready_fd)
            growth = resident_bytes() - before
            nursery.cancel_scope.cancel()
        return float(growth)

    return trio.run(main)
