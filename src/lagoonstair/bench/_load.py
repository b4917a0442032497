"""Makes calls at a fixed concurrency and measures their cost."""

import itertools
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

CALLS_IN_FLIGHT = 16
"""Number of concurrent calls."""

AsyncCall = Callable[[], Awaitable[object]]


class Cost(NamedTuple):
    """The cost of a call with client and server in the same process.

    Attributes:
        transport: The name of the transport.
        calls_per_second: Number of calls answered per second of wall time.
        cpu_us: Processor time in microseconds per call, of client and server
            together.
    """

    transport: str
    calls_per_second: float
    cpu_us: float


async def measure(
    transport: str, callers: list[AsyncCall], *, calls: int
) -> Cost:
    """Makes calls concurrently and measures their cost.

    Args:
        transport: The name of the transport.
        callers: The functions that make one call each; they run
            concurrently.
        calls: The number of calls to make in total.

    Returns:
        The mean cost of a call.
    """
    call_numbers = itertools.count()

    async def run(call_once: AsyncCall) -> None:
        while next(call_numbers) < calls:
            await call_once()

    started_at = time.perf_counter()
    began_cpu = time.process_time()
    async with trio.open_nursery() as nursery:
        for call_once in callers:
            nursery.start_soon(run, call_once)
    wall_seconds = time.perf_counter() - started_at
    cpu = time.process_time() - began_cpu
    return Cost(transport, calls / wall_seconds, cpu / calls * 1e6)
