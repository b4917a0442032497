"""Contract tests of the endpoint port, including injected faults.

The tests only use an endpoint and its fault controls, so that they run against
any implementation that ``start`` provides.
"""

import pytest
import trio

from databases import ADD, COUNT, add, run, start, start_one, until
from lagoonstair._types import Position
from lagoonstair.endpoints import HttpEndpoint
from lagoonstair.ports import (
    Commit,
    EndpointRefusal,
    EndpointRefusedError,
    EndpointUnreachableError,
    Execute,
    ResultUnknownError,
    Role,
)

COMMIT = Commit(call_id=9, term=1, workspace="w", request_id="r")


def _execute(*statements, call_id: int = 5) -> Execute:
    return Execute(
        call_id=call_id, term=1, workspace="w", statements=statements
    )


async def _count(endpoint: HttpEndpoint) -> int:
    conn = await endpoint.connect()
    answer = await conn.run(run(COUNT, read_only=True))
    conn.close()
    return answer.results[0][0][0]


async def test_answer_carries_the_callers_id_and_the_position(nursery):
    _, endpoint = await start_one(nursery)
    conn = await endpoint.connect()
    answer = await conn.run(run(ADD, COUNT, call_id=77))
    assert (answer.call_id, answer.position) == (77, Position(1, 2))
    assert answer.results == ([], [[1]])


@pytest.mark.parametrize(
    ("fault", "effects"),
    [
        ("drop_before", 0),
        ("drop_after", 1),
        ("truncated", 1),
        ("crossed", 1),
    ],
)
async def test_missing_answer_is_unknown_and_ends_the_connection(
    nursery, fault, effects
):
    db, endpoint = await start_one(nursery)
    other = await endpoint.connect()
    await other.run(run(COUNT, read_only=True))
    conn = await endpoint.connect()
    await other.run(run(COUNT, read_only=True))
    db.faults.change({fault: 1})
    with pytest.raises(ResultUnknownError):
        await conn.run(run(ADD))
    arrived = db.arrived
    with pytest.raises(EndpointUnreachableError):
        await conn.run(run(add("b")))
    assert db.arrived == arrived
    assert await _count(endpoint) == effects


@pytest.mark.parametrize("fault", ["frozen", "hold_after", "cut"])
async def test_cancelled_call_ends_the_connection(nursery, fault):
    db, endpoint = await start_one(nursery)
    conn = await endpoint.connect()
    value = {"frozen": True, "hold_after": 1, "cut": ["test"]}[fault]
    arrived = db.arrived
    db.faults.change({fault: value})
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as calls:
            calls.start_soon(conn.run, run(ADD))
            await db.wait_arrived(arrived + 1)
            scope.cancel()
    with pytest.raises(EndpointUnreachableError):
        await conn.run(run(add("b")))
    db.faults.change({"frozen": False, "held": False, "cut": []})
    await db.wait_idle()
    assert await _count(endpoint) == 1


async def test_endpoint_that_does_not_listen_is_unreachable(nursery):
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as inner:
            _, endpoint = await start_one(inner)
            conn = await endpoint.connect()
            await endpoint.status()
            scope.cancel()
    for call in (endpoint.connect, endpoint.status):
        with pytest.raises(EndpointUnreachableError):
            await call()
    with pytest.raises(EndpointUnreachableError):
        await conn.run(run(ADD))


async def test_connections_are_limited_and_come_free(nursery):
    db, endpoint = await start_one(nursery, connections=2)
    conns = [await endpoint.connect() for _ in range(2)]
    with pytest.raises(EndpointRefusedError) as caught:
        await endpoint.connect()
    assert caught.value.refusal is EndpointRefusal.BUSY
    for conn in conns:
        conn.close()
    await db.wait_idle()
    await endpoint.connect()


@pytest.mark.parametrize(
    ("call", "refusal"),
    [
        (run(ADD, term=2), EndpointRefusal.STALE_TERM),
        (run(ADD, read_only=True), EndpointRefusal.STATEMENT_FAILED),
        (run(COUNT, request_id="r"), EndpointRefusal.REQUEST_ID_REUSED),
    ],
)
async def test_refusal_ran_nothing_and_keeps_the_connection(
    nursery, call, refusal
):
    _, endpoint = await start_one(nursery)
    conn = await endpoint.connect()
    await conn.run(run(add("b"), request_id="r", digest="d"))
    with pytest.raises(EndpointRefusedError) as caught:
        await conn.run(call)
    assert (caught.value.refusal, caught.value.term) == (refusal, 1)
    answer = await conn.run(run(COUNT, read_only=True))
    assert answer.results == ([[1]],)


async def test_transaction_belongs_to_its_connection(nursery):
    db, endpoint = await start_one(nursery, slots=2)
    mine, other = [await endpoint.connect() for _ in range(2)]
    await mine.execute(_execute(ADD))
    with pytest.raises(EndpointRefusedError) as caught:
        await other.commit(COMMIT)
    assert caught.value.refusal is EndpointRefusal.NO_TRANSACTION
    assert db.slots_used == 1
    await mine.rollback()
    assert db.slots_used == 0
    await mine.execute(_execute(add("b")))
    answer = await mine.commit(COMMIT)
    assert answer.position == Position(1, 2)
    assert (await other.commit(COMMIT)).duplicate


async def test_closing_rolls_back_and_frees_the_slot(nursery):
    db, endpoint = await start_one(nursery, slots=1)
    conn = await endpoint.connect()
    await conn.execute(_execute(ADD))
    conn.close()
    assert await _count(endpoint) == 0
    assert db.slots_used == 0


async def test_calls_wait_for_a_slot(nursery):
    db, endpoint = await start_one(nursery, slots=1)
    first, second = [await endpoint.connect() for _ in range(2)]
    await first.execute(_execute(ADD))
    order = []

    async def write() -> None:
        await second.run(run(add("b")))
        order.append("second")

    arrived = db.arrived
    nursery.start_soon(write)
    await db.wait_arrived(arrived + 1)
    await first.commit(COMMIT)
    order.append("first")
    await until(endpoint, lambda status: status.last.offset == 3)
    assert sorted(order) == ["first", "second"]
    entries = db.member.page(1).entries
    assert [entry.request_id for entry in entries] == ["r", None]


async def test_replicas_follow_with_the_lag_that_is_set(nursery):
    members, addresses = await start(nursery, 2)
    primary, replica = (
        HttpEndpoint(addresses[name], "test") for name in ("db1", "db2")
    )
    members["db2"].faults.change({"lag": -1})
    conn = await primary.connect()
    await conn.run(run(ADD))
    assert (await replica.status()).last == Position(1, 1)
    members["db2"].faults.change({"lag": 0})
    await until(replica, lambda status: status.last == Position(1, 2))
    assert await _count(replica) == 1
    conn = await replica.connect()
    with pytest.raises(EndpointRefusedError) as caught:
        await conn.run(run(add("b")))
    assert caught.value.refusal is EndpointRefusal.NOT_PRIMARY


async def test_cut_off_primary_returns_without_its_tail(nursery):
    members, addresses = await start(nursery, 3)
    old, new, third = (
        HttpEndpoint(addresses[name], "test") for name in members
    )
    members["db1"].faults.change({"cut": ["db2", "db3"]})
    client = await old.connect()
    await client.run(run(ADD))
    for member in (new, third):
        assert (await member.fence(2, "x")).granted
    assert (await new.promote(2, "x")).role is Role.PRIMARY
    await third.follow(2, "db2")
    writer = await new.connect()
    await writer.run(run(add("b"), term=2))
    await until(third, lambda status: status.last == Position(2, 3))
    await client.run(run(add("c")))
    await old.follow(2, "db2")
    with pytest.raises(EndpointRefusedError) as caught:
        await client.run(run(COUNT, read_only=True))
    assert caught.value.refusal is EndpointRefusal.STALE_TERM
    members["db1"].faults.change({"cut": []})
    await until(old, lambda status: status.primary == "db2")
    await until(old, lambda status: status.last == Position(2, 3))
    answer = await client.run(run(COUNT, term=2, read_only=True))
    assert answer.results == ([[1]],)
