"""Sessions of homes that can't reach a primary, with small fakes."""

import dataclasses
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio
import trio.testing

from lagoonstair.features import Features
from lagoonstair.platform import operator
from lagoonstair.proxy._front import CallerServer
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._relay import (
    OPEN_TIMEOUT_SECONDS,
    HomeLostError,
    RelayedSession,
)
from lagoonstair.proxy._relays import HomeRouter
from lagoonstair.reachability import OUT_OF_REACH_MESSAGE
from lagoonstair.regions import RegionMap
from lagoonstair.routing import Consistency
from lagoonstair.statements import Failure
from proxy_fleet import ROUTE, config, one_endpoint
from test_proxy_relay import GREETING, _Fleet, _Session

TIMEOUT_SECONDS = 5
"""Time limit of a test, in seconds."""

REFUSED = f"ERROR BUSY {OUT_OF_REACH_MESSAGE}\r\n".encode()
SHEDDING = Features(regions=RegionMap({"a": "r1", "b": "r2"}))


@asynccontextmanager
async def _home(features=SHEDDING):
    """Provides a home's server, its fleet and a function that connects."""
    async with one_endpoint() as (fleet, _), trio.open_nursery() as nursery:
        fleet.features = features
        document = msgspec.json.encode(config())
        fleet.set_config(operator.decode_config(document))
        server = CallerServer(fleet, None, None, None, Metrics(), 1000, None)
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")

        async def connect(serve, database):
            address = listener.socket.getsockname()
            client = await trio.open_tcp_stream(*address)
            nursery.start_soon(serve, await listener.accept())
            await client.send_all(f"START {database} key-w1\r\n".encode())
            return client, await client.receive_some(1000)

        with trio.fail_after(TIMEOUT_SECONDS):
            yield server, fleet, connect
        nursery.cancel_scope.cancel()


# Guards against: a home that holds callers until their deadline, and sessions
# that stay there although others reach the primary.
async def test_a_home_without_its_primary_turns_its_sessions_away():
    async with _home() as (server, fleet, connect):
        serve = server.serve_relayed
        clients = [(await connect(serve, d))[0] for d in ("p", "s", "b")]
        busy, _ = await connect(serve, "p")
        await busy.send_all(b"QUERY q1 ")
        await trio.testing.wait_all_tasks_blocked(0.01)
        fleet.pools["d1"].unreachable_since = trio.current_time() - 0.6
        for database in ("p", "s"):
            assert (await connect(serve, database))[1] == REFUSED
            unmoved, greeting = await connect(server.serve_unmoved, database)
            assert greeting == GREETING
            clients.append(unmoved)
        bounded, greeting = await connect(serve, "b")
        assert greeting == GREETING
        for _ in range(10):
            server.primary_reach.check()
            server.primary_reach._close_part()
        assert await clients[0].receive_some(10) == b""
        assert await clients[1].receive_some(10) == b""
        # Those of the bounded route, a begun statement, and the unmoved ones.
        await trio.testing.wait_all_tasks_blocked(0.01)
        assert server.sessions == len([clients[2], busy, *clients[3:], bounded])


# Guards against: sessions that are closed although they can be served again.
async def test_sessions_stay_once_the_primary_is_in_reach_again():
    async with _home() as (server, fleet, connect):
        clients = [
            (await connect(server.serve_relayed, "p"))[0] for _ in range(2)
        ]
        pool = fleet.pools["d1"]
        pool.unreachable_since = trio.current_time() - 0.6
        server.primary_reach.check()
        pool.record_reachable()
        for _ in range(10):
            server.primary_reach._close_part()
        await trio.testing.wait_all_tasks_blocked(0.01)
        assert server.sessions == len(clients)


async def test_without_shedding_a_home_turns_nobody_away():
    async with _home(Features()) as (server, fleet, connect):
        fleet.pools["d1"].unreachable_since = trio.current_time() - 0.6
        greeting = (await connect(server.serve_relayed, "p"))[1]
        assert greeting == GREETING
        assert server.primary_reach is None


class _Address:
    def __init__(self, host, port):
        self.host, self.port = host, port


def _router(monkeypatch, refusing, silent=()):
    """Returns a router with homes of which some refuse, and who was asked."""
    asked = []

    async def open_session(caller, address, start):
        asked.append((address.host, address.port))
        if address.host in silent:
            await trio.sleep(OPEN_TIMEOUT_SECONDS)
            raise HomeLostError("timed out")
        refuses = address.host in refusing and address.port == 1
        return _Session(address.host, REFUSED if refuses else GREETING)

    monkeypatch.setattr(RelayedSession, "open", open_session)
    fleet = _Fleet(["h1", "h2"])
    fleet.homes.names = frozenset({"h1", "h2", "h3"})
    fleet.primacy = type("_Primacy", (), {"records": {}})
    fleet.estimate_recovery = lambda group: 0.7
    router = HomeRouter(fleet, Metrics(), lambda n: _Address(n, 1), None)
    return router, asked


async def _start(router, consistency):
    route = dataclasses.replace(ROUTE, consistency=consistency)
    return await router.open_session("w", None, b"", lambda: True, route)


# Guards against: a caller that is refused by the first candidate although a
# home behind the candidates would run its session.
@pytest.mark.parametrize(
    "consistency", [Consistency.PRIMARY, Consistency.SESSION]
)
async def test_the_next_home_runs_a_session_that_one_refused(
    monkeypatch, autojump_clock, consistency
):
    router, asked = _router(monkeypatch, {"h1", "h2"})
    for _ in range(2):
        name, session = await _start(router, consistency)
        assert name == session.home == "h3"
    # The homes that refused are skipped for a second.
    assert [host for host, _ in asked] == ["h1", "h2", "h3", "h3"]
    await trio.sleep(1.1)
    await _start(router, consistency)
    assert len(asked) == 7


# Guards against: a search of 1.2 s for a session that no home can run, and
# reads that are refused although a replica serves them.
async def test_without_any_primary_in_reach_only_reads_go_on(
    monkeypatch, autojump_clock
):
    router, asked = _router(monkeypatch, {"h1", "h2", "h3"})
    started_at = trio.current_time()
    failure = await _start(router, Consistency.PRIMARY)
    assert isinstance(failure, Failure)
    assert failure.message.endswith("retry_after_ms=700")
    name, session = await _start(router, Consistency.SESSION)
    assert name == session.home == "h1"
    assert asked[-1] == ("h1", 2)
    assert trio.current_time() == started_at


# Guards against: a search of 1.2 s, and 0.4 s for a home known to be lost, if
# the only homes that don't refuse a session can't be reached.
@pytest.mark.parametrize(
    ("consistency", "silent"),
    [
        (Consistency.PRIMARY, {"h3"}),
        (Consistency.SESSION, {"h3"}),
        (Consistency.PRIMARY, {"h2", "h3"}),
    ],
)
async def test_lost_homes_do_not_hold_a_session_that_others_refuse(
    monkeypatch, autojump_clock, consistency, silent
):
    router, _ = _router(monkeypatch, {"h1", "h2"}, silent)
    await _start(router, consistency)
    started_at = trio.current_time()
    found = await _start(router, consistency)
    if consistency is Consistency.PRIMARY:
        assert isinstance(found, Failure)
    else:
        assert found[0] == "h1"
    assert trio.current_time() == started_at
