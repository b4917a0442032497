"""Processor time of calls, on the side that a fleet pays for."""

import functools
import time
from collections.abc import Awaitable, Callable

import trio

from lagoonstair._types import Address
from lagoonstair.capacity._server_process import Serve, ServerProcess
from lagoonstair.endpoints import HttpEndpoint
from lagoonstair.groups import GroupView, GroupViewAsk
from lagoonstair.peers import (
    HandlerRegistry,
    PeerClient,
    PeerContext,
    PeerServer,
)
from lagoonstair.standins.database import Database, DatabaseConfig
from lagoonstair.wire import (
    HttpConnection,
    HttpRequest,
    HttpResponse,
    HttpServer,
)

HOST = "127.0.0.1"
SECRET = b"capacity capacity"
BODY = b'{"params":{"sku":"gutter-0001"},"session":"' + b"x" * 150 + b'"}'
CALLS_IN_FLIGHT = 16

AsyncCall = Callable[[], Awaitable[object]]


def peer_call_client(calls: int) -> float:
    """CPU seconds of the calling side of calls between instances."""
    client, _ = _peer_calls(calls)
    return client


def peer_call_server(calls: int) -> float:
    """CPU seconds of the answering side of calls between instances."""
    _, server = _peer_calls(calls)
    return server


def http_request_server(calls: int) -> float:
    """CPU seconds of the server of HTTP requests."""
    server = ServerProcess(_http_serve)
    with server.running():
        trio.run(_http_client, server.port, calls)
    return server.cpu_seconds


def status_probe(calls: int) -> float:
    """CPU seconds of the probing side of status probes."""
    server = ServerProcess(_database_serve)
    with server.running():
        return trio.run(_probe, server.port, calls)


def peer_connect(connections: int) -> float:
    """CPU seconds of the dialling side of new authenticated connections."""
    server = ServerProcess(_peer_serve)
    with server.running():
        return trio.run(_connect_peers, server.port, connections)


def _peer_calls(calls: int) -> tuple[float, float]:
    server = ServerProcess(_peer_serve)
    with server.running():
        client = trio.run(_peer_client, server.port, calls)
    return client, server.cpu_seconds


async def _view(ask: GroupViewAsk, ctx: PeerContext) -> GroupView:
    return GroupView(
        watcher="i001", term=7, primary="g1-a", silence=0.25, can_act=True
    )


def _peer_serve() -> Serve:
    registry = HandlerRegistry()
    registry.register(GroupViewAsk, _view)
    server = PeerServer("i001", SECRET, registry)
    return lambda status: server.serve(HOST, 0, task_status=status)


async def _peer_client(port: int, calls: int) -> float:
    address = Address(HOST, port)
    async with trio.open_nursery() as nursery:
        client = PeerClient("i002", SECRET, nursery)
        ask = GroupViewAsk(group="g1")
        await client.call(address, ask, GroupView)
        began = time.process_time()
        async with trio.open_nursery() as callers:
            for _ in range(CALLS_IN_FLIGHT):
                callers.start_soon(
                    _repeat,
                    functools.partial(client.call, address, ask, GroupView),
                    calls // CALLS_IN_FLIGHT,
                )
        spent = time.process_time() - began
        nursery.cancel_scope.cancel()
    return spent


async def _connect_peers(port: int, connections: int) -> float:
    began = time.process_time()
    for _ in range(connections):
        async with trio.open_nursery() as nursery:
            client = PeerClient("i002", SECRET, nursery)
            ask = GroupViewAsk(group="g1")
            await client.call(Address(HOST, port), ask, GroupView)
            nursery.cancel_scope.cancel()
    return time.process_time() - began


async def _repeat(call: AsyncCall, count: int) -> None:
    for _ in range(count):
        await call()


async def _echo(req: HttpRequest) -> HttpResponse:
    return HttpResponse(status=200, body=req.body)


def _http_serve() -> Serve:
    server = HttpServer(_echo)
    return lambda status: server.serve(HOST, 0, task_status=status)


async def _http_client(port: int, calls: int) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(CALLS_IN_FLIGHT):
            conn = await HttpConnection.open(Address(HOST, port))
            nursery.start_soon(
                _repeat,
                functools.partial(conn.call, "POST", "/v1/x", BODY),
                calls // CALLS_IN_FLIGHT,
            )


def _database_serve() -> Serve:
    database = Database.from_config(DatabaseConfig(name="d1", primary="d1"))
    return lambda status: database.serve(HOST, 0, task_status=status)


async def _probe(port: int, calls: int) -> float:
    endpoint = HttpEndpoint(Address(HOST, port), "i001")
    await endpoint.status()
    began = time.process_time()
    for _ in range(calls):
        await endpoint.status()
    spent = time.process_time() - began
    endpoint.close()
    return spent
