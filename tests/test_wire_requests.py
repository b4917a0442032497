"""HTTP servers that receive requests which two readers may read differently."""

import pytest
import trio
import trio.testing

from lagoonstair.wire import HttpResponse, HttpServer

HOST = "127.0.0.1"
HEAD = b"POST /a HTTP/1.1\r\nhost: a\r\n"
CHUNK = b"1\r\na\r\n0\r\n\r\n"


class Server:
    """A server that answers with the target, and what it has received."""

    def __init__(self):
        self.requests = []
        self.reasons = []

    async def handle(self, req):
        self.requests.append(req)
        return HttpResponse(status=200, body=req.target.encode())

    async def send(self, nursery, data):
        """Sends bytes and returns what the server sends until it closes."""
        server = HttpServer(self.handle, on_refused=self.reasons.append)
        port = await nursery.start(server.serve, HOST, 0)
        stream = await trio.open_tcp_stream(HOST, port)
        await stream.send_all(data)
        await stream.send_eof()
        received = b""
        with trio.fail_after(2):
            while chunk := await stream.receive_some():
                received += chunk
        return received


@pytest.fixture
def server():
    return Server()


# Guards against a request within a request: all readers on the way must agree
# where it ends and which values it has.
@pytest.mark.parametrize(
    ("sent", "reason"),
    [
        (HEAD + b"authorization: a\r\nauthorization: b\r\n\r\n", "repeated"),
        (HEAD + b"Host: b\r\n\r\n", "repeated"),
        (HEAD + b"content-type: a\r\ncontent-type: b\r\n\r\n", "repeated"),
        (b"POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNK, ""),
        (b"GET /\r\n\r\n", "version"),
        (b"GET / HTTP/1.2\r\nhost: a\r\n\r\n", ""),
        # What follows pins llhttp (httptools).
        (b"POST /a HTTP/1.1\nhost: a\n\n", ""),
        (HEAD + b"content-length: 1\n\r\na", ""),
        (HEAD + b"content-length: 1\r\n\na", ""),
        (HEAD + b"x: a\nauthorization: b\r\n\r\n", ""),
        (HEAD + b"x: a\rauthorization: b\r\n\r\n", ""),
        (HEAD + b"x: a\r\n b\r\n\r\n", ""),
        (HEAD + b"x: a\0b\r\n\r\n", ""),
        (HEAD + b"content-length : 1\r\n\r\na", ""),
        (HEAD + b"content-length: 1\r\ncontent-length: 1\r\n\r\na", ""),
        (HEAD + b"content-length: 1\r\ncontent-length: 2\r\n\r\nab", ""),
        (HEAD + b"content-length: 1, 1\r\n\r\na", ""),
        (HEAD + b"content-length: +1\r\n\r\na", ""),
        (
            HEAD
            + b"content-length: 9\r\ntransfer-encoding: chunked\r\n\r\n"
            + CHUNK,
            "",
        ),
        (
            HEAD
            + b"transfer-encoding: chunked\r\ncontent-length: 9\r\n\r\n"
            + CHUNK,
            "",
        ),
        (HEAD + b"transfer-encoding: xchunked\r\n\r\n" + CHUNK, ""),
        (HEAD + b"transfer-encoding: chunked\r\n\r\n1\na\n0\n\n", ""),
        (b"GET /\0 HTTP/1.1\r\nhost: a\r\n\r\n", ""),
        (b"GET /a b HTTP/1.1\r\nhost: a\r\n\r\n", ""),
        (HEAD + b"content-length: 1\r\n\r\na<beyond>", ""),
    ],
)
async def test_an_ambiguous_request_is_refused_and_ends_the_connection(
    nursery, server, sent, reason
):
    received = await server.send(nursery, sent)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1 ") == 1
    assert b"connection: close" in received
    assert not server.requests
    expected = {"repeated": "repeated_header", "": "malformed"}
    assert server.reasons == [expected.get(reason, reason)]


# Guards against a trailer that replaces a header, such as the caller's key.
async def test_a_trailer_is_no_header(nursery, server):
    sent = HEAD + (
        b"authorization: a\r\ntransfer-encoding: chunked\r\n\r\n"
        b"1\r\na\r\n0\r\nauthorization: b\r\nx-instance: c\r\n\r\n"
    )
    received = await server.send(nursery, sent)
    assert received.startswith(b"HTTP/1.1 200 ")
    (req,) = server.requests
    assert req.headers["authorization"] == "a"
    assert "x-instance" not in req.headers
    assert req.body == b"a"


async def test_the_values_of_a_repeated_header_form_a_list(nursery, server):
    sent = HEAD + b"x-instance: a\r\nX-Instance: b\r\n\r\n"
    assert b" 200 " in await server.send(nursery, sent)
    assert server.requests[0].headers["x-instance"] == "a, b"


async def test_pipelined_requests_are_answered_once_each_in_order(
    nursery, server
):
    gets = [b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % n for n in range(5)]
    received = await server.send(nursery, b"".join(gets))
    bodies = [part[-2:] for part in received.split(b"HTTP/1.1 200 OK")[1:]]
    assert bodies == [b"/0", b"/1", b"/2", b"/3", b"/4"]
    assert not server.reasons


# Guards against an interim response that seems to belong to the request before.
async def test_continue_follows_the_responses_to_earlier_requests(nursery):
    server = Server()
    port = await nursery.start(HttpServer(server.handle).serve, HOST, 0)
    stream = await trio.open_tcp_stream(HOST, port)
    await stream.send_all(
        b"GET /first HTTP/1.1\r\nhost: a\r\n\r\n"
        b"POST /second HTTP/1.1\r\nhost: a\r\n"
        b"expect: 100-continue\r\ncontent-length: 1\r\n\r\n"
    )
    received = b""
    with trio.fail_after(2):
        while b"100 Continue" not in received:
            received += await stream.receive_some()
        assert received.index(b"/first") < received.index(b"100 Continue")
        await stream.send_all(b"a")
        while not received.endswith(b"/second"):
            received += await stream.receive_some()
    assert received.count(b"100 Continue") == 1
