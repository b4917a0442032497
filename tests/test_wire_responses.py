"""Kept HTTP client connections whose server answers out of step.

A raw server sends what no HTTP server should; no response may be taken for the
response to another request.
"""

import pytest
import trio
import trio.testing

from lagoonstair.wire import ConnectionPool, HttpConnection, HttpError
from raw_servers import read_request, response, start_raw

OK = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"


class Servers:
    """Runs a raw server whose first answer is followed by other bytes."""

    def __init__(self, nursery):
        self._nursery = nursery
        self.sent = trio.Event()
        self.reasons = []

    async def pool(self, script):
        address = await start_raw(self._nursery, script)
        return ConnectionPool(
            address, size=1, on_unexpected=self.reasons.append
        )

    async def connection(self, script):
        address = await start_raw(self._nursery, script)
        return await HttpConnection.open(address, self.reasons.append)


@pytest.fixture
def servers(nursery):
    return Servers(nursery)


async def _call(pool, target="/"):
    with trio.fail_after(2):
        async with pool.acquire() as conn:
            return await conn.call("GET", target)


# Guards against an interim response taken for the final one, which the next
# call then took for its own.
@pytest.mark.parametrize("interim", [INTERIM, HINTS, INTERIM + HINTS])
async def test_an_interim_response_answers_no_request(servers, interim):
    async def script(stream):
        while req := await read_request(stream):
            await stream.send_all(interim)
            await trio.testing.wait_all_tasks_blocked(0.01)
            await stream.send_all(response(req.split()[1]))

    pool = await servers.pool(script)
    answers = [await _call(pool, target) for target in ("/a", "/b")]
    assert [answer.status for answer in answers] == [200, 200]
    assert [answer.body for answer in answers] == [b"/a", b"/b"]
    assert not servers.reasons


# Guards against a late copy of a response taken for the next call's.
@pytest.mark.parametrize("late", [response(b"/a"), INTERIM, b"H", b"\r\n"])
async def test_bytes_on_an_idle_connection_answer_no_request(servers, late):
    async def script(stream):
        while req := await read_request(stream):
            await stream.send_all(response(req.split()[1]))
            if req.startswith(b"GET /a"):
                await trio.testing.wait_all_tasks_blocked(0.01)
                await stream.send_all(late)
                servers.sent.set()

    pool = await servers.pool(script)
    assert (await _call(pool, "/a")).body == b"/a"
    await servers.sent.wait()
    assert (await _call(pool, "/b")).body == b"/b"
    assert servers.reasons == ["idle"]


async def test_a_connection_that_the_server_closed_is_replaced(servers):
    async def script(stream):
        req = await read_request(stream)
        await stream.send_all(response(req.split()[1]))
        await stream.aclose()
        servers.sent.set()

    pool = await servers.pool(script)
    assert (await _call(pool, "/a")).body == b"/a"
    await servers.sent.wait()
    assert (await _call(pool, "/b")).body == b"/b"
    assert not servers.reasons


# Guards against the first of two responses taken for the answer, although it
# may be the late copy of an earlier one.
async def test_two_responses_at_once_answer_no_request(servers):
    async def script(stream):
        await read_request(stream)
        await stream.send_all(response(b"/a") + response(b"/b"))
        await stream.receive_some()

    conn = await servers.connection(script)
    with pytest.raises(HttpError):
        await conn.call("POST", "/b")
    assert not conn.usable
    assert servers.reasons == ["second"]


# Guards against a response taken for the answer to a request that the server
# can't have read yet.
async def test_a_response_before_the_whole_request_is_unknown(servers):
    async def script(stream):
        await stream.receive_some(1)
        await stream.send_all(response(b"early"))
        while await stream.receive_some(2**20):
            pass

    conn = await servers.connection(script)
    with trio.fail_after(5), pytest.raises(HttpError):
        await conn.call("POST", "/", b"x" * 40_000_000)
    assert servers.reasons == ["early"]


# Pins the framing rules of llhttp (httptools), which the client relies on:
# where a message ends must be certain.
@pytest.mark.parametrize(
    "sent",
    [
        b"HTTP/1.1 200 OK\ncontent-length: 1\r\n\r\na",
        OK + b"content-length: 1\n\r\na",
        OK + b"x: a\nstore-era: 7\r\ncontent-length: 1\r\n\r\na",
        OK + b"x: a\rstore-era: 7\r\ncontent-length: 1\r\n\r\na",
        OK + b"x: a\r\n folded\r\ncontent-length: 1\r\n\r\na",
        OK + b"x: a\0b\r\ncontent-length: 1\r\n\r\na",
        OK + b"content-length : 1\r\n\r\na",
        OK + b"content-length: +1\r\n\r\na",
        OK + b"content-length: 1, 1\r\n\r\na",
        OK + b"content-length: 1\r\ncontent-length: 1\r\n\r\na",
        OK + b"content-length: 1\r\ncontent-length: 2\r\n\r\nab",
        OK + b"content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n"
        b"1\r\na\r\n0\r\n\r\n",
        OK + b"transfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n"
        b"1\r\na\r\n0\r\n\r\n",
        OK + b"transfer-encoding: chunked\r\n\r\n1\na\n0\n\n",
        OK + b"transfer-encoding: gzip\r\n\r\na",
        OK + b"x: no length\r\n\r\na",
        OK + b"content-length: 2\r\n\r\na",
        b"HTTP/1.1 204 No Content\r\ncontent-length: 1\r\n\r\na",
        b"HTTP/1.1 304 Not Modified\r\ncontent-length: 1\r\n\r\na",
        b"HTTP/1.1 101 Switching Protocols\r\n"
        b"upgrade: a\r\nconnection: upgrade\r\n\r\n",
        response(b"a") + b"b",
        response(b"a", b"connection: close") + response(b"b"),
    ],
)
async def test_a_response_without_a_certain_end_is_unknown(servers, sent):
    async def script(stream):
        await read_request(stream)
        await stream.send_all(sent)
        await stream.send_eof()
        await stream.receive_some()

    conn = await servers.connection(script)
    with trio.fail_after(2), pytest.raises(HttpError):
        await conn.call("GET", "/")
    assert not conn.usable
