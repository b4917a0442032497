"""Odd bytes from endpoints, peers and settings end what they belong to.

That is a connection, a call or the attempt to read the settings, and never the
process.
"""

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from lagoonstair._types import Address
from lagoonstair.peers import HandlerRegistry as Handlers
from lagoonstair.peers import (
    PeerClient,
    PeerLostError,
    PeerNotSentError,
    PeerServer,
)
from lagoonstair.peers._messages import Call, Ping
from lagoonstair.platform import lines
from lagoonstair.platform.store import StoredRow
from lagoonstair.proxy._link import Link, LinkError
from lagoonstair.proxy._registry import Registry
from lagoonstair.proxy._settings import SettingsError, parse_settings
from lagoonstair.routing import Endpoint

HOST = "127.0.0.1"
DEPTH = 10_000
HUGE = "9" * 9000
"""More digits than Python converts."""

LARGE = "9" * 30
"""A number that does not fit into a message between instances."""

SETTINGS = {
    "instance": "i1",
    "failure_domain": "a",
    "host": HOST,
    "listen": {"entry": "127.0.0.1:8000", "ready": "127.0.0.1:8001"},
    "peer_ports": [7000, 7005],
    "store": "127.0.0.1:9000",
    "duties": "127.0.0.1:9001",
}


@pytest.mark.parametrize("number", [HUGE, LARGE, "٣", "-1", "1e3", ""])
def test_a_position_with_an_odd_number_is_a_bad_line(number):
    for text in (f"{number}.1", f"1.{number}"):
        with pytest.raises(lines.BadLineError):
            lines.parse_position(text)
    row = f"ROW primary {number} 3.1 0 1 2 3".encode()
    with pytest.raises(lines.BadLineError):
        lines.parse_status((row,))


LINE = st.sampled_from(
    ["READY I ", "READY ", "ROW ", "COMPLETE ", "ERROR ", "ERROR BUSY ", ""]
)
TAIL = st.text(max_size=20) | st.sampled_from(
    [f"{HUGE}.1", f"3.{LARGE}", "3.4", "-", "I 3.٣"]
)


@given(st.lists(st.tuples(LINE, TAIL), max_size=6))
def test_arbitrary_replies_raise_nothing_but_bad_lines(parts):
    text = "".join(f"{line}{tail}\r\n" for line, tail in parts)
    reader = lines.ReplyReader()
    reader.feed(text.encode("utf-8", "surrogatepass"))
    try:
        while (reply := reader.next_reply()) is not None:
            if reply.position is not None:
                msgspec.msgpack.encode(reply.position)
    except lines.BadLineError:
        return


@pytest.mark.parametrize("answer", [f"READY I 3.{HUGE}", f"READY I 3.{LARGE}"])
async def test_an_odd_greeting_ends_the_connection_only(answer):
    """The task that opens connections runs beside all others."""

    async def serve(stream):
        await stream.receive_some(1000)
        await stream.send_all(answer.encode() + b"\r\n")

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(_serve_tcp, serve)
        port = listeners[0].socket.getsockname()[1]
        with pytest.raises(LinkError):
            await Link.open(_endpoint(port), "w1")
        nursery.cancel_scope.cancel()


async def test_a_workspace_that_no_line_can_hold_is_not_sent():
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(_serve_tcp, trio.aclose_forcefully)
        port = listeners[0].socket.getsockname()[1]
        for workspace in ("Žľab", "a\r\nQUERY - RESET"):
            with pytest.raises(LinkError):
                await Link.open(_endpoint(port), workspace)
        nursery.cancel_scope.cancel()


async def _serve_tcp(handler, *, task_status):
    await trio.serve_tcp(handler, 0, host=HOST, task_status=task_status)


def _endpoint(port):
    return Endpoint(
        name="d1",
        group="g",
        address=Address(HOST, port),
        failure_domain="a",
        slots=1,
        leaving=False,
        says_primary=True,
        started=1,
    )


NESTED = b"\x91" * DEPTH + b"\xc0"
"""Nested lists in MessagePack."""


class _Odd(msgspec.Struct, frozen=True):
    """A call whose handler answers something else than is expected."""


async def test_odd_frames_of_a_peer_end_the_call_only():
    handlers = Handlers()

    async def answer_odd(message, ctx):
        return msgspec.Raw(NESTED)

    handlers.register(_Odd, answer_odd)
    server = PeerServer("i2", b"secret", handlers)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, HOST, 0)
        client = PeerClient("i1", b"secret", nursery)
        address = Address(HOST, port)
        with pytest.raises(PeerLostError):
            await client.call(address, _Odd(), type(None))
        assert await client.call(address, Ping(), type(None)) is None
        conn = await client._connect(address)
        # A call whose body, and a frame that as a whole, is nested too deeply.
        body = msgspec.Raw(NESTED)
        frame = msgspec.msgpack.encode(Call(9, "Ping", body))
        conn._send_queue.put(frame)
        conn._send_queue.put(NESTED)
        await trio.sleep(0.2)
        assert await client.call(address, Ping(), type(None)) is None
        nursery.cancel_scope.cancel()


async def test_an_address_that_no_socket_takes_is_not_reached():
    async with trio.open_nursery() as nursery:
        client = PeerClient("i1", b"secret", nursery)
        for address in (Address(HOST, 10**30), Address("a" * 300, 80)):
            with pytest.raises(PeerNotSentError):
                await client.call(address, Ping(), type(None))
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("key", ["member/i9", "group/g", "duty", "founding"])
@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"[" * DEPTH, b"{}", b'{"epoch":' + b"9" * 9000]
)
async def test_an_odd_row_of_the_registry_changes_nothing(key, value):
    registry = Registry(None)
    registry.apply(StoredRow(key, value, 7))
    assert (registry.members, registry.groups) == ({}, {})
    assert (registry.duty, registry.founding) == (None, None)
    # A condition on the row still names its version.
    assert registry.unchanged_condition(key).version == 7


@pytest.mark.parametrize(
    "change",
    [
        {"store": "nowhere"},
        {"store": "127.0.0.1:65536"},
        {"duties": "127.0.0.1:" + HUGE},
        {"listen": {"entry": "127.0.0.1:0", "ready": "127.0.0.1:1"}},
        {"config_ms": 0},
        {"peer_ports": [7000, 65536]},
    ],
)
def test_settings_with_an_odd_value_are_refused(change):
    parse_settings(msgspec.json.encode(SETTINGS))
    with pytest.raises(SettingsError):
        parse_settings(msgspec.json.encode({**SETTINGS, **change}))


def test_settings_that_are_nested_too_deeply_are_refused():
    more = b'{"more":' + b"[" * DEPTH + b"]" * DEPTH + b","
    text = msgspec.json.encode(SETTINGS).replace(b"{", more, 1)
    with pytest.raises(SettingsError):
        parse_settings(text)
