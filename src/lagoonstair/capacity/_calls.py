"""Processor time of calls, measured on one side of the connection."""

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
"""Address on which all measured servers listen."""

SECRET = b"capacity capacity"
"""The peer secret that clients and servers share."""

BODY = b'{"params":{"sku":"gutter-0001"},"session":"' + b"x" * 150 + b'"}'
"""Body of an HTTP request, with a parameter and a session."""

CALLS_IN_FLIGHT = 16
"""Number of concurrent calls."""

AsyncCall = Callable[[], Awaitable[object]]


def peer_call_client(calls: int) -> float:
    """Returns the CPU seconds of the client of calls between instances."""
    client, _ = _measure_peer_calls(calls)
    return client


def peer_call_server(calls: int) -> float:
    """Returns the CPU seconds of the server of calls between instances."""
    _, server = _measure_peer_calls(calls)
    return server


def http_request_server(calls: int) -> float:
    """Returns the CPU seconds of the server of HTTP requests."""
    server = ServerProcess(_make_http_server)
    with server.running():
        trio.run(_send_http_requests, server.port, calls)
    return server.cpu_seconds


def status_probe(calls: int) -> float:
    """Returns the CPU seconds of the client of status probes."""
    server = ServerProcess(_make_database_server)
    with server.running():
        return trio.run(_send_probes, server.port, calls)


def peer_connect(connections: int) -> float:
    """Returns the CPU seconds of the client of new authenticated connections.

    Each connection also carries one call.
    """
    server = ServerProcess(_make_peer_server)
    with server.running():
        return trio.run(_connect_peers, server.port, connections)


def _measure_peer_calls(calls: int) -> tuple[float, float]:
    server = ServerProcess(_make_peer_server)
    with server.running():
        client = trio.run(_call_peer, server.port, calls)
    return client, server.cpu_seconds


async def _answer_group_view(ask: GroupViewAsk, ctx: PeerContext) -> GroupView:
    return GroupView(
        watcher="i001", term=7, primary="g1-a", silence=0.25, can_act=True
    )


def _make_peer_server() -> Serve:
    registry = HandlerRegistry()
    registry.register(GroupViewAsk, _answer_group_view)
    server = PeerServer("i001", SECRET, registry)
    return lambda status: server.serve(HOST, 0, task_status=status)


async def _call_peer(port: int, calls: int) -> float:
    address = Address(HOST, port)
    async with trio.open_nursery() as nursery:
        client = PeerClient("i002", SECRET, nursery)
        ask = GroupViewAsk(group="g1")
        await client.call(address, ask, GroupView)
        started_at = time.process_time()
        async with trio.open_nursery() as callers:
            for _ in range(CALLS_IN_FLIGHT):
                callers.start_soon(
                    _repeat,
                    functools.partial(client.call, address, ask, GroupView),
                    calls // CALLS_IN_FLIGHT,
                )
        cpu_seconds = time.process_time() - started_at
        nursery.cancel_scope.cancel()
    return cpu_seconds


async def _connect_peers(port: int, connections: int) -> float:
    started_at = time.process_time()
    for _ in range(connections):
        async with trio.open_nursery() as nursery:
            client = PeerClient("i002", SECRET, nursery)
            ask = GroupViewAsk(group="g1")
            await client.call(Address(HOST, port), ask, GroupView)
            nursery.cancel_scope.cancel()
    return time.process_time() - started_at


async def _repeat(call: AsyncCall, count: int) -> None:
    for _ in range(count):
        await call()


async def _echo(req: HttpRequest) -> HttpResponse:
    return HttpResponse(status=200, body=req.body)


def _make_http_server() -> Serve:
    server = HttpServer(_echo)
    return lambda status: server.serve(HOST, 0, task_status=status)


async def _send_http_requests(port: int, calls: int) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(CALLS_IN_FLIGHT):
            conn = await HttpConnection.open(Address(HOST, port))
            nursery.start_soon(
                _repeat,
                functools.partial(conn.call, "POST", "/v1/x", BODY),
                calls // CALLS_IN_FLIGHT,
            )


def _make_database_server() -> Serve:
    database = Database.from_config(DatabaseConfig(name="d1", primary="d1"))
    return lambda status: database.serve(HOST, 0, task_status=status)


async def _send_probes(port: int, calls: int) -> float:
    endpoint = HttpEndpoint(Address(HOST, port), "i001")
    await endpoint.status()
    started_at = time.process_time()
    for _ in range(calls):
        await endpoint.status()
    cpu_seconds = time.process_time() - started_at
    endpoint.close()
    return cpu_seconds
