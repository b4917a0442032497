"""Checks calls between instances: authentication, errors, lost connections."""

import msgspec
import pytest
import trio

from faulty_link import FaultyLink
from lagoonstair._types import Address
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.peers import (
    HandlerRegistry,
    PeerClient,
    PeerLostError,
    PeerNotSentError,
    PeerServer,
)
from lagoonstair.peers._messages import Ping

SECRET = b"s" * 32


class Ask(msgspec.Struct, frozen=True):
    number: int


class Answer(msgspec.Struct, frozen=True):
    number: int


async def _start(nursery, handler, *, secret=SECRET, on_ping=None):
    registry = HandlerRegistry()
    registry.register(Ask, handler)
    if on_ping is not None:
        registry.register(Ping, on_ping)
    server = PeerServer("b", secret, registry)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    return server, Address("127.0.0.1", port)


async def test_crossed_replies_reach_their_own_calls(nursery):
    gates = {n: trio.Event() for n in range(3)}

    async def answer(message, ctx):
        await gates[message.number].wait()
        gates.get(message.number - 1, trio.Event()).set()
        return Answer(message.number * 10)

    _, address = await _start(nursery, answer)
    client = PeerClient("a", SECRET, nursery)
    got = {}

    async def ask(number):
        got[number] = await client.call(address, Ask(number), Answer)

    async with trio.open_nursery() as calls:
        for number in range(3):
            calls.start_soon(ask, number)
        gates[2].set()
    assert got == {n: Answer(n * 10) for n in range(3)}


async def test_error_kind_travels(nursery):
    async def answer(message, ctx):
        raise LagoonstairError(ErrorKind.RATE_LIMITED, "no", retry_after=2)

    _, address = await _start(nursery, answer)
    client = PeerClient("a", SECRET, nursery)
    with pytest.raises(LagoonstairError) as caught:
        await client.call(address, Ask(1), Answer)
    assert caught.value.kind is ErrorKind.RATE_LIMITED
    assert caught.value.retry_after == 2


async def test_unknown_peer_is_refused_and_counted(nursery):
    async def answer(message, ctx):
        return Answer(1)

    server, address = await _start(nursery, answer)
    client = PeerClient("a", b"wrong", nursery)
    with pytest.raises(PeerNotSentError):
        await client.call(address, Ask(1), Answer)
    assert server.refused_connections == 1


async def test_server_that_dies_after_the_call_means_lost():
    received = trio.Event()

    async def answer(message, ctx):
        received.set()
        await trio.sleep_forever()

    async with trio.open_nursery() as outer, trio.open_nursery() as inner:
        _, address = await _start(inner, answer)
        client = PeerClient("a", SECRET, outer)

        async def kill():
            await received.wait()
            inner.cancel_scope.cancel()

        outer.start_soon(kill)

        async def ask():
            with pytest.raises(PeerLostError):
                await client.call(address, Ask(1), Answer)
            outer.cancel_scope.cancel()

        outer.start_soon(ask)


async def test_nobody_listening_means_not_sent(nursery):
    client = PeerClient("a", SECRET, nursery)
    with pytest.raises(PeerNotSentError):
        await client.call(Address("127.0.0.1", 1), Ask(1), Answer)


async def test_silent_peer_is_given_up_while_a_call_waits(nursery):
    address = await _start_silent(nursery)
    client = PeerClient("a", SECRET, nursery)
    with pytest.raises(PeerLostError):
        await client.call(address, Ask(1), Answer)


async def test_rare_calls_find_out_that_their_connection_went_silent(nursery):
    """A caller that gives up early, and asks seldom, must reach the peer again.

    An instance asks most of its peers only now and then, for 0.4 s each time.
    """

    async def answer(message, ctx):
        return Answer(message.number)

    _, address = await _start(nursery, answer)
    link = FaultyLink(address.port)
    await nursery.start(link.serve)
    client = PeerClient("a", SECRET, nursery)
    target = Address("127.0.0.1", link.port)
    assert await client.call(target, Ask(0), Answer) == Answer(0)
    link.silence_open()
    for number in range(1, 4):
        with trio.move_on_after(0.4):
            reply = await client.call(target, Ask(number), Answer)
            assert reply == Answer(number)
            break
        await trio.sleep(1.2)
    else:
        pytest.fail("the connection is not given up")


async def test_only_calls_that_wait_long_bring_a_ping(nursery):
    pinged = trio.Event()

    async def note_ping(message, ctx):
        pinged.set()

    async def answer(message, ctx):
        if message.number < 0:
            await pinged.wait()
        return Answer(message.number)

    _, address = await _start(nursery, answer, on_ping=note_ping)
    client = PeerClient("a", SECRET, nursery)
    for number in range(20):
        await client.call(address, Ask(number), Answer)
    assert not pinged.is_set()
    assert await client.call(address, Ask(-1), Answer) == Answer(-1)


async def test_slow_answer_of_a_live_peer_is_awaited(nursery):
    answered_pings = trio.Event()

    async def answer(message, ctx):
        await answered_pings.wait()
        return Answer(1)

    _, address = await _start(nursery, answer)
    client = PeerClient("a", SECRET, nursery)
    done = []

    async def ask():
        done.append(await client.call(address, Ask(1), Answer))

    async with trio.open_nursery() as calls:
        calls.start_soon(ask)
        await client.call(address, Ping(), type(None))
        answered_pings.set()
    assert done == [Answer(1)]


async def _start_silent(nursery):
    """Starts a peer that authenticates and then replies to no call."""
    registry = HandlerRegistry()

    async def answer(message, ctx):
        await trio.sleep_forever()

    registry.register(Ask, answer)
    registry.register(Ping, answer)
    server = PeerServer("b", SECRET, registry)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    return Address("127.0.0.1", port)
