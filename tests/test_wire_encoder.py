"""Encoding of HTTP messages from fields of any characters."""

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from lagoonstair.wire import HttpConnection, HttpResponse, HttpServer
from lagoonstair.wire._http_encoder import encode_request, encode_response
from lagoonstair.wire._http_parser import RequestParser, ResponseParser
from raw_servers import read_request, response, start_raw

FIELDS = st.text(alphabet=st.characters(max_codepoint=0x200), max_size=8)


# Guards against a field that ends its line and becomes a header or a message.
@pytest.mark.parametrize(
    ("method", "target", "header"),
    [
        ("GET\r\n", "/", ("a", "b")),
        ("GET /x HTTP/1.1\r\na:", "/", ("a", "b")),
        ("HEAD", "/", ("a", "b")),
        ("GET", "/ HTTP/1.1", ("a", "b")),
        ("GET", "/\r\nx: y", ("a", "b")),
        ("GET", "/\n", ("a", "b")),
        ("GET", "/\0", ("a", "b")),
        ("GET", "", ("a", "b")),
        ("GET", "/é", ("a", "b")),
        ("GET", "/", ("a: b\r\nc", "d")),
        ("GET", "/", ("a b", "d")),
        ("GET", "/", ("", "d")),
        ("GET", "/", ("a", "b\r\nc: d")),
        ("GET", "/", ("a", "b\nc: d")),
        ("GET", "/", ("a", "b\rc: d")),
        ("GET", "/", ("a", "b\0c")),
        ("GET", "/", ("a", "b\x7f")),
        ("GET", "/", ("a", "\u0100")),
    ],
)
async def test_a_field_that_would_end_its_line_is_refused(
    nursery, method, target, header
):
    async def script(stream):
        while await read_request(stream):
            await stream.send_all(response(b""))

    conn = await HttpConnection.open(await start_raw(nursery, script))
    with trio.fail_after(2), pytest.raises(ValueError, match="invalid"):
        await conn.call(method, target, headers=[header])
    # Nothing was sent, so the connection is still in step.
    assert conn.usable


@given(FIELDS, FIELDS, FIELDS, FIELDS)
def test_what_is_encoded_is_read_as_one_message(target, name, value, body):
    data = body.encode()
    headers = [("host", "h"), (f"x-{name}", value)]
    expected = value.strip(" \t")
    try:
        req = encode_request("POST", f"/{target}", headers, data)
        resp = encode_response(200, headers, data)
    except ValueError:
        return
    requests = RequestParser(header_bytes=9999, body_bytes=9999)
    requests.feed(req)
    parsed = requests.next_request()
    assert parsed is not None
    assert (parsed.target, parsed.body) == (f"/{target}", data)
    assert parsed.headers[f"x-{name}".lower()] == expected
    assert len(parsed.headers) == 3
    responses = ResponseParser()
    responses.feed(resp)
    answer = responses.next_response()
    assert answer is not None
    assert (answer.headers[f"x-{name}".lower()], answer.body) == (
        expected,
        data,
    )
    assert len(answer.headers) == 3
    assert requests.next_request() is None
    assert responses.idle


# Guards against a handler's field that becomes a header or a response.
@pytest.mark.parametrize(
    "resp",
    [
        HttpResponse(status=200, body=b"", headers=(("a", "b\r\nc: d"),)),
        HttpResponse(status=200, body=b"", headers=(("a\n", "b"),)),
        HttpResponse(status=200, body=b"", content_type="a\r\nb: c"),
        HttpResponse(status=200, body=b"", headers=(("a", "\u0100"),)),
        HttpResponse(status=204, body=b"a"),
        HttpResponse(status=100, body=b""),
        HttpResponse(status=299, body=b""),
    ],
)
async def test_an_invalid_response_becomes_an_internal_error(nursery, resp):
    async def handle(req):
        return resp

    port = await nursery.start(HttpServer(handle).serve, "127.0.0.1", 0)
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n" * 2)
    received = b""
    with trio.fail_after(2):
        while received.count(b'"internal"') < 2:
            received += await stream.receive_some()
    assert received.count(b"HTTP/1.1 ") == 2
    assert received.count(b"HTTP/1.1 500 ") == 2
    assert b"\r\nc: d" not in received


# Guards against a body after the response to HEAD, which its client would take
# for the next response.
async def test_a_response_to_head_has_no_body(nursery):
    async def handle(req):
        return HttpResponse(status=200, body=req.target.encode())

    port = await nursery.start(HttpServer(handle).serve, "127.0.0.1", 0)
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(
        b"HEAD /first HTTP/1.1\r\nhost: a\r\n\r\n"
        b"GET /second HTTP/1.1\r\nhost: a\r\n\r\n"
    )
    received = b""
    with trio.fail_after(2):
        while not received.endswith(b"/second"):
            received += await stream.receive_some()
    assert received.count(b"HTTP/1.1 200 OK") == 2
    assert b"content-length: 6\r\n" in received
    assert b"/first" not in received


async def test_a_response_without_content_announces_no_body(nursery):
    async def handle(req):
        return HttpResponse(status=204, body=b"")

    port = await nursery.start(HttpServer(handle).serve, "127.0.0.1", 0)
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    with trio.fail_after(2):
        received = await stream.receive_some()
    assert received.startswith(b"HTTP/1.1 204 No Content\r\n")
    assert received.endswith(b"\r\n\r\n")
    assert b"content-length" not in received
