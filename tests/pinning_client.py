"""Client process that a test kills during a given step.

Arguments: the port of the database, the step (``commit`` or ``run``) and a
request id. The process prepares the step, prints a line, waits for a line on
its standard input and then performs the step.
"""

import sys

import trio

from databases import ADD, run
from lagoonstair._types import Address
from lagoonstair.endpoints import HttpEndpoint
from lagoonstair.pool import (
    ConnectionPool,
    PinnedTransactions,
    PoolLimits,
    TransactionKey,
)

KEY = TransactionKey("w", "key", "t")


async def _main(port: int, step: str, request_id: str) -> None:
    endpoint = HttpEndpoint(Address("127.0.0.1", port), "client")
    pool = ConnectionPool(endpoint, PoolLimits(connections=2, min_idle=0))
    pins = PinnedTransactions(pool, limit=1, idle_seconds=1e6)
    async with trio.open_nursery() as nursery:
        await nursery.start(pool.run)
        if step == "commit":
            await pins.begin(KEY, 1)
            await pins.execute(KEY, [ADD])
        lease = await pool.acquire()
        print("ready", flush=True)
        await trio.to_thread.run_sync(sys.stdin.readline)
        if step == "commit":
            await pins.commit(KEY, term=1, request_id=request_id)
        else:
            await lease.run(run(ADD, request_id=request_id))
        await trio.sleep_forever()


trio.run(_main, int(sys.argv[1]), sys.argv[2], sys.argv[3])
