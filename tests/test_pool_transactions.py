"""Tests of pinned transactions: access by key and the ways they end."""

import pytest
import trio
import trio.testing

from databases import ADD, COUNT, MemoryEndpoint, add, run, start_one
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.pool import (
    ConnectionPool,
    PinnedTransactions,
    PoolLimits,
    TransactionKey,
)
from lagoonstair.ports import (
    EndpointRefusal,
    EndpointRefusedError,
    ResultUnknownError,
)

KEY = TransactionKey("w", "key1", "t1")
OTHERS = [
    TransactionKey("v", "key1", "t1"),
    TransactionKey("w", "key2", "t1"),
    TransactionKey("w", "key1", "t2"),
]


async def _pinned(nursery, endpoint, **settings):
    pool = ConnectionPool(endpoint, PoolLimits(connections=4, min_idle=0))
    await nursery.start(pool.run)
    pins = PinnedTransactions(
        pool, **{"limit": 3, "idle_seconds": 10.0} | settings
    )
    await nursery.start(pins.run)
    return pins, pool


async def _kind(action, *args, **kwargs) -> ErrorKind:
    with pytest.raises(LagoonstairError) as caught:
        await action(*args, **kwargs)
    return caught.value.kind


async def _count(pool: ConnectionPool) -> int:
    async with pool.connection() as conn:
        answer = await conn.run(run(COUNT, read_only=True))
        return answer.results[0][0][0]


async def test_commit_answers_the_same_when_it_is_repeated(nursery):
    db, endpoint = await start_one(nursery)
    pins, pool = await _pinned(nursery, endpoint)
    await pins.begin(KEY, 1)
    await pins.execute(KEY, [ADD])
    await pins.execute(KEY, [add("b"), COUNT])
    first = await pins.commit(KEY, term=1)
    again = await pins.commit(KEY, term=1)
    assert first.results == again.results == ([], [], [[2]])
    assert (first.position, again.duplicate) == (again.position, True)
    assert pool.status().idle == 1
    assert await _kind(pins.begin, KEY, 1) is ErrorKind.CONFLICT
    assert db.slots_used == 0


@pytest.mark.parametrize("other", OTHERS)
async def test_transaction_is_open_to_its_own_key_only(nursery, other):
    _, endpoint = await start_one(nursery)
    pins, pool = await _pinned(nursery, endpoint)
    await pins.begin(KEY, 1)
    await pins.execute(KEY, [ADD])
    gone, unknown = ErrorKind.TRANSACTION_GONE, ErrorKind.OUTCOME_UNKNOWN
    assert await _kind(pins.execute, other, [add("b")]) is gone
    assert await _kind(pins.rollback, other) is gone
    assert await _kind(pins.commit, other, term=1) is unknown
    assert await _count(pool) == 0


async def test_rollback_keeps_the_connection_and_says_not_run(nursery):
    db, endpoint = await start_one(nursery)
    pins, pool = await _pinned(nursery, endpoint)
    await pins.begin(KEY, 1)
    await pins.execute(KEY, [ADD])
    await pins.rollback(KEY)
    assert (pool.status().idle, db.slots_used) == (1, 0)
    gone = ErrorKind.TRANSACTION_GONE
    assert await _kind(pins.commit, KEY, term=1) is gone
    assert await _count(pool) == 0


async def test_idle_transaction_is_rolled_back(autojump_clock):
    endpoint = MemoryEndpoint()
    async with trio.open_nursery() as nursery:
        pins, _ = await _pinned(nursery, endpoint)
        await pins.begin(KEY, 1)
        await pins.execute(KEY, [ADD])
        await trio.sleep(9.0)
        await pins.execute(KEY, [COUNT])
        await trio.sleep(9.0)
        assert pins.open_count == 1
        await pins.drain()
        assert endpoint.closed == {1}
        gone = ErrorKind.TRANSACTION_GONE
        assert await _kind(pins.execute, KEY, [COUNT]) is gone
        nursery.cancel_scope.cancel()


async def test_withdrawn_key_ends_its_transactions_only(nursery):
    db, endpoint = await start_one(nursery)
    pins, pool = await _pinned(nursery, endpoint)
    for key in (KEY, OTHERS[1]):
        await pins.begin(key, 1)
        await pins.execute(key, [add(key.key_id)])
    db.faults.change({"frozen": True})
    kinds = []

    async def execute() -> None:
        kinds.append(await _kind(pins.execute, KEY, [COUNT]))

    async with trio.open_nursery() as calls:
        for _ in range(2):
            calls.start_soon(execute)
        await db.wait_arrived(db.arrived + 1)
        pins.close_key(KEY.key_id)
    assert kinds == [ErrorKind.TRANSACTION_GONE] * 2
    db.faults.change({"frozen": False})
    await pins.commit(OTHERS[1], term=1)
    assert await _count(pool) == 1
    assert pool.status().used == 0


async def test_commit_in_progress_is_not_cancelled(nursery):
    db, endpoint = await start_one(nursery)
    pins, pool = await _pinned(nursery, endpoint)
    await pins.begin(KEY, 1)
    await pins.execute(KEY, [ADD])
    db.faults.change({"frozen": True})
    async with trio.open_nursery() as calls:
        calls.start_soon(lambda: pins.commit(KEY, term=1))
        await db.wait_arrived(db.arrived + 1)
        pins.close_key(KEY.key_id)
        pins.close_all()
        db.faults.change({"frozen": False})
    assert await _count(pool) == 1


@pytest.mark.parametrize(
    ("fault", "rows"), [("drop_before", 0), ("drop_after", 1)]
)
async def test_commit_without_answer_is_unknown_until_found(
    nursery, fault, rows
):
    db, endpoint = await start_one(nursery)
    pins, pool = await _pinned(nursery, endpoint)
    await pins.begin(KEY, 1)
    await pins.execute(KEY, [ADD])
    db.faults.change({fault: 1})
    with pytest.raises(ResultUnknownError):
        await pins.commit(KEY, term=1)
    if rows:
        assert (await pins.commit(KEY, term=1)).duplicate
    else:
        unknown = ErrorKind.OUTCOME_UNKNOWN
        assert await _kind(pins.commit, KEY, term=1) is unknown
    assert await _count(pool) == rows


@pytest.mark.parametrize("fault", ["drop_after", "crossed", "truncated"])
async def test_execute_without_answer_ends_the_transaction(nursery, fault):
    db, endpoint = await start_one(nursery)
    pins, pool = await _pinned(nursery, endpoint)
    await pins.begin(KEY, 1)
    await pins.execute(KEY, [ADD])
    db.faults.change({fault: 1})
    gone = ErrorKind.TRANSACTION_GONE
    assert await _kind(pins.execute, KEY, [add("b")]) is gone
    assert await _kind(pins.commit, KEY, term=1) is gone
    assert await _count(pool) == 0


async def test_failed_statement_leaves_the_transaction_open(nursery):
    _, endpoint = await start_one(nursery)
    pins, pool = await _pinned(nursery, endpoint)
    await pins.begin(KEY, 1)
    await pins.execute(KEY, [ADD])
    with pytest.raises(EndpointRefusedError):
        await pins.execute(KEY, [add("b"), ADD])
    await pins.commit(KEY, term=1)
    assert await _count(pool) == 1


async def test_new_term_ends_the_transactions_of_the_old(nursery):
    db, endpoint = await start_one(nursery)
    pins, _ = await _pinned(nursery, endpoint)
    await pins.begin(KEY, 1)
    await pins.execute(KEY, [ADD])
    await endpoint.fence(2, "x")
    await endpoint.promote(2, "x")
    assert db.slots_used == 0
    with pytest.raises(EndpointRefusedError) as caught:
        await pins.execute(KEY, [add("b")])
    assert caught.value.refusal is EndpointRefusal.STALE_TERM
    assert pins.open_count == 0


async def test_limit_and_drain_refuse_new_transactions(nursery):
    _, endpoint = await start_one(nursery)
    pins, _ = await _pinned(nursery, endpoint, limit=1)
    await pins.begin(KEY, 1)
    assert await _kind(pins.begin, OTHERS[2], 1) is ErrorKind.OVERLOADED
    drained = trio.Event()

    async def drain() -> None:
        await pins.drain()
        drained.set()

    nursery.start_soon(drain)
    await trio.testing.wait_all_tasks_blocked()
    assert await _kind(pins.begin, OTHERS[2], 1) is ErrorKind.DRAINING
    assert not drained.is_set()
    await pins.execute(KEY, [ADD])
    await pins.commit(KEY, term=1)
    await drained.wait()
