"""Prints the cost of a read through pool and adapter, on loopback.

The database stand-in runs in a process of its own, so the CPU time is that of
the proxy's side alone. Run as ``python -m lagoonstair.bench.pool``.
"""

import subprocess
import sys
import time
from typing import NamedTuple

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.endpoints import HttpEndpoint
from lagoonstair.pool import ConnectionPool, PoolLimits
from lagoonstair.ports import Endpoint, Run, Statement
from lagoonstair.standins.database import DatabaseConfig

REPEATS = 3
READ = Run(
    call_id=1,
    term=1,
    workspace="bench",
    statements=(Statement("SELECT 1"),),
    read_only=True,
)


class _Case(NamedTuple):
    """One way to use the pool.

    Attributes:
        name: What it is called in the table.
        limits: The pool's limits.
        tasks: How many callers there are.
        calls: How many calls each of them makes.
        fresh: Whether each call needs a connection of its own.
    """

    name: str
    limits: PoolLimits
    tasks: int
    calls: int
    fresh: bool = False


CASES = (
    _Case("warm, 16 callers", PoolLimits(connections=16, min_idle=16), 16, 500),
    _Case("warm, 1 caller", PoolLimits(connections=1, min_idle=1), 1, 2000),
    _Case(
        "cold, 1 caller", PoolLimits(connections=4, min_idle=0), 1, 200, True
    ),
    _Case(
        "2 ready, 1 caller", PoolLimits(connections=4, min_idle=2), 1, 200, True
    ),
)


async def _call(pool: ConnectionPool, way: _Case, waits: list[float]) -> None:
    for _ in range(way.calls):
        start = time.perf_counter()
        async with pool.connection() as conn:
            await conn.run(READ)
            if way.fresh:
                conn.close()
        waits.append(time.perf_counter() - start)


async def _measure(endpoint: Endpoint, way: _Case) -> None:
    pool = ConnectionPool(endpoint, way.limits)
    waits: list[float] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(pool.run)
        while pool.status().idle < way.limits.min_idle:
            await trio.sleep(0.01)
        cpu, start = time.process_time(), time.perf_counter()
        async with trio.open_nursery() as callers:
            for _ in range(way.tasks):
                callers.start_soon(_call, pool, way, waits)
        cpu = time.process_time() - cpu
        seconds = time.perf_counter() - start
        nursery.cancel_scope.cancel()
    waits.sort()
    count = len(waits)
    print(
        f"{way.name:<20}{count / seconds:>9.0f}{cpu / count * 1e6:>13.0f}"
        f"{waits[count // 2] * 1e3:>9.2f}{waits[count * 99 // 100] * 1e3:>9.2f}"
    )


async def _main(address: Address) -> None:
    endpoint = HttpEndpoint(address, "bench")
    print(f"{'way':<20}{'calls/s':>9}{'CPU us/call':>13}{'p50 ms':>9}", end="")
    print(f"{'p99 ms':>9}")
    for way in CASES * REPEATS:
        await _measure(endpoint, way)


def main() -> None:
    """Starts the stand-in and measures each way several times."""
    cfg = DatabaseConfig(name="db1", primary="db1")
    text = msgspec.json.encode(cfg).decode()
    with subprocess.Popen(
        [
            sys.executable,
            "-m",
            "lagoonstair.standins.database",
            "--config",
            text,
        ],
        stdout=subprocess.PIPE,
    ) as process:
        try:
            assert process.stdout is not None
            line = msgspec.json.decode(process.stdout.readline())
            trio.run(_main, Address("127.0.0.1", line["listening"]))
        finally:
            process.kill()


if __name__ == "__main__":
    main()
