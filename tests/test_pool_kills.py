"""Tests with processes that are killed or frozen during calls."""

import os
import pathlib
import signal
import subprocess
import sys

import msgspec
import pytest
import trio
import trio.testing

from databases import ADD, COUNT, SCHEMA, add, run, start_one
from lagoonstair._types import Address
from lagoonstair.endpoints import HttpEndpoint
from lagoonstair.pool import ConnectionPool, PoolLimits
from lagoonstair.ports import (
    Commit,
    EndpointUnreachableError,
    ResultUnknownError,
)

TESTS = pathlib.Path(__file__).parent
READ = run(COUNT, read_only=True)


async def _process(*args: str) -> trio.Process:
    paths = f"{TESTS.parent / 'src'}:{TESTS}"
    return await trio.lowlevel.open_process(
        [sys.executable, *args],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": paths},
    )


async def _line(process: trio.Process) -> bytes:
    """Reads a line, which may arrive in several pieces."""
    line = b""
    while not line.endswith(b"\n"):
        piece = await process.stdout.receive_some()
        assert piece, "the process has ended"
        line += piece
    return line


async def _kill(process: trio.Process) -> None:
    process.send_signal(signal.SIGKILL)
    await process.wait()


async def _database() -> tuple[trio.Process, HttpEndpoint]:
    config = {"name": "db1", "primary": "db1", "schema": SCHEMA}
    text = msgspec.json.encode(config).decode()
    process = await _process(
        "-m", "lagoonstair.standins.database", "--config", text
    )
    port = msgspec.json.decode(await _line(process))["listening"]
    return process, HttpEndpoint(Address("127.0.0.1", port), "test")


@pytest.mark.parametrize(
    ("step", "sent"),
    [("run", False), ("run", True), ("commit", False), ("commit", True)],
)
async def test_killed_client_leaves_no_transaction_and_no_double(
    nursery, step, sent
):
    db, endpoint = await start_one(nursery, slots=1)
    port = endpoint._address.port
    client = await _process(
        str(TESTS / "pinning_client.py"), str(port), step, "r"
    )
    assert await _line(client) == b"ready\n"
    if sent:
        arrived = db.arrived
        db.faults.change({"hold_after": 1})
        await client.stdin.send_all(b"\n")
        await db.wait_arrived(arrived + 1)
    await _kill(client)
    db.faults.change({"held": False})
    await db.wait_idle()
    assert db.slots_used == 0
    conn = await endpoint.connect()
    assert (await conn.run(READ)).results == ([[int(sent)]],)
    if step == "run":
        repeat = await conn.run(run(ADD, request_id="r"))
        assert repeat.duplicate is sent
        assert (await conn.run(READ)).results == ([[1]],)
    elif sent:
        commit = Commit(call_id=1, term=1, workspace="w", request_id="r")
        assert (await conn.commit(commit)).duplicate


async def test_killed_database_is_unknown_then_unreachable(nursery):
    process, endpoint = await _database()
    conn = await endpoint.connect()
    process.send_signal(signal.SIGSTOP)
    outcomes = []

    async def call() -> None:
        with pytest.raises(ResultUnknownError):
            await conn.run(run(ADD))
        outcomes.append("unknown")

    async with trio.open_nursery() as calls:
        calls.start_soon(call)
        await trio.testing.wait_all_tasks_blocked()
        await _kill(process)
    assert outcomes == ["unknown"]
    for again in (lambda: conn.run(READ), endpoint.connect, endpoint.status):
        with pytest.raises(EndpointUnreachableError):
            await again()


async def test_frozen_database_answers_late_and_to_nobody(nursery):
    process, endpoint = await _database()
    pool = ConnectionPool(endpoint, PoolLimits(connections=2, min_idle=0))
    await nursery.start(pool.run)

    async def write() -> None:
        async with pool.connection() as conn:
            await conn.run(run(ADD))

    async with pool.connection() as conn:
        await conn.run(READ)
    process.send_signal(signal.SIGSTOP)
    async with trio.open_nursery() as calls:
        calls.start_soon(write)
        await trio.testing.wait_all_tasks_blocked()
        calls.cancel_scope.cancel()
    process.send_signal(signal.SIGCONT)
    async with pool.connection() as conn:
        answer = await conn.run(run(add("b"), COUNT))
        assert answer.results in (([], [[1]]), ([], [[2]]))
    await _kill(process)
