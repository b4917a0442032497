"""HTTP and frames over streams, with valid, malformed and truncated input."""

import pytest
import trio
import trio.testing

from lagoonstair._types import Address
from lagoonstair.wire import (
    FrameReader,
    FrameTooLargeError,
    HttpConnection,
    HttpError,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    NotSentError,
    write_frame,
)


async def _echo(req: HttpRequest) -> HttpResponse:
    if req.target == "/fail":
        raise RuntimeError("secret")
    return HttpResponse(status=200, body=req.body)


async def _start(nursery: trio.Nursery, server: HttpServer) -> Address:
    return Address(
        "127.0.0.1", await nursery.start(server.serve, "127.0.0.1", 0)
    )


async def test_connection_carries_several_requests(nursery):
    address = await _start(nursery, HttpServer(_echo))
    conn = await HttpConnection.open(address)
    bodies = [
        (await conn.call("POST", "/", body)).body for body in (b"a", b"", b"c")
    ]
    assert bodies == [b"a", b"", b"c"]
    assert conn.usable


async def test_failing_handler_answers_500_without_its_message(nursery):
    address = await _start(nursery, HttpServer(_echo))
    conn = await HttpConnection.open(address)
    answer = await conn.call("GET", "/fail")
    assert answer.status == 500
    assert b"secret" not in answer.body


async def test_too_large_body_is_refused(nursery):
    server = HttpServer(_echo, limits=HttpLimits(body_bytes=10))
    address = await _start(nursery, server)
    conn = await HttpConnection.open(address)
    answer = await conn.call("POST", "/", b"x" * 11)
    assert answer.status == 413
    assert not conn.usable


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 20000, b"431"),
    ],
)
async def test_bad_head_is_refused(nursery, sent, status):
    address = await _start(nursery, HttpServer(_echo))
    stream = await trio.open_tcp_stream(*address)
    await stream.send_all(sent)
    assert status in await stream.receive_some(100)


async def test_half_a_request_leaves_the_server_alive(nursery):
    address = await _start(nursery, HttpServer(_echo))
    stream = await trio.open_tcp_stream(*address)
    await stream.send_all(
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n"
    )
    await stream.aclose()
    conn = await HttpConnection.open(address)
    assert (await conn.call("POST", "/", b"z")).body == b"z"


async def test_drain_closes_idle_connections(nursery):
    server = HttpServer(_echo)
    conn = await HttpConnection.open(await _start(nursery, server))
    await conn.call("POST", "/", b"z")
    server.drain()
    with pytest.raises(HttpError):
        await conn.call("POST", "/", b"z")


async def test_refused_connection_means_not_sent():
    with pytest.raises(NotSentError):
        await HttpConnection.open(Address("127.0.0.1", 1))


async def test_frames_arrive_whole_and_in_order(nursery):
    left, right = trio.testing.memory_stream_pair()
    bodies = [b"", b"a" * 100_000, b"b"]

    async def send() -> None:
        for body in bodies:
            await write_frame(left, body)
        await left.send_eof()

    nursery.start_soon(send)
    reader = FrameReader(right)
    assert [await reader.read() for _ in range(4)] == [*bodies, None]


async def test_frame_over_the_limit_is_refused():
    left, right = trio.testing.memory_stream_pair()
    await write_frame(left, b"12345")
    with pytest.raises(FrameTooLargeError):
        await FrameReader(right, limit=4).read()


async def test_frame_cut_short_is_an_error():
    left, right = trio.testing.memory_stream_pair()
    await left.send_all(b"\x00\x00\x00\x05ab")
    await left.send_eof()
    with pytest.raises(trio.BrokenResourceError):
        await FrameReader(right).read()
