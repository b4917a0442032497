"""Reads and writes of the table service while instances join the fleet."""

import trio
from loguru import logger

from lagoonstair._types import Address
from lagoonstair.capacity._calls import HOST, SECRET
from lagoonstair.config import ConfigSync, SyncTiming
from lagoonstair.peers import HandlerRegistry, PeerClient, PeerServer
from lagoonstair.standins.platform import (
    Counters,
    HttpPlatform,
    PlatformConfig,
    PlatformStandin,
)

HEAD_POLL_SECONDS = 3600.0
"""Seconds between two reads of the configuration's head.

The interval is long enough that no regular read falls into a measurement.
"""

CHECK_INTERVAL_SECONDS = 0.05
"""Seconds between two checks whether all instances have joined."""


def join_reads(instances: int) -> float:
    """Returns the reads of the store while instances join concurrently."""
    return float(trio.run(_join_all, instances).reads)


def join_writes(instances: int) -> float:
    """Returns the transactions while instances join concurrently."""
    return float(trio.run(_join_all, instances).writes)


async def _join_all(instances: int) -> Counters:
    logger.remove()
    standin = PlatformStandin.from_config(PlatformConfig())
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.serve, HOST, 0)
        syncs = [
            await _start_sync(nursery, f"i{number}", Address(HOST, port))
            for number in range(instances)
        ]
        while any(len(s.current.members) < instances for s in syncs):
            await trio.sleep(CHECK_INTERVAL_SECONDS)
        nursery.cancel_scope.cancel()
    return standin.counters


async def _start_sync(
    nursery: trio.Nursery, name: str, platform: Address
) -> ConfigSync:
    registry = HandlerRegistry()
    server = PeerServer(name, SECRET, registry)
    port = await nursery.start(server.serve, HOST, 0)
    sync = ConfigSync(
        name=name,
        incarnation=f"{name}-1",
        failure_domain="a",
        peers=Address(HOST, port),
        platform=HttpPlatform(platform, name),
        caller=PeerClient(name, SECRET, nursery),
        registry=registry,
        timing=SyncTiming(min_poll_interval=HEAD_POLL_SECONDS),
    )
    nursery.start_soon(sync.run)
    return sync
