"""Measures the share of reads that replicas serve, on a virtual clock."""

import random
from typing import NamedTuple

import trio

from lagoonstair._types import EMPTY_LOG_POSITION, Position
from lagoonstair.groups import Confirmation, GroupWatch, Liveness
from lagoonstair.measure._failover import run_in_virtual_time
from lagoonstair.measure._model import Deployment, ModelFleet, ModelGroup

SESSION_COUNT = 40
"""Number of concurrent sessions."""

RUN_SECONDS = 30.0
"""Seconds in which the sessions send requests."""

WARM_UP_SECONDS = 3.0
"""Seconds in which the group elects a primary before the sessions start."""

MEAN_THINK_SECONDS = 0.2
"""Mean think time in seconds before each request of a session."""

OPERATION_TIMEOUT_SECONDS = 1.0
"""Seconds that a read waits for a member, or a write for a primary.

A write waits this time again for its confirmation.
"""

MAX_AGES_SECONDS: tuple[float | None, ...] = (None, 10.0, 1.0, 0.2)
"""The greatest data ages in seconds that reads ask for; ``None`` for any."""


class ReadCase(NamedTuple):
    """The parameters of one run.

    Attributes:
        lag: The greatest time in seconds between two copies to a replica;
            each replica's is drawn between half of it and the whole.
        writes: The share of requests that are writes.
        wait_limit: Longest time in seconds that a read waits for a suitable
            replica.
    """

    lag: float
    writes: float
    wait_limit: float


class ReadShare(NamedTuple):
    """How many reads went to replicas.

    Attributes:
        reads: Number of reads.
        allowed: Number of reads that some replica could serve when they were
            requested: its actual log held the session's writes and was
            recent enough.
        allowed_on_replica: Number of the allowed reads that went to a
            replica.
        on_replica: Number of all reads that went to a replica.
        refused: Number of reads for which no member was chosen in time.
        wait_p50: Median time in seconds from the request to the choice of a
            member.
        wait_p99: The 99th percentile of that time in seconds.
    """

    reads: int
    allowed: int
    allowed_on_replica: int
    on_replica: int
    refused: int
    wait_p50: float
    wait_p99: float


class _ReadCounts:
    """Counts the reads of all sessions, and their waits in seconds."""

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
    """The times at which the entries of the primary's log were written."""

    def __init__(self, group: ModelGroup) -> None:
        self._group = group
        self._times: list[float] = []

    def record(self) -> None:
        log = self._group.primaries()[0].log
        now = trio.current_time()
        self._times += [now] * (len(log) - len(self._times))

    def replica_could_serve(
        self, least: Position, max_age: float | None
    ) -> bool:
        """Returns whether some replica could serve a read now.

        Args:
            least: The position that the replica's log must have reached.
            max_age: The greatest age of the replica's data in seconds;
                ``None`` if any age will do.
        """
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
    """A session that writes and reads, with a think time in between.

    Args:
        group: The group that the session writes to.
        watch: The watch that chooses the members for reads.
        commit_times: Records when entries were written.
        counts: Counts the reads of all sessions.
        rng: Draws the think times, the operations and the ages.
    """

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
        allowed = self._commit_times.replica_could_serve(
            self._last_write, max_age
        )
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
    """Runs concurrent sessions and counts the reads that go to replicas.

    Args:
        deployment: The deployment whose network delays are modelled.
        case: The parameters of the run.
        seed: The seed of the run.

    Returns:
        The counts and the waits of the reads.

    Raises:
        RuntimeError: The watch considers a member dead in a run without
            faults.
    """

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
            for _ in range(SESSION_COUNT):
                session = _Session(group, watch, commit_times, counts, rng)
                nursery.start_soon(session.run, case)
            await trio.sleep(RUN_SECONDS)
            nursery.cancel_scope.cancel()
        if watch.snapshot().members[0].liveness is Liveness.DEAD:
            raise RuntimeError(
                "a member is considered dead in a run without faults"
            )
        return counts.share()

    return run_in_virtual_time(scenario)
