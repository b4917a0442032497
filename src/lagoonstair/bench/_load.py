"""Drives calls at a fixed concurrency and measures their cost."""

import itertools
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

CALLS_IN_FLIGHT = 16

AsyncCall = Callable[[], Awaitable[object]]


class Cost(NamedTuple):
    """The cost of a call, both sides together, on one machine.

    Attributes:
        way: The transport.
        calls_per_second: Calls answered per second of wall time.
        cpu_us: Microseconds of processor time per call, both sides.
    """

    way: str
    calls_per_second: float
    cpu_us: float


async def measure(way: str, callers: list[AsyncCall], *, calls: int) -> Cost:
    """Runs calls over several callers and measures them.

    Args:
        way: The transport's name.
        callers: One callable per call in flight.
        calls: How many calls to make in all.
    """
    call_numbers = itertools.count()

    async def run(call_once: AsyncCall) -> None:
        while next(call_numbers) < calls:
            await call_once()

    began = time.perf_counter()
    began_cpu = time.process_time()
    async with trio.open_nursery() as nursery:
        for call_once in callers:
            nursery.start_soon(run, call_once)
    wall = time.perf_counter() - began
    cpu = time.process_time() - began_cpu
    return Cost(way, calls / wall, cpu / calls * 1e6)
