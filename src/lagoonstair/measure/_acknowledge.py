"""Measures two methods of confirming writes while replicas lag.

Method A waits until a majority of the members holds the write's position.
Method D asks every member for its status and requires that a majority reports
the write's term; it doesn't check that they hold the write.

Each method is measured by the latency that it adds to a write and by the
answered writes that are lost when the primary is killed.
"""

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
"""Number of writes in a run."""

WRITE_INTERVAL_SECONDS = 0.05
"""Seconds between the starts of two writes."""

CONFIRM_TIMEOUT_SECONDS = 2.0
"""Seconds that a write waits for its confirmation by a majority."""

WARM_UP_SECONDS = 3.0
"""Seconds in which the group elects a primary before the first write."""

RECOVERY_SECONDS = 10.0
"""Seconds after the primary's end in which the group can elect another."""

Acknowledge = Callable[[ModelGroup, GroupWatch, Position], Awaitable[bool]]
"""A method that confirms the write at a position, or returns ``False``."""


class Acknowledged(NamedTuple):
    """The outcome of the writes before the primary was killed.

    Attributes:
        answered: Number of writes that were confirmed.
        unknown: Number of writes that were not confirmed in time.
        p50: Median time in seconds from the commit to the answer; infinite
            if no write was answered.
        p99: The 99th percentile of that time in seconds.
        lost: Number of answered writes that the new primary's log lacks.
    """

    answered: int
    unknown: int
    p50: float
    p99: float
    lost: int


async def confirm_by_position(
    group: ModelGroup, watch: GroupWatch, position: Position
) -> bool:
    """Confirms a write once a majority holds its position (method A).

    Args:
        group: The group that was written to.
        watch: The watch that collects the members' positions.
        position: The position of the write.

    Returns:
        Whether the write was confirmed before the timeout.
    """
    deadline = trio.current_time() + CONFIRM_TIMEOUT_SECONDS
    result = await watch.confirm(position, deadline=deadline)
    return result is Confirmation.CONFIRMED


async def confirm_by_term(
    group: ModelGroup, watch: GroupWatch, position: Position
) -> bool:
    """Confirms a write if a majority reports its term (method D).

    Args:
        group: The group whose members are asked, one after the other.
        watch: Not used; it is part of the signature of ``Acknowledge``.
        position: The position of the write.

    Returns:
        Whether a majority reported the term of the position.
    """
    statuses = [
        await group.call("client", name, Member.status)
        for name in group.members
    ]
    same = sum(s.term == position.term for s in statuses)
    return same >= quorum_size(len(group.members))


def run_lagging(
    deployment: Deployment, lag: float, acknowledge: Acknowledge, seed: int
) -> Acknowledged:
    """Runs writes while every replica lags, then kills the primary.

    Args:
        deployment: The deployment whose network delays are modelled.
        lag: The greatest replication interval of a replica in seconds; each
            replica's is drawn between half of it and the whole.
        acknowledge: The method that confirms each write.
        seed: The seed of the run.

    Returns:
        The outcome of the writes.
    """

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
