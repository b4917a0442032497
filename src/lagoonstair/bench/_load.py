"""Drives calls at a fixed concurrency and measures their cost."""

import itertools
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

IN_FLIGHT = 16

OneCall = Callable[[], Awaitable[object]]


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


async def measure(way: str, callers: list[OneCall], *, calls: int) -> Cost:
    """Runs calls over several callers and measures them.

    Args:
        way: The transport's name.
        callers: One callable per call in flight.
        calls: How many calls to make in all.
    """
    tickets = itertools.count()

    async def run(one_call: OneCall) -> None:
        while next(tickets) < calls:
            await one_call()

    began = time.perf_counter()
    began_cpu = time.process_time()
    async with trio.open_nursery() as nursery:
        for one_call in callers:
            nursery.start_soon(run, one_call)
    wall = time.perf_counter() - began
    cpu = time.process_time() - began_cpu
    return Cost(way, calls / wall, cpu / calls * 1e6)
