"""Measures what confirming a write costs under lag, and what it saves."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from lagoonstair._types import Position
from lagoonstair.groups import Confirmation, GroupWatch, quorum_size
from lagoonstair.measure._failover import kill_primary, run_in_virtual_time
from lagoonstair.measure._member import Member
from lagoonstair.measure._model import Deployment, ModelFleet, ModelGroup

WRITE_COUNT = 200
WRITE_INTERVAL_SECONDS = 0.05
CONFIRM_TIMEOUT_SECONDS = 2.0
WARM_UP_SECONDS = 3.0
RECOVERY_SECONDS = 10.0

Acknowledge = Callable[[ModelGroup, GroupWatch, Position], Awaitable[bool]]


class Acknowledged(NamedTuple):
    """Writes up to the primary's death.

    Attributes:
        answered: How many writes were answered by their deadline.
        unknown: How many were not.
        p50: Median time in seconds from the commit to the answer.
        p99: The 99th percentile of that time.
        lost: How many answered writes the surviving log lacks.
    """

    answered: int
    unknown: int
    p50: float
    p99: float
    lost: int


async def confirm_by_position(
    group: ModelGroup, watch: GroupWatch, position: Position
) -> bool:
    """Answers once a majority holds the write (way A)."""
    deadline = trio.current_time() + CONFIRM_TIMEOUT_SECONDS
    result = await watch.confirm(position, deadline=deadline)
    return result is Confirmation.CONFIRMED


async def confirm_by_term(
    group: ModelGroup, watch: GroupWatch, position: Position
) -> bool:
    """Answers once a majority reports the write's term (way D)."""
    statuses = [
        await group.call("client", name, Member.status)
        for name in group.members
    ]
    same = sum(s.term == position.term for s in statuses)
    return same >= quorum_size(len(group.members))


def run_lagging(
    deployment: Deployment, lag: float, acknowledge: Acknowledge, seed: int
) -> Acknowledged:
    """Writes while every replica lags, then kills the primary."""

    async def scenario() -> Acknowledged:
        rng = random.Random(seed)
        group = ModelGroup(deployment, rng)
        fleet = ModelFleet(group, rng)
        watch = fleet.watches["instance0"]
        times: dict[str, float | None] = {}

        async def write(primary: str, term: int, payload: str) -> None:
            position = await group.call(
                "client", primary, lambda m: m.commit(term, payload)
            )
            committed_at = trio.current_time()
            done = await acknowledge(group, watch, position)
            took = trio.current_time() - committed_at
            times[payload] = took if done else None

        async with trio.open_nursery() as nursery:
            nursery.start_soon(group.replicate)
            nursery.start_soon(fleet.run)
            await trio.sleep(WARM_UP_SECONDS)
            primary = group.primaries()[0]
            for name in group.members.keys() - {primary.name}:
                group.replication_intervals[name] = lag * rng.uniform(0.5, 1.0)
            async with trio.open_nursery() as writers:
                for i in range(WRITE_COUNT):
                    writers.start_soon(
                        write, primary.name, primary.term, f"write {i}"
                    )
                    await trio.sleep(WRITE_INTERVAL_SECONDS)
                kill_primary(group, fleet, primary.name)
                writers.cancel_scope.cancel()
            await trio.sleep(RECOVERY_SECONDS)
            nursery.cancel_scope.cancel()
        surviving = {e.payload for e in group.primaries()[0].log}
        done = sorted(t for t in times.values() if t is not None)
        lost = sum(
            took is not None and payload not in surviving
            for payload, took in times.items()
        )
        return Acknowledged(
            len(done),
            WRITE_COUNT - len(done),
            done[len(done) // 2] if done else float("inf"),
            done[len(done) * 99 // 100] if done else float("inf"),
            lost,
        )

    return run_in_virtual_time(scenario)
