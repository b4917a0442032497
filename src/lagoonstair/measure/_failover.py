"""Measures failover gaps and false promotions on a virtual clock."""

import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple, TypeVar

import trio
import trio.testing

from lagoonstair.groups import Confirmation
from lagoonstair.measure._model import (
    REPLICATION_INTERVAL_SECONDS,
    Deployment,
    ModelFleet,
    ModelGroup,
)
from lagoonstair.ports import EndpointRefusedError, EndpointUnreachableError

CLIENT_COUNT = 4
"""Number of clients that write concurrently."""

CALL_TIMEOUT_SECONDS = 0.25
"""Seconds that a write waits for a primary, and again for confirmation.

A client abandons a write after twice this time.
"""

SETTLE_SECONDS = 2.0
"""Seconds without a fault before the failure and after the recovery."""

RECOVERY_SECONDS = 17.0
"""Seconds that a run waits for the first answered write after the fault."""

LEASE_SECONDS = 10.0
"""Duration of the baseline's lease, in seconds."""

LEASE_POLL_INTERVAL_SECONDS = 1.0
"""Seconds between two reads of the lease by a successor."""

STORE_LATENCY_SECONDS = 0.005
"""Seconds that one call to the table service takes in the baseline."""

MAX_FREEZE_SECONDS = 1.2
"""Greatest duration, in seconds, of a short freeze of a member."""

MAX_FREEZE_INTERVAL_SECONDS = 10.0
"""Greatest time, in seconds, between two short freezes."""

MAX_LAG_SECONDS = 30.0
"""Greatest replication interval, in seconds, of the lagging replica."""

MAX_JITTER_SECONDS = 0.05
"""Greatest random delay, in seconds, that is added to a network hop."""

ResultT = TypeVar("ResultT")

Cause = Callable[[ModelGroup, ModelFleet, str], None]
"""Injects a failure of the primary that the last argument names."""


def kill_primary(group: ModelGroup, fleet: ModelFleet, primary: str) -> None:
    """Kills the primary's process."""
    group.faults.killed.add(primary)


def cut_primary(group: ModelGroup, fleet: ModelFleet, primary: str) -> None:
    """Isolates the primary from the network while its process runs on."""
    group.faults.cut.add(primary)


def freeze_primary(group: ModelGroup, fleet: ModelFleet, primary: str) -> None:
    """Suspends the primary's process; its connections stay open."""
    group.faults.frozen[primary] = trio.Event()


def kill_primary_and_owner(
    group: ModelGroup, fleet: ModelFleet, primary: str
) -> None:
    """Kills the primary and the group's owner at the same time."""
    group.faults.killed.add(primary)
    fleet.kill("instance0")


def cut_primary_and_owner(
    group: ModelGroup, fleet: ModelFleet, primary: str
) -> None:
    """Isolates the primary and the group's owner from the network."""
    group.faults.cut |= {primary, "instance0"}


CAUSES: dict[str, Cause] = {
    "killed": kill_primary,
    "cut off": cut_primary,
    "frozen": freeze_primary,
    "killed with its owner": kill_primary_and_owner,
    "cut off with its owner": cut_primary_and_owner,
}


class Failover(NamedTuple):
    """The result of one failover.

    Attributes:
        gap: Longest time in seconds between two answered writes from the
            fault on; the fault counts as the first of them.
        answered: Number of writes that were answered.
        lost: Number of answered writes that the new primary's log lacks.
        promotions: Number of promotions after the fault.
    """

    gap: float
    answered: int
    lost: int
    promotions: int


class Quiet(NamedTuple):
    """The result of a run in which no primary fails.

    Attributes:
        minutes: Length of the run in virtual minutes.
        freezes: Number of short freezes of a member.
        promotions: Number of promotions, all of them false.
        answered: Number of writes that were answered.
        longest_gap: Longest time in seconds between two answered writes.
    """

    minutes: float
    freezes: int
    promotions: int
    answered: int
    longest_gap: float


class _Clients:
    """Concurrent clients that write repeatedly and record answered writes.

    Attributes:
        answered: The time and the payload of each answered write.

    Args:
        group: The group to write to.
        fleet: The watches that tell the clients the primary.
        write_interval: Seconds that a client pauses before each write.
    """

    def __init__(
        self, group: ModelGroup, fleet: ModelFleet, write_interval: float
    ) -> None:
        self._group = group
        self._fleet = fleet
        self._write_interval = write_interval
        self._sent = 0
        self.answered: list[tuple[float, str]] = []

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(CLIENT_COUNT):
                nursery.start_soon(self._run_one)

    async def wait_answered(self, *, since: float = 0.0) -> None:
        while not self.answered or self.answered[-1][0] < since:
            await trio.sleep(CALL_TIMEOUT_SECONDS)

    async def _run_one(self) -> None:
        while True:
            await trio.sleep(self._write_interval)
            with trio.move_on_after(2 * CALL_TIMEOUT_SECONDS):
                await self._write()

    async def _write(self) -> None:
        watch = self._fleet.find_serving_watch()
        if watch is None:
            return
        now = trio.current_time()
        state = await watch.wait_primary(deadline=now + CALL_TIMEOUT_SECONDS)
        if state.primary is None:
            return
        self._sent += 1
        payload = f"write {self._sent}"
        try:
            position = await self._group.call(
                "client",
                state.primary,
                lambda m: m.commit(state.term, payload),
            )
        except (EndpointRefusedError, EndpointUnreachableError):
            return
        deadline = trio.current_time() + CALL_TIMEOUT_SECONDS
        result = await watch.confirm(position, deadline=deadline)
        if result is Confirmation.CONFIRMED:
            self.answered.append((trio.current_time(), payload))


def run_failover(deployment: Deployment, cause: Cause, seed: int) -> Failover:
    """Makes the primary fail under load, and removes the fault afterwards.

    Args:
        deployment: The deployment whose network delays are modelled.
        cause: Injects the failure.
        seed: The seed of the run.

    Returns:
        The failover gap and the counts of writes and promotions.
    """

    async def scenario() -> Failover:
        async with _running_model(
            deployment, seed, write_interval=0.05
        ) as model:
            group, fleet, clients, rng = model
            await clients.wait_answered()
            await trio.sleep(SETTLE_SECONDS + rng.random())
            primary = group.primaries()[0].name
            before = _count_elections(group)
            fault_at = trio.current_time()
            cause(group, fleet, primary)
            with trio.move_on_after(RECOVERY_SECONDS):
                await clients.wait_answered(
                    since=fault_at + CALL_TIMEOUT_SECONDS
                )
            _remove_faults(group)
            await trio.sleep(SETTLE_SECONDS)
            elections = _count_elections(group) - before
            answered = list(clients.answered)
        after = [t for t, _ in answered if t > fault_at + 0.01]
        gap = _find_longest_gap([fault_at, *after])
        surviving = {e.payload for e in group.primaries()[0].log}
        lost = sum(payload not in surviving for _, payload in answered)
        return Failover(gap, len(answered), lost, elections)

    return run_in_virtual_time(scenario)


def run_quiet(deployment: Deployment, minutes: float, seed: int) -> Quiet:
    """Injects lag, jitter and short freezes while no primary fails.

    Args:
        deployment: The deployment whose network delays are modelled.
        minutes: The least length of the run in virtual minutes.
        seed: The seed of the run.

    Returns:
        The counts of freezes, promotions and writes, and the longest gap.
    """

    async def scenario() -> Quiet:
        async with _running_model(
            deployment, seed, write_interval=0.25
        ) as model:
            group, _, clients, rng = model
            await clients.wait_answered()
            before = _count_elections(group)
            group.faults.jitter = MAX_JITTER_SECONDS
            end = trio.current_time() + 60 * minutes
            freezes = 0
            while trio.current_time() < end:
                await _inject_lag_and_freeze(group, rng)
                freezes += 1
            times = [t for t, _ in clients.answered]
            promotions = _count_elections(group) - before
        gap = _find_longest_gap(times)
        return Quiet(minutes, freezes, promotions, len(times), gap)

    return run_in_virtual_time(scenario)


def lease_gap(rng: random.Random, *, store_outage: float = 0.0) -> float:
    """Draws the failover gap of the baseline, a lease in the table service.

    The holder renews the lease each time a third of it has passed. A
    successor polls the lease's row, takes the lease over after it has
    expired, and promotes.

    Args:
        rng: Draws the phases of the renewals and the polls.
        store_outage: Seconds for which the store is down from the fault on.

    Returns:
        The gap in seconds.
    """
    since_renewal = rng.uniform(0, LEASE_SECONDS / 3)
    expiry = LEASE_SECONDS - since_renewal
    poll = rng.uniform(0, LEASE_POLL_INTERVAL_SECONDS)
    return max(expiry, store_outage) + poll + 2 * STORE_LATENCY_SECONDS


async def _inject_lag_and_freeze(group: ModelGroup, rng: random.Random) -> None:
    """Makes one replica lag, and freezes one member for a short time."""
    name = rng.choice(list(group.members))
    primary = group.primaries()[0].name
    for replica in group.members.keys() - {primary}:
        group.replication_intervals[replica] = REPLICATION_INTERVAL_SECONDS
    lagging = rng.choice(sorted(group.members.keys() - {primary}))
    group.replication_intervals[lagging] = rng.uniform(0, MAX_LAG_SECONDS)
    await trio.sleep(rng.uniform(0, MAX_FREEZE_INTERVAL_SECONDS))
    event = trio.Event()
    group.faults.frozen[name] = event
    await trio.sleep(rng.uniform(0.1, MAX_FREEZE_SECONDS))
    del group.faults.frozen[name]
    event.set()


def _remove_faults(group: ModelGroup) -> None:
    """Revives all members; killed instances stay dead, as their tasks ended."""
    group.faults.killed = {
        name for name in group.faults.killed if name not in group.members
    }
    group.faults.cut.clear()
    for event in group.faults.frozen.values():
        event.set()
    group.faults.frozen.clear()


def _count_elections(group: ModelGroup) -> int:
    """Counts the entries without a payload, which only promotions write."""
    return sum(not entry.payload for entry in group.primaries()[0].log)


def _find_longest_gap(times: list[float]) -> float:
    pairs = itertools.pairwise(times)
    return max((b - a for a, b in pairs), default=float("inf"))


@contextlib.asynccontextmanager
async def _running_model(
    deployment: Deployment, seed: int, *, write_interval: float
) -> AsyncIterator[tuple[ModelGroup, ModelFleet, _Clients, random.Random]]:
    rng = random.Random(seed)
    group = ModelGroup(deployment, rng)
    fleet = ModelFleet(group, rng)
    clients = _Clients(group, fleet, write_interval)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.replicate)
        nursery.start_soon(fleet.run)
        nursery.start_soon(clients.run)
        yield group, fleet, clients, rng
        nursery.cancel_scope.cancel()


def run_in_virtual_time(scenario: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Runs a scenario on a virtual clock that skips idle time.

    Args:
        scenario: The async function to run.

    Returns:
        What the scenario returns.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(scenario, clock=clock)
