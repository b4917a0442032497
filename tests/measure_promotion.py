"""Measures the time from a primary's crash to the next acknowledged write.

Usage: ``python measure_promotion.py SYNCHRONOUS TRIALS [SLOW_SECONDS]``.
"""

import statistics
import sys
import tempfile
import time
from pathlib import Path

import trio

from proxy_fleet import config, proxy_fleet

INSTANCES = 3
SETTLE_SECONDS = 4.0
"""Time between two trials, in seconds; longer than a proof holds."""


async def _measure(synchronous, trials, slow_seconds):
    """Returns the seconds of each trial, in order of size.

    Args:
        synchronous: The number of synchronous replicas.
        trials: How many primaries crash, one after another.
        slow_seconds: How long a replica's status query waits for a slot.
    """
    services = [{"name": "g", "max_conns": 30, "sync_replicas": synchronous}]
    seconds = []
    with tempfile.TemporaryDirectory() as folder:
        async with proxy_fleet(
            Path(folder), instances=INSTANCES, cfg=config(services=services)
        ) as fleet:
            fleet.group.synchronous = synchronous
            fleet.group.promote_seconds = 0.6
            for trial in range(trials):
                await _write(fleet, f"before-{trial}")
                for database in fleet.group.databases.values():
                    database.status_seconds = slow_seconds
                crashed = fleet.group.primary
                crashed.crash()
                started_at = time.monotonic()
                await _write(fleet, f"after-{trial}")
                seconds.append(time.monotonic() - started_at)
                crashed.recover()
                await trio.sleep(SETTLE_SECONDS)
    return sorted(seconds)


async def _write(fleet, request_id):
    """Writes until a write is acknowledged."""
    number = 0
    while True:
        caller = await fleet.caller("p")
        answer = await caller.ask(f"{request_id}-{number}", "WRITE a 1")
        caller.close()
        if answer and answer[0].startswith("COMPLETE"):
            return
        number += 1
        await trio.sleep(0.02)


def main(synchronous="1", trials="20", slow_seconds="0"):
    seconds = trio.run(
        _measure, int(synchronous), int(trials), float(slow_seconds)
    )
    print(
        f"synchronous {synchronous}, {len(seconds)} crashes,",
        f"status after {slow_seconds} s:",
        f"p50 {statistics.median(seconds):.2f} s,",
        f"p99 {seconds[-1 - len(seconds) // 100]:.2f} s",
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
