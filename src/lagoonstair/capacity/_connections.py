"""Memory of idle connections."""

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

POLL_SECONDS = 0.05


def caller_connections(count: int) -> float:
    """Resident bytes of a server's idle callers' connections."""
    return _measure_with_client(_serve_callers, _open_sockets, count)


def peer_connections(count: int) -> float:
    """Resident bytes of the answering side of peers' connections."""
    return _measure_with_client(_serve_peers, _open_peers, count)


def _measure_with_client(
    serve: Callable[[int, int, int], float],
    client: Callable[[int, int], None],
    count: int,
) -> float:
    """Measures a server while a forked process keeps connections open.

    The client tells by a pipe that all its connections are open, so that its
    memory is not counted.
    """
    ports, done = os.pipe(), os.pipe()
    pid = os.fork()
    if pid == 0:
        port = int(os.read(ports[0], 16))
        client(port, count)
        os.write(done[1], b"1")
        os.read(ports[0], 1)
        os._exit(0)
    grown = serve(ports[1], done[0], count)
    os.write(ports[1], b"1")
    os.waitpid(pid, 0)
    return grown


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


def _serve_callers(ports: int, done: int, count: int) -> float:
    async def handler(req: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200, body=req.body)

    async def main() -> float:
        server = HttpServer(handler)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve, HOST, 0)
            before = resident_bytes()
            os.write(ports, str(port).encode())
            await trio.lowlevel.wait_readable(done)
            while server.open_connections < count:
                await trio.sleep(POLL_SECONDS)
            grown = resident_bytes() - before
            nursery.cancel_scope.cancel()
        return float(grown)

    return trio.run(main)


def _serve_peers(ports: int, done: int, count: int) -> float:
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
            os.write(ports, str(port).encode())
            await trio.lowlevel.wait_readable(done)
            grown = resident_bytes() - before
            nursery.cancel_scope.cancel()
        return float(grown)

    return trio.run(main)
