"""Measures the share of reads on replicas, in virtual time."""

import random
from typing import NamedTuple

import trio

from lagoonstair._types import EMPTY_LOG_POSITION, Position
from lagoonstair.groups import Confirmation, GroupWatch, Liveness
from lagoonstair.measure._failover import run_in_virtual_time
from lagoonstair.measure._model import Deployment, ModelFleet, ModelGroup

SESSIONS = 40
RUN_SECONDS = 30.0
WARM_UP_SECONDS = 3.0
MEAN_THINK_SECONDS = 0.2
OPERATION_TIMEOUT_SECONDS = 1.0
MAX_AGES_SECONDS: tuple[float | None, ...] = (None, 10.0, 1.0, 0.2)


class ReadCase(NamedTuple):
    """What a run of reads is like.

    Attributes:
        lag: Seconds between two copies to each replica.
        writes: The share of requests that are writes.
        wait_limit: How long a read waits for a replica, in seconds.
    """

    lag: float
    writes: float
    wait_limit: float


class ReadShare(NamedTuple):
    """Where reads went.

    Attributes:
        reads: How many reads there were.
        allowed: Those whose session and age a replica could satisfy when
            they were asked, by what the replicas really held.
        allowed_on_replica: Those of them that a replica served.
        on_replica: All reads that a replica served.
        refused: Reads without a target by the deadline.
        wait_p50: Median time in seconds from the request to the choice.
        wait_p99: The 99th percentile of that time.
    """

    reads: int
    allowed: int
    allowed_on_replica: int
    on_replica: int
    refused: int
    wait_p50: float
    wait_p99: float


class _ReadCounts:
    def __init__(self) -> None:
        self.allowed = 0
        self.allowed_on_replica = 0
        self.on_replica = 0
        self.refused = 0
        self.waits: list[float] = []

    def share(self) -> ReadShare:
        waits = sorted(self.waits)
        return ReadShare(
            len(waits),
            self.allowed,
            self.allowed_on_replica,
            self.on_replica,
            self.refused,
            waits[len(waits) // 2],
            waits[len(waits) * 99 // 100],
        )


class _CommitTimes:
    """When each offset of the primary's log was written."""

    def __init__(self, group: ModelGroup) -> None:
        self._group = group
        self._times: list[float] = []

    def record(self) -> None:
        log = self._group.primaries()[0].log
        now = trio.current_time()
        self._times += [now] * (len(log) - len(self._times))

    def allows(self, least: Position, max_age: float | None) -> bool:
        """Whether a replica holds the session's data, new enough."""
        primary = self._group.primaries()[0]
        now = trio.current_time()
        return any(
            m.last >= least
            and (max_age is None or self._age(m.last.offset, now) <= max_age)
            for m in self._group.members.values()
            if m is not primary
        )

    def _age(self, offset: int, now: float) -> float:
        if offset >= len(self._times):
            return 0.0
        return now - self._times[offset]


class _Session:
    """One session that writes and reads, and thinks in between."""

    def __init__(
        self,
        group: ModelGroup,
        watch: GroupWatch,
        commit_times: _CommitTimes,
        counts: _ReadCounts,
        rng: random.Random,
    ) -> None:
        self._group = group
        self._watch = watch
        self._commit_times = commit_times
        self._counts = counts
        self._rng = rng
        self._last_write = EMPTY_LOG_POSITION

    async def run(self, case: ReadCase) -> None:
        while True:
            await trio.sleep(self._rng.expovariate(1 / MEAN_THINK_SECONDS))
            if self._rng.random() < case.writes:
                await self._write()
            else:
                await self._read(case)

    async def _write(self) -> None:
        now = trio.current_time()
        state = await self._watch.wait_primary(
            deadline=now + OPERATION_TIMEOUT_SECONDS
        )
        if state.primary is None:
            return
        position = await self._group.call(
            "client", state.primary, lambda m: m.commit(state.term, "w")
        )
        self._commit_times.record()
        deadline = trio.current_time() + OPERATION_TIMEOUT_SECONDS
        result = await self._watch.confirm(position, deadline=deadline)
        if result is Confirmation.CONFIRMED:
            self._last_write = position

    async def _read(self, case: ReadCase) -> None:
        max_age = self._rng.choice(MAX_AGES_SECONDS)
        allowed = self._commit_times.allows(self._last_write, max_age)
        asked_at = trio.current_time()
        plan = await self._watch.plan_read(
            last_write=self._last_write,
            max_age=max_age,
            deadline=asked_at + OPERATION_TIMEOUT_SECONDS,
            wait_limit=case.wait_limit,
        )
        counts = self._counts
        counts.waits.append(trio.current_time() - asked_at)
        on_replica = bool(plan.targets) and not plan.targets[0].primary
        counts.refused += not plan.targets
        counts.on_replica += on_replica
        counts.allowed += allowed
        counts.allowed_on_replica += allowed and on_replica


def run_reads(deployment: Deployment, case: ReadCase, seed: int) -> ReadShare:
    """Lets sessions read and write, and counts where reads go."""

    async def scenario() -> ReadShare:
        rng = random.Random(seed)
        group = ModelGroup(deployment, rng)
        fleet = ModelFleet(group, rng)
        watch = fleet.watches["instance0"]
        commit_times = _CommitTimes(group)
        counts = _ReadCounts()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(group.replicate)
            nursery.start_soon(fleet.run)
            await trio.sleep(WARM_UP_SECONDS)
            primary = group.primaries()[0].name
            for name in group.members.keys() - {primary}:
                group.replication_intervals[name] = case.lag * rng.uniform(
                    0.5, 1.0
                )
            commit_times.record()
            for _ in range(SESSIONS):
                session = _Session(group, watch, commit_times, counts, rng)
                nursery.start_soon(session.run, case)
            await trio.sleep(RUN_SECONDS)
            nursery.cancel_scope.cancel()
        if watch.snapshot().members[0].liveness is Liveness.DEAD:
            raise RuntimeError("a member died in a run without faults")
        return counts.share()

    return run_in_virtual_time(scenario)
