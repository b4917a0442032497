"""Benchmarks of three transports with an echo of a body of 200 bytes."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import grpc
import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.bench._load import CALLS_IN_FLIGHT, AsyncCall, Cost, measure
from lagoonstair.peers import (
    HandlerRegistry,
    PeerClient,
    PeerContext,
    PeerServer,
)
from lagoonstair.wire import (
    HttpConnection,
    HttpRequest,
    HttpResponse,
    HttpServer,
)

BODY = b"x" * 200
"""Body of each request and of each response."""

HOST = "127.0.0.1"
"""Address on which the servers listen."""

SECRET = b"benchmark"
"""The peer secret that client and server share."""

GRPC_METHOD = "/lagoonstair.Bench/Echo"
"""Path of the gRPC method."""

GRPC_THREADS = 4
"""Number of threads of the gRPC server."""


class Echo(msgspec.Struct, frozen=True):
    """A message that the server sends back unchanged.

    Attributes:
        body: The content of the message.
    """

    body: bytes


async def measure_frames(calls: int) -> Cost:
    """Measures framed msgpack messages over one multiplexed connection.

    Args:
        calls: The number of calls to make.

    Returns:
        The mean cost of a call.
    """

    async def answer(message: Echo, ctx: PeerContext) -> Echo:
        return message

    registry = HandlerRegistry()
    registry.register(Echo, answer)
    async with trio.open_nursery() as nursery:
        server = PeerServer("server", SECRET, registry)
        port = await nursery.start(server.serve, HOST, 0)
        client = PeerClient("client", SECRET, nursery)
        address = Address(HOST, port)

        async def call() -> Echo:
            return await client.call(address, Echo(BODY), Echo)

        cost = await measure("frames", [call] * CALLS_IN_FLIGHT, calls=calls)
        nursery.cancel_scope.cancel()
    return cost


async def measure_http(calls: int) -> Cost:
    """Measures HTTP/1.1 with one connection for each concurrent call.

    Args:
        calls: The number of calls to make.

    Returns:
        The mean cost of a call.
    """

    async def answer(req: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200, body=req.body)

    def caller(conn: HttpConnection) -> AsyncCall:
        return lambda: conn.call("POST", "/", BODY)

    async with trio.open_nursery() as nursery:
        server = HttpServer(answer)
        port = await nursery.start(server.serve, HOST, 0)
        address = Address(HOST, port)
        conns = [
            await HttpConnection.open(address) for _ in range(CALLS_IN_FLIGHT)
        ]
        cost = await measure("http", [caller(c) for c in conns], calls=calls)
        nursery.cancel_scope.cancel()
    return cost


async def measure_grpc(calls: int) -> Cost:
    """Measures grpcio, whose threads notify trio when a call is done.

    Args:
        calls: The number of calls to make.

    Returns:
        The mean cost of a call.
    """
    server = _make_grpc_server()
    port = server.add_insecure_port(f"{HOST}:0")
    server.start()
    channel = grpc.insecure_channel(f"{HOST}:{port}")
    echo = channel.unary_unary(GRPC_METHOD)
    token = trio.lowlevel.current_trio_token()

    async def call() -> Any:
        done = trio.Event()
        fut = echo.future(BODY)
        fut.add_done_callback(_make_waker(token, done))
        await done.wait()
        return fut.result()

    cost = await measure("grpcio", [call] * CALLS_IN_FLIGHT, calls=calls)
    channel.close()
    server.stop(None).wait()
    return cost


def _make_waker(
    token: trio.lowlevel.TrioToken, done: trio.Event
) -> Callable[[Any], None]:
    return lambda _: token.run_sync_soon(done.set)


def _make_grpc_server() -> Any:
    def echo(body: bytes, ctx: Any) -> bytes:
        return body

    service, method = GRPC_METHOD.strip("/").split("/")
    handlers = {method: grpc.unary_unary_rpc_method_handler(echo)}
    server = grpc.server(ThreadPoolExecutor(GRPC_THREADS))
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(service, handlers),)
    )
    return server
