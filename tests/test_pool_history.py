"""Concurrent histories of transactions under faults.

Statements of different transactions must never mix on a connection, and each
caller must receive only its own answers.
"""

import hypothesis
import msgspec
import pytest
import trio
from hypothesis import strategies as st

from databases import start_one
from histories import broken, mixed
from lagoonstair.exceptions import LagoonstairError, Outcome
from lagoonstair.pool import (
    ConnectionPool,
    PinnedTransactions,
    PoolLimits,
    TransactionKey,
)
from lagoonstair.ports import (
    EndpointRefusedError,
    EndpointUnreachableError,
    ResultUnknownError,
    Run,
    Statement,
)
from lagoonstair.retries import classify_failure
from lagoonstair.standins.database import Database, Received
from soak import examples

SCHEMA = "CREATE TABLE marks (tag TEXT, step INTEGER);"
MARK = "INSERT INTO marks VALUES (:tag, :step) RETURNING tag, step"
FAULTS = ("drop_before", "drop_after", "crossed", "truncated", "hold_after")
WORKERS = 4
ERRORS = (
    EndpointRefusedError,
    EndpointUnreachableError,
    ResultUnknownError,
    LagoonstairError,
)


class _Job(msgspec.Struct, frozen=True):
    """A request of a worker and the fault that occurs during it."""

    size: int
    ending: str
    fault: str | None
    at: int
    cancel: bool


JOBS = st.lists(
    st.builds(
        _Job,
        size=st.integers(1, 3),
        ending=st.sampled_from(("commit", "rollback", "leave", "run")),
        fault=st.none() | st.sampled_from(FAULTS),
        at=st.integers(0, 3),
        cancel=st.booleans(),
    ),
    min_size=4,
    max_size=16,
)


class _JobRunner:
    """Runs jobs against one database and records the reported outcomes."""

    def __init__(self, db: Database, pool: ConnectionPool) -> None:
        self._db = db
        self._pool = pool
        self.pins = PinnedTransactions(pool, limit=4, idle_seconds=1e6)
        self.claims: dict[str, Outcome] = {}
        self.foreign: list[str] = []

    async def work(self, jobs: dict[str, _Job]) -> None:
        for tag, job in jobs.items():
            try:
                self.claims[tag] = await self._job(tag, job)
            except ERRORS as exc:
                self.claims[tag] = classify_failure(exc).outcome
            finally:
                clear = {job.fault: 0} if job.fault else {}
                self._db.faults.change({"held": False} | clear)

    async def _job(self, tag: str, job: _Job) -> Outcome:
        marks = [
            Statement(MARK, {"tag": tag, "step": i}) for i in range(job.size)
        ]
        if job.ending == "run":
            return await self._step(job, 0, self._run, tag, marks)
        key = TransactionKey("w", tag, tag)
        await self.pins.begin(key, 1)
        for i, mark in enumerate(marks):
            outcome = await self._step(job, i, self._execute, key, mark)
            if outcome is Outcome.UNKNOWN:
                # Cancelled: the transaction can no longer be committed.
                return Outcome.NOT_RUN
        if job.ending == "commit":
            return await self._step(job, job.size, self._commit, key)
        if job.ending == "rollback":
            await self._step(job, job.size, self.pins.rollback, key)
        self.pins.close_key(tag)
        return Outcome.NOT_RUN

    async def _step(self, job: _Job, step: int, action, *args) -> Outcome:
        """Performs an action, with the job's fault if it is due now."""
        if step != job.at:
            await action(*args)
            return Outcome.ANSWERED
        if job.fault is not None:
            self._db.faults.change({job.fault: 1, "held": True})
        outcome: Outcome | Exception = Outcome.UNKNOWN
        async with trio.open_nursery() as nursery:
            if job.cancel or job.fault == "hold_after":
                arrived = self._db.arrived + 1
                nursery.start_soon(self._cancel, arrived, nursery.cancel_scope)
            try:
                await action(*args)
                outcome = Outcome.ANSWERED
            except ERRORS as exc:
                outcome = exc
            nursery.cancel_scope.cancel()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def _cancel(self, arrived: int, scope: trio.CancelScope) -> None:
        await self._db.wait_arrived(arrived)
        scope.cancel()

    async def _run(self, tag: str, marks: list[Statement]) -> None:
        call = Run(call_id=1, term=1, workspace="w", statements=tuple(marks))
        async with self._pool.connection() as conn:
            answer = await conn.run(call)
        self._check(tag, marks, answer.results)

    async def _execute(self, key: TransactionKey, mark: Statement) -> None:
        answer = await self.pins.execute(key, [mark])
        self._check(key.transaction_id, [mark], answer.results)

    async def _commit(self, key: TransactionKey) -> None:
        answer = await self.pins.commit(key, term=1)
        tags = {row[0] for rows in answer.results for row in rows}
        if tags != {key.transaction_id}:
            self.foreign.append(key.transaction_id)

    def _check(self, tag: str, marks: list[Statement], results) -> None:
        if [rows[0] for rows in results] != [
            [tag, mark.params["step"]] for mark in marks
        ]:
            self.foreign.append(tag)


async def _play(jobs: dict[str, _Job]) -> tuple[list[str], list[str], list]:
    async with trio.open_nursery() as nursery:
        db, endpoint = await start_one(
            nursery, schema=SCHEMA, record=True, slots=2
        )
        pool = ConnectionPool(endpoint, PoolLimits(connections=3, min_idle=1))
        await nursery.start(pool.run)
        runner = _JobRunner(db, pool)
        async with trio.open_nursery() as workers:
            for i in range(WORKERS):
                own_jobs = dict(list(jobs.items())[i::WORKERS])
                workers.start_soon(runner.work, own_jobs)
        runner.pins.close_all()
        pool.close()
        db.faults.change({"held": False})
        await db.wait_idle()
        entries = db.member.page(0, whole=True).entries
        rows = [s.params["tag"] for e in entries for s in e.statements]
        sizes = {tag: job.size for tag, job in jobs.items()}
        faults = mixed(list(db.received)) + broken(rows, sizes, runner.claims)
        leftovers = [db.slots_used, len(db.open_connections)]
        nursery.cancel_scope.cancel()
    return faults, runner.foreign, leftovers


@hypothesis.settings(derandomize=True, max_examples=examples(60), deadline=None)
@hypothesis.given(jobs=JOBS)
def test_transactions_never_mix_and_answers_are_ones_own(jobs):
    named = {f"job{i}": job for i, job in enumerate(jobs)}
    assert trio.run(_play, named) == ([], [], [0, 0])


def _received(connection: int, target: str, *tags: str) -> Received:
    statements = [{"sql": "", "params": {"tag": tag}} for tag in tags]
    body = msgspec.json.encode({"statements": statements}).decode()
    return Received(connection=connection, target=target, body=body)


@pytest.mark.parametrize(
    ("history", "count"),
    [
        ([("/v1/execute", "a"), ("/v1/execute", "b")], 1),
        ([("/v1/execute", "a", "b")], 1),
        ([("/v1/execute", "a"), ("/v1/run", "b")], 1),
        ([("/v1/execute", "a"), ("closed",), ("/v1/execute", "b")], 0),
        ([("/v1/execute", "a"), ("/v1/commit",), ("/v1/run", "b")], 0),
    ],
)
def test_checker_finds_mixed_transactions(history, count):
    assert len(mixed([_received(1, *call) for call in history])) == count
    apart = [_received(i, *call) for i, call in enumerate(history)]
    assert len(mixed(apart)) == (1 if len(history) == 1 else 0)


@pytest.mark.parametrize(
    ("rows", "claim", "count"),
    [
        (1, Outcome.ANSWERED, 1),
        (0, Outcome.ANSWERED, 1),
        (2, Outcome.ANSWERED, 0),
        (2, Outcome.NOT_RUN, 1),
        (1, Outcome.UNKNOWN, 1),
        (4, Outcome.UNKNOWN, 1),
        (0, Outcome.UNKNOWN, 0),
    ],
)
def test_checker_finds_broken_requests(rows, claim, count):
    assert len(broken(["a"] * rows, {"a": 2}, {"a": claim})) == count
