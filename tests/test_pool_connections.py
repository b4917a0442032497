"""Tests of the connection pool, on simulated databases and virtual time."""

import pytest
import trio

from databases import ADD, COUNT, MemoryEndpoint, add, run, start_one
from lagoonstair.pool import (
    ConnectionPool,
    LeaseEndedError,
    PoolLimits,
    PoolStatus,
)
from lagoonstair.ports import (
    EndpointRefusedError,
    EndpointUnreachableError,
    Execute,
    ResultUnknownError,
)

READ = run(COUNT, read_only=True)
EXECUTE = Execute(call_id=1, term=1, workspace="w", statements=(ADD,))


async def _pool(nursery, endpoint, **limits) -> ConnectionPool:
    settings = {"connections": 2, "min_idle": 0} | limits
    pool = ConnectionPool(endpoint, PoolLimits(**settings))
    await nursery.start(pool.run)
    return pool


async def _use(pool: ConnectionPool, call=READ) -> int:
    async with pool.connection() as conn:
        await conn.run(call)
        return conn.conn_id


async def test_connection_is_reused_after_answers_and_refusals(nursery):
    _, endpoint = await start_one(nursery)
    pool = await _pool(nursery, endpoint)
    first = await _use(pool)
    with pytest.raises(EndpointRefusedError):
        await _use(pool, run(ADD, term=9))
    assert await _use(pool) == first
    assert pool.status() == PoolStatus(1, 0, 0, 0)


@pytest.mark.parametrize(
    "fault", ["drop_before", "drop_after", "truncated", "crossed"]
)
async def test_connection_with_an_invalid_answer_is_not_reused(nursery, fault):
    db, endpoint = await start_one(nursery)
    pool = await _pool(nursery, endpoint)
    first = await _use(pool)
    db.faults.change({fault: 1})
    with pytest.raises(ResultUnknownError):
        await _use(pool)
    assert pool.status() == PoolStatus(0, 0, 0, 0)
    assert await _use(pool) != first


async def test_connection_of_a_cancelled_call_is_not_reused(nursery):
    db, endpoint = await start_one(nursery)
    pool = await _pool(nursery, endpoint)
    first = await _use(pool)
    db.faults.change({"hold_after": 1})
    async with trio.open_nursery() as calls:
        calls.start_soon(_use, pool)
        await db.wait_arrived(db.arrived + 1)
        calls.cancel_scope.cancel()
    db.faults.change({"held": False})
    assert await _use(pool) != first


async def test_connection_with_an_open_transaction_is_not_reused(nursery):
    db, endpoint = await start_one(nursery, slots=1)
    pool = await _pool(nursery, endpoint)
    async with pool.connection() as conn:
        await conn.execute(EXECUTE)
    async with pool.connection() as conn:
        assert (await conn.run(READ)).results == ([[0]],)
    assert db.slots_used == 0


async def test_lease_is_unusable_after_its_end():
    endpoint = MemoryEndpoint()
    async with trio.open_nursery() as nursery:
        pool = await _pool(nursery, endpoint)
        async with pool.connection() as conn:
            await conn.run(READ)
        with pytest.raises(LeaseEndedError):
            await conn.run(READ)
        nursery.cancel_scope.cancel()
    assert endpoint.closed == {1}


async def test_callers_wait_for_a_free_connection(nursery):
    db, endpoint = await start_one(nursery, connections=2)
    pool = await _pool(nursery, endpoint)
    leases = [await pool.acquire() for _ in range(2)]
    done = []

    async def caller(item: str) -> None:
        await _use(pool, run(add(item)))
        done.append(item)

    with trio.CancelScope() as scope:
        async with trio.open_nursery() as calls:
            calls.start_soon(caller, "cancelled")
            await trio.testing.wait_all_tasks_blocked()
            scope.cancel()
    assert pool.status() == PoolStatus(0, 2, 0, 0)
    async with trio.open_nursery() as calls:
        for item in "abcd":
            calls.start_soon(caller, item)
        for lease in leases:
            pool.release(lease)
    assert sorted(done) == list("abcd")
    assert len(db.open_connections) == 2


async def test_idle_connections_hide_the_cost_of_opening(autojump_clock):
    endpoint = MemoryEndpoint()
    endpoint.connect_seconds = 0.010
    async with trio.open_nursery() as nursery:
        pool = await _pool(nursery, endpoint, min_idle=1)
        await trio.testing.wait_all_tasks_blocked()
        start = trio.current_time()
        await trio.sleep(0.020)
        for _ in range(3):
            await _use(pool)
        assert trio.current_time() == pytest.approx(start + 0.020)
        nursery.cancel_scope.cancel()


async def test_unreachable_endpoint_fails_the_caller(nursery):
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as inner:
            _, endpoint = await start_one(inner)
            scope.cancel()
    pool = await _pool(nursery, endpoint)
    for _ in range(2):
        with pytest.raises(EndpointUnreachableError):
            await pool.acquire()


async def test_opening_that_hangs_fails_the_caller(autojump_clock):
    endpoint = MemoryEndpoint()
    endpoint.connect_seconds = 1e6
    async with trio.open_nursery() as nursery:
        pool = await _pool(nursery, endpoint, open_seconds=2.0)
        with pytest.raises(EndpointUnreachableError, match="too long"):
            await pool.acquire()
        nursery.cancel_scope.cancel()


async def test_closed_pool_lends_nothing_and_keeps_nothing():
    endpoint = MemoryEndpoint()
    async with trio.open_nursery() as nursery:
        pool = await _pool(nursery, endpoint)
        lent = await pool.acquire()
        pool.close()
        with pytest.raises(EndpointUnreachableError):
            await pool.acquire()
        pool.release(lent)
        assert endpoint.closed == {1}
        nursery.cancel_scope.cancel()
