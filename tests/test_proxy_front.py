"""Tests of caller sessions over a local connection with a fake executor."""

from contextlib import suppress

import msgspec
import pytest
import trio
import trio.testing

from lagoonstair.platform import operator
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._front import CallerServer
from lagoonstair.proxy._metrics import Metrics
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
