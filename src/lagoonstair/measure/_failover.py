"""Measures the failover gap and false promotions, in virtual time."""

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
CALL_TIMEOUT_SECONDS = 0.25
SETTLE_SECONDS = 2.0
RECOVERY_SECONDS = 17.0
LEASE_SECONDS = 10.0
LEASE_POLL_INTERVAL_SECONDS = 1.0
STORE_LATENCY_SECONDS = 0.005
MAX_FREEZE_SECONDS = 1.2
MAX_FREEZE_INTERVAL_SECONDS = 10.0
MAX_LAG_SECONDS = 30.0
MAX_JITTER_SECONDS = 0.05

ResultT = TypeVar("ResultT")

Cause = Callable[[ModelGroup, ModelFleet, str], None]


def kill_primary(group: ModelGroup, fleet: ModelFleet, primary: str) -> None:
    """Ends the primary's process."""
    group.faults.killed.add(primary)


def cut_primary(group: ModelGroup, fleet: ModelFleet, primary: str) -> None:
    """Cuts the primary off from all; it runs on."""
    group.faults.cut.add(primary)


def freeze_primary(group: ModelGroup, fleet: ModelFleet, primary: str) -> None:
    """Stops the primary's process; its connections stay open."""
    group.faults.frozen[primary] = trio.Event()


def kill_primary_and_owner(
    group: ModelGroup, fleet: ModelFleet, primary: str
) -> None:
    """Ends the primary and the group's owner at once."""
    group.faults.killed.add(primary)
    fleet.kill("instance0")


def cut_primary_and_owner(
    group: ModelGroup, fleet: ModelFleet, primary: str
) -> None:
    """Cuts off the primary and the group's owner."""
    group.faults.cut |= {primary, "instance0"}


CAUSES: dict[str, Cause] = {
    "killed": kill_primary,
    "cut off": cut_primary,
    "frozen": freeze_primary,
    "killed with its owner": kill_primary_and_owner,
    "cut off with its owner": cut_primary_and_owner,
}


class Failover(NamedTuple):
    """One failover.

    Attributes:
        gap: Seconds from the fault to the next answered write.
        answered: How many writes were answered.
        lost: How many of them the surviving log lacks.
        promotions: How many promotions the fault led to.
    """

    gap: float
    answered: int
    lost: int
    promotions: int


class Quiet(NamedTuple):
    """A run without a dead primary.

    Attributes:
        minutes: How long it ran.
        freezes: How often a member was stopped for a short time.
        promotions: How many promotions there were.
        answered: How many writes were answered.
        longest_gap: Longest time in seconds without an answered write.
    """

    minutes: float
    freezes: int
    promotions: int
    answered: int
    longest_gap: float


class _Clients:
    """Clients that write without pause and note what was answered."""

    def __init__(
        self, group: ModelGroup, fleet: ModelFleet, pause: float
    ) -> None:
        self._group = group
        self._fleet = fleet
        self._write_interval = pause
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
    """Lets one primary fail under load, and heals it afterwards."""

    async def scenario() -> Failover:
        async with _running_model(deployment, seed, pause=0.05) as world:
            group, fleet, clients, rng = world
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
    """Runs with lag, jitter and short freezes, but no dead primary."""

    async def scenario() -> Quiet:
        async with _running_model(deployment, seed, pause=0.25) as world:
            group, _, clients, rng = world
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
    """The gap of a lease in the table service, the baseline.

    The holder renews at a third of the lease; a successor polls the row,
    takes it after it ran out, and promotes.

    Args:
        rng: Draws the phases.
        store_outage: Seconds for which the store is down from the fault on.
    """
    since_renewal = rng.uniform(0, LEASE_SECONDS / 3)
    expiry = LEASE_SECONDS - since_renewal
    poll = rng.uniform(0, LEASE_POLL_INTERVAL_SECONDS)
    return max(expiry, store_outage) + poll + 2 * STORE_LATENCY_SECONDS


async def _inject_lag_and_freeze(group: ModelGroup, rng: random.Random) -> None:
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
    group.faults.killed = {
        name for name in group.faults.killed if name not in group.members
    }
    group.faults.cut.clear()
    for event in group.faults.frozen.values():
        event.set()
    group.faults.frozen.clear()


def _count_elections(group: ModelGroup) -> int:
    return sum(not entry.payload for entry in group.primaries()[0].log)


def _find_longest_gap(times: list[float]) -> float:
    pairs = itertools.pairwise(times)
    return max((b - a for a, b in pairs), default=float("inf"))


@contextlib.asynccontextmanager
async def _running_model(
    deployment: Deployment, seed: int, *, pause: float
) -> AsyncIterator[tuple[ModelGroup, ModelFleet, _Clients, random.Random]]:
    rng = random.Random(seed)
    group = ModelGroup(deployment, rng)
    fleet = ModelFleet(group, rng)
    clients = _Clients(group, fleet, pause)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.replicate)
        nursery.start_soon(fleet.run)
        nursery.start_soon(clients.run)
        yield group, fleet, clients, rng
        nursery.cancel_scope.cancel()


def run_in_virtual_time(scenario: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Runs a scenario on a clock that jumps over idle time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(scenario, clock=clock)
