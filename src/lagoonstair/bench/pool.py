"""Prints the cost of a read through the connection pool and its client.

Run as ``python -m lagoonstair.bench.pool``. The database stand-in runs in a
process of its own on the same machine, so that the processor time is that of
the proxy's side only.
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
"""Number of times that each case is measured."""

READ = Run(
    call_id=1,
    term=1,
    workspace="bench",
    statements=(Statement("SELECT 1"),),
    read_only=True,
)


class _Case(NamedTuple):
    """One use of the pool that is measured.

    Attributes:
        name: The name of the case in the table.
        limits: The limits of the pool.
        tasks: Number of concurrent callers.
        calls: Number of calls that each caller makes.
        fresh: Whether each connection is closed after one call.
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


async def _call(pool: ConnectionPool, case: _Case, waits: list[float]) -> None:
    for _ in range(case.calls):
        start = time.perf_counter()
        async with pool.connection() as conn:
            await conn.run(READ)
            if case.fresh:
                conn.close()
        waits.append(time.perf_counter() - start)


async def _measure(endpoint: Endpoint, case: _Case) -> None:
    pool = ConnectionPool(endpoint, case.limits)
    waits: list[float] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(pool.run)
        while pool.status().idle < case.limits.min_idle:
            await trio.sleep(0.01)
        cpu, start = time.process_time(), time.perf_counter()
        async with trio.open_nursery() as callers:
            for _ in range(case.tasks):
                callers.start_soon(_call, pool, case, waits)
        cpu = time.process_time() - cpu
        seconds = time.perf_counter() - start
        nursery.cancel_scope.cancel()
    waits.sort()
    count = len(waits)
    print(
        f"{case.name:<20}{count / seconds:>9.0f}{cpu / count * 1e6:>13.0f}"
        f"{waits[count // 2] * 1e3:>9.2f}{waits[count * 99 // 100] * 1e3:>9.2f}"
    )


async def _main(address: Address) -> None:
    endpoint = HttpEndpoint(address, "bench")
    print(f"{'way':<20}{'calls/s':>9}{'CPU us/call':>13}{'p50 ms':>9}", end="")
    print(f"{'p99 ms':>9}")
    for case in CASES * REPEATS:
        await _measure(endpoint, case)


def main() -> None:
    """Starts the database stand-in and measures each case several times."""
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
