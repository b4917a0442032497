"""Tests of caller sessions over a local connection with a fake executor."""

from contextlib import asynccontextmanager, suppress

import msgspec
import pytest
import trio
import trio.testing

from lagoonstair.platform import operator
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._front import CallerServer
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._relay import RelayedSession
from lagoonstair.statements import Success
from proxy_fleet import config

TIMEOUT_SECONDS = 5
"""Time limit of a test, in seconds."""


class _Executor:
    """Answers statements once its gate event is set."""

    def __init__(self):
        self.began = trio.Event()
        self.gate = trio.Event()

    async def run(self, caller, route, run, request_id):
        self.began.set()
        await self.gate.wait()
        return Success(signature="s")


class _Quota:
    async def admit(self, workspace):
        """Admits every operation."""


def _decoded_config(version, **changes):
    document = config(version=version)
    document["tenants"][0].update(changes)
    return operator.decode_config(msgspec.json.encode(document))


async def _read_all(stream):
    """Returns all data until the connection ends.

    A session that is closed before it has read all statements is reset.
    """
    received = b""
    with suppress(trio.BrokenResourceError):
        while chunk := await stream.receive_some(1000):
            received += chunk
    return received


@pytest.mark.parametrize("keys", [["key-w1"], []])
async def test_a_key_withdrawn_during_a_statement_ends_the_session(keys):
    fleet = Fleet("i1", "a", Metrics())
    fleet.set_config(_decoded_config(1))
    executor = _Executor()
    server = CallerServer(
        fleet, executor, None, _Quota(), Metrics(), 1000, None
    )
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            client = await trio.open_tcp_stream(*listener.socket.getsockname())
            nursery.start_soon(server.serve_relayed, await listener.accept())
            await client.send_all(b"START p key-w1\r\nQUERY q1 READ a\r\n")
            await executor.began.wait()
            fleet.set_config(_decoded_config(2, api_keys=keys))
            executor.gate.set()
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert server.sessions == len(keys)
            if keys:
                await client.send_eof()
            assert b"COMPLETE s" in await _read_all(client)


def test_a_configuration_is_only_ever_replaced_by_a_newer_one():
    fleet = Fleet("i1", "a", Metrics())
    assert fleet.set_config(_decoded_config(5))
    for version in (4, 5):
        assert not fleet.set_config(_decoded_config(version, api_keys=[]))
        assert fleet.config.version == 5
        assert "key-w1" in fleet.config.keys
    assert fleet.set_config(_decoded_config(6))


async def test_a_key_that_moves_to_another_workspace_ends_the_session():
    fleet = Fleet("i1", "a", Metrics())
    fleet.set_config(_decoded_config(1))
    executor = _Executor()
    server = CallerServer(
        fleet, executor, None, _Quota(), Metrics(), 1000, None
    )
    document = config(version=2)
    document["tenants"][0]["api_keys"] = []
    document["tenants"][1]["api_keys"] = ["key-w1"]
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            client = await trio.open_tcp_stream(*listener.socket.getsockname())
            nursery.start_soon(server.serve_relayed, await listener.accept())
            await client.send_all(
                b"START p key-w1\r\nQUERY q1 READ a\r\nQUERY q2 READ a\r\n"
            )
            await executor.began.wait()
            fleet.set_config(
                operator.decode_config(msgspec.json.encode(document))
            )
            executor.gate.set()
            answer = await _read_all(client)
            assert answer.count(b"COMPLETE") == 1
            assert b"ERROR NOAUTH" in answer


class _Router:
    """Relays each session to the end of a socket pair, as its home."""

    def __init__(self):
        self.home = None

    def candidates(self, workspace, allowed=None):
        return ()

    async def open_session(self, workspace, caller, *_):
        ours, theirs = trio.socket.socketpair()
        self.home = trio.SocketStream(theirs)
        stream = trio.SocketStream(ours)
        return "i2", RelayedSession(caller, stream, b"READY I -\r\n")

    async def relay(self, session, name, database, early_data):
        return await session.run(early_data)


class _Ends:
    """A caller, an entry instance, and a home cut off from the store."""

    def __init__(self, fleet, router, client, server):
        self.fleet = fleet
        self.router = router
        self.client = client
        self.server = server

    async def begin(self):
        await self.ask(b"QUERY q1 BEGIN\r\n", b"COMPLETE -\r\nREADY T -\r\n")

    async def ask(self, text, answer):
        await self.client.send_all(text)
        assert await self.router.home.receive_some(100) == text
        await self.router.home.send_all(answer)
        assert await self.receive(len(answer)) == answer

    async def receive(self, size):
        received = b""
        while len(received) < size:
            received += await self.client.receive_some(size - len(received))
        return received

    def withdraw(self, version=2, keys=()):
        self.fleet.set_config(_decoded_config(version, api_keys=[*keys]))


@asynccontextmanager
async def _relayed_session():
    fleet, router = Fleet("i1", "a", Metrics()), _Router()
    fleet.set_config(_decoded_config(1))
    server = CallerServer(fleet, None, None, _Quota(), Metrics(), 1000, router)
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            client = await trio.open_tcp_stream(*listener.socket.getsockname())
            nursery.start_soon(server.serve, await listener.accept())
            await client.send_all(b"START p key-w1\r\n")
            ends = _Ends(fleet, router, client, server)
            await ends.receive(len(b"READY I -\r\n"))
            yield ends
            client.socket.close()


async def test_a_home_without_the_configuration_gets_no_more():
    """A home cut off from the configuration went on with the transaction."""
    async with _relayed_session() as ends:
        await ends.begin()
        ends.withdraw()
        assert await ends.router.home.receive_some(100) == b""
        await ends.client.send_all(b"QUERY q2 READ a\r\nQUERY q3 COMMIT\r\n")
        answers = await _read_all(ends.client)
        assert answers.count(b"ERROR NOAUTH") == 2
        assert answers.endswith(b"READY I -\r\n")


async def test_an_answer_that_the_home_owes_is_relayed_first():
    """A commit that was sent before the key was withdrawn may have run."""
    async with _relayed_session() as ends:
        await ends.begin()
        await ends.client.send_all(b"QUERY q2 COMMIT\r\n")
        await ends.router.home.receive_some(100)
        ends.withdraw()
        await ends.router.home.send_all(b"COMPLETE s\r\nREADY I 1.1\r\n")
        assert await _read_all(ends.client) == b"COMPLETE s\r\nREADY I 1.1\r\n"


async def test_a_session_taken_back_ends_although_its_key_returns():
    """Its values are lost with its home, so no statement of it may run."""
    async with _relayed_session() as ends:
        await ends.begin()
        ends.withdraw()
        assert await ends.router.home.receive_some(100) == b""
        ends.withdraw(3, ["key-w1"])
        await ends.client.send_all(b"QUERY q2 READ a\r\nQUERY q3 COMMIT\r\n")
        answers = await _read_all(ends.client)
        assert answers.count(b"ERROR ABORTED") == 2
