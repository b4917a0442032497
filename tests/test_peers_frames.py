"""Frames between instances that answer no call, or are too large."""

import msgspec
import pytest
import trio

from lagoonstair._types import Address
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.peers import (
    HandlerRegistry,
    PeerClient,
    PeerLostError,
    PeerNotSentError,
    PeerServer,
)
from lagoonstair.peers._messages import (
    Call,
    Challenge,
    Hello,
    Reply,
    Welcome,
    compute_mac,
)
from lagoonstair.wire import FrameReader, write_frame
from lagoonstair.wire._frames import LENGTH, MAX_FRAME_BYTES
from raw_servers import start_raw

SECRET = b"s" * 32


class Ask(msgspec.Struct, frozen=True):
    number: int
    padding: bytes = b""


def _reply(call_id, number):
    body = msgspec.Raw(msgspec.msgpack.encode(Ask(number)))
    return msgspec.msgpack.encode(Reply(call_id, body, None))


async def _start_peer(nursery, answer):
    """Starts a peer that sends what ``answer`` returns for each call."""

    async def script(stream):
        reader = FrameReader(stream)
        nonce = b"n" * 16
        await write_frame(stream, msgspec.msgpack.encode(Challenge(nonce)))
        hello = msgspec.msgpack.decode(await reader.read(), type=Hello)
        mac = compute_mac(SECRET, "server", "b", hello.nonce)
        await write_frame(stream, msgspec.msgpack.encode(Welcome("b", mac)))
        while (body := await reader.read()) is not None:
            call = msgspec.msgpack.decode(body, type=Call)
            if call.kind != Ask.__name__:
                # A ping shows that the client misses a reply.
                return
            ask = msgspec.msgpack.decode(call.body, type=Ask)
            await stream.send_all(answer(call.call_id, ask.number))

    return await start_raw(nursery, script)


def _frame(body):
    return LENGTH.pack(len(body)) + body


async def test_second_late_and_unknown_replies_reach_no_other_call(nursery):
    """Replies carry the id of their call, so their order means nothing."""

    def answer(call_id, number):
        strays = [(call_id - 1, -1), (call_id + 7, -2), (0, -3)]
        own = [(call_id, number), (call_id, -4)]
        return b"".join(_frame(_reply(*reply)) for reply in strays + own)

    client = PeerClient("a", SECRET, nursery)
    address = await _start_peer(nursery, answer)
    with trio.fail_after(2):
        for number in range(20):
            assert await client.call(address, Ask(number), Ask) == Ask(number)


@pytest.mark.parametrize(
    "sent",
    [
        _frame(_reply(1, 5))[:-1],
        _frame(b"\xc1"),
        _frame(_reply(1, 5)[:-1]),
        LENGTH.pack(MAX_FRAME_BYTES + 1),
    ],
)
async def test_a_frame_that_is_cut_or_too_long_ends_the_connection(
    nursery, sent
):
    calls = []

    def answer(call_id, number):
        calls.append(number)
        return sent if number == 5 else _frame(_reply(call_id, number))

    client = PeerClient("a", SECRET, nursery)
    address = await _start_peer(nursery, answer)
    with trio.fail_after(5):
        with pytest.raises(PeerLostError):
            await client.call(address, Ask(5), Ask)
        assert await client.call(address, Ask(6), Ask) == Ask(6)
    assert calls == [5, 6]


async def _start_server(nursery, handler):
    registry = HandlerRegistry()
    registry.register(Ask, handler)
    server = PeerServer("b", SECRET, registry)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    return Address("127.0.0.1", port)


# Guards against a call over the size limit that costs all calls of its
# connection their replies.
async def test_a_call_over_the_size_limit_costs_no_other_call(nursery):
    waiting, proceed = trio.Event(), trio.Event()

    async def handle(ask, ctx):
        waiting.set()
        await proceed.wait()
        return ask

    address = await _start_server(nursery, handle)
    client = PeerClient("a", SECRET, nursery)
    answers = []

    async def ask():
        answers.append(await client.call(address, Ask(1), Ask))

    with trio.fail_after(5):
        async with trio.open_nursery() as calls:
            calls.start_soon(ask)
            await waiting.wait()
            with pytest.raises(PeerNotSentError):
                await client.call(address, Ask(2, bytes(MAX_FRAME_BYTES)), Ask)
            proceed.set()
    assert answers == [Ask(1)]


async def test_a_reply_over_the_size_limit_costs_no_other_call(nursery):
    waiting, proceed = trio.Event(), trio.Event()

    async def handle(ask, ctx):
        if ask.number == 2:
            return Ask(2, bytes(MAX_FRAME_BYTES))
        waiting.set()
        await proceed.wait()
        return ask

    address = await _start_server(nursery, handle)
    client = PeerClient("a", SECRET, nursery)
    answers = []

    async def ask():
        answers.append(await client.call(address, Ask(1), Ask))

    with trio.fail_after(5):
        async with trio.open_nursery() as calls:
            calls.start_soon(ask)
            await waiting.wait()
            with pytest.raises(LagoonstairError):
                await client.call(address, Ask(2), Ask)
            proceed.set()
    assert answers == [Ask(1)]
