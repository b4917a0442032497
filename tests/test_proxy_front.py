"""A caller's session, between a socket pair, with a slow executor."""

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

SECONDS = 5


class _Executor:
    """Answers once its gate is open."""

    def __init__(self):
        self.began = trio.Event()
        self.gate = trio.Event()

    async def run(self, caller, route, run, request_id):
        self.began.set()
        await self.gate.wait()
        return Success(signature="s")


class _Quota:
    async def admit(self, workspace):
        """Admits everything."""


def _decoded(version, **changes):
    cfg = config(version=version)
    cfg["tenants"][0].update(changes)
    return operator.decode_config(msgspec.json.encode(cfg))


async def _read_all(stream):
    """All that comes; a session closed with a question unread is reset."""
    got = b""
    with suppress(trio.BrokenResourceError):
        while chunk := await stream.receive_some(1000):
            got += chunk
    return got


@pytest.mark.parametrize("keys", [["key-w1"], []])
async def test_a_key_withdrawn_during_a_statement_ends_the_session(keys):
    fleet = Fleet("i1", "a", Metrics())
    fleet.set_config(_decoded(1))
    executor = _Executor()
    front = CallerServer(fleet, executor, None, _Quota(), Metrics(), 1000, None)
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            theirs = await trio.open_tcp_stream(*listener.socket.getsockname())
            nursery.start_soon(front.serve_relayed, await listener.accept())
            await theirs.send_all(b"START p key-w1\r\nQUERY q1 READ a\r\n")
            await executor.began.wait()
            fleet.set_config(_decoded(2, api_keys=keys))
            executor.gate.set()
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert front.sessions == len(keys)
            if keys:
                await theirs.send_eof()
            assert b"COMPLETE s" in await _read_all(theirs)


def test_a_configuration_is_only_ever_replaced_by_a_newer_one():
    fleet = Fleet("i1", "a", Metrics())
    assert fleet.set_config(_decoded(5))
    for version in (4, 5):
        assert not fleet.set_config(_decoded(version, api_keys=[]))
        assert fleet.config.version == 5
        assert "key-w1" in fleet.config.keys
    assert fleet.set_config(_decoded(6))


async def test_a_key_that_moves_to_another_workspace_ends_the_session():
    fleet = Fleet("i1", "a", Metrics())
    fleet.set_config(_decoded(1))
    executor = _Executor()
    front = CallerServer(fleet, executor, None, _Quota(), Metrics(), 1000, None)
    cfg = config(version=2)
    cfg["tenants"][0]["api_keys"] = []
    cfg["tenants"][1]["api_keys"] = ["key-w1"]
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            theirs = await trio.open_tcp_stream(*listener.socket.getsockname())
            nursery.start_soon(front.serve_relayed, await listener.accept())
            await theirs.send_all(
                b"START p key-w1\r\nQUERY q1 READ a\r\nQUERY q2 READ a\r\n"
            )
            await executor.began.wait()
            fleet.set_config(operator.decode_config(msgspec.json.encode(cfg)))
            executor.gate.set()
            answer = await _read_all(theirs)
            assert answer.count(b"COMPLETE") == 1
            assert b"ERROR NOAUTH" in answer
