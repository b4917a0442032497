"""Tests of invalid answers, sent byte by byte by a scripted server."""

import msgspec
import pytest
import trio

from databases import COUNT, run
from lagoonstair._types import Address
from lagoonstair.endpoints import HttpEndpoint
from lagoonstair.ports import (
    EndpointRefusedError,
    EndpointUnreachableError,
    ResultUnknownError,
)

READ = run(COUNT, read_only=True)
ANSWER = {"call_id": 0, "term": 1, "position": [1, 1], "results": [[[0]]]}
REFUSAL = {"call_id": 0, "refusal": "busy", "message": "", "term": 1}
STATUS = {"name": "a", "role": "primary", "term": 1, "last": [1, 1]}


def _http(
    body: bytes, *, status: int = 200, size: int | None = None, call: str = ""
) -> bytes:
    length = len(body) if size is None else size
    head = f"HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n"
    head += f"x-call-id: {call}\r\n\r\n"
    return head.encode() + body


def _json(fields: dict, **changes) -> bytes:
    return msgspec.json.encode(fields | changes)


class _ScriptedServer:
    """Answers each request with the bytes that a function returns for it."""

    def __init__(self, reply) -> None:
        self._reply = reply
        self.requests = 0
        self.replied = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        text = b""
        async for chunk in stream:
            text += chunk
            head, end, body = text.partition(b"\r\n\r\n")
            size = int(head.partition(b"content-length: ")[2].split()[0])
            if not end or len(body) < size:
                continue
            text = b""
            self.requests += 1
            call_id = (
                msgspec.json.decode(body)["call_id"]
                if body
                else head.partition(b"x-call-id: ")[2].split()[0].decode()
            )
            is_connect = head.startswith(b"POST /v1/connect")
            answer = (
                _http(_json({"call_id": call_id}))
                if is_connect
                else self._reply(call_id)
            )
            await stream.send_all(answer)
            if not is_connect:
                self.replied.set()
            if b"close" in answer:
                return


async def _endpoint(nursery, reply) -> tuple[HttpEndpoint, _ScriptedServer]:
    script = _ScriptedServer(reply)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, script.serve, listeners)
    port = listeners[0].socket.getsockname()[1]
    return HttpEndpoint(Address("127.0.0.1", port), "test"), script


INVALID_ANSWERS = {
    "another call": lambda i: _http(_json(ANSWER, call_id=i + 1)),
    "no call id": lambda i: _http(b'{"term":1,"position":[1,1]}'),
    "too few results": lambda i: _http(_json(ANSWER, call_id=i, results=[])),
    "too many results": lambda i: _http(
        _json(ANSWER, call_id=i, results=[[], []])
    ),
    "wrong type": lambda i: _http(_json(ANSWER, call_id=i, term="x")),
    "not json": lambda i: _http(b"<html>"),
    "cut body": lambda i: _http(b"{}close", size=500),
    "cut head": lambda i: b"HTTP/1.1 200 x\r\nconnection: close",
    "nothing": lambda i: b"\r\nclose",
    "server error": lambda i: _http(_json(ANSWER, call_id=i), status=500),
    "refusal of another call": lambda i: _http(
        _json(REFUSAL, call_id=i + 1), status=409
    ),
    "refusal of no kind": lambda i: _http(
        _json(REFUSAL, call_id=i, refusal="why"), status=409
    ),
}


@pytest.mark.parametrize("invalid", INVALID_ANSWERS)
async def test_invalid_answer_is_unknown_and_ends_the_connection(
    nursery, invalid
):
    endpoint, script = await _endpoint(nursery, INVALID_ANSWERS[invalid])
    conn = await endpoint.connect()
    with pytest.raises(ResultUnknownError):
        await conn.run(READ)
    with pytest.raises(EndpointUnreachableError):
        await conn.run(READ)
    assert script.requests == 2


async def test_matching_refusal_raises_refused_error(nursery):
    endpoint, _ = await _endpoint(
        nursery, lambda i: _http(_json(REFUSAL, call_id=i), status=409)
    )
    conn = await endpoint.connect()
    for _ in range(2):
        with pytest.raises(EndpointRefusedError):
            await conn.run(READ)


async def test_duplicate_answer_ends_the_connection(nursery):
    endpoint, script = await _endpoint(
        nursery, lambda i: 2 * _http(_json(ANSWER, call_id=i))
    )
    conn = await endpoint.connect()
    assert (await conn.run(READ)).results == ([[0]],)
    await script.replied.wait()
    with pytest.raises(EndpointUnreachableError):
        await conn.run(READ)
    assert script.requests == 2


@pytest.mark.parametrize(
    "invalid",
    {
        "another call": lambda i: _http(_json(STATUS), call="7"),
        "wrong type": lambda i: _http(_json(STATUS, last=1), call=i),
        "cut": lambda i: _http(b"{}close", size=500, call=i),
        "server error": lambda i: _http(b"{}", status=500, call=i),
    }.items(),
    ids=lambda item: item[0],
)
async def test_invalid_control_answer_is_unknown(nursery, invalid):
    replies = iter([invalid[1], lambda i: _http(_json(STATUS), call=i)])
    endpoint, _ = await _endpoint(nursery, lambda i: next(replies)(i))
    with pytest.raises(ResultUnknownError):
        await endpoint.status()
    assert (await endpoint.status()).name == "a"
