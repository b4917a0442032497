"""Tests of statements whose endpoint is busy, against a stand-in."""

import dataclasses

import trio

from lagoonstair.proxy._executor import Executor
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._targets import Caller, TargetSelector
from lagoonstair.proxy._transactions import Transaction, TransactionManager
from lagoonstair.routing import Consistency
from lagoonstair.statements import ErrorCode, Run, Session, Success
from proxy_fleet import ROUTE, one_endpoint

READ = Run(False, "READ a", autocommit=True)
WRITE = Run(True, "WRITE a 1", autocommit=True)
REFUSALS = 7
"""Number of refusals; more than the attempts allowed for other failures."""


def _caller():
    return Caller(workspace="w", session=Session())


async def _run(fleet, run, **changes):
    executor = Executor(TargetSelector(fleet, Metrics()), Metrics())
    route = dataclasses.replace(ROUTE, **changes)
    return await executor.run(_caller(), route, run, "q1")


async def test_a_statement_waits_while_its_endpoint_is_busy():
    async with one_endpoint() as (fleet, database):
        for consistency in Consistency:
            database.busy_answers = REFUSALS
            done = await _run(fleet, READ, consistency=consistency)
            assert isinstance(done, Success)
        database.busy_answers = REFUSALS
        assert isinstance(await _run(fleet, WRITE), Success)
        assert len(database.log) == 1


async def test_a_statement_is_refused_when_its_time_is_over():
    async with one_endpoint() as (fleet, database):
        database.busy_answers = 10_000
        with trio.fail_after(5):
            refused = await _run(fleet, WRITE, timeout=0.3)
        assert refused.code is ErrorCode.BUSY
        assert "retry_after_ms=" in refused.message
        assert database.log == []


async def test_a_transaction_begins_anew_until_a_statement_of_it_has_run():
    async with one_endpoint() as (fleet, database):
        transactions = TransactionManager(
            fleet, TargetSelector(fleet, Metrics())
        )
        tx = Transaction(route=ROUTE, read_only=False, began=0.0)
        caller = _caller()
        database.busy_answers = REFUSALS
        write = dataclasses.replace(WRITE, autocommit=False)
        assert isinstance(
            await transactions.run(caller, tx, write, "1"), Success
        )
        assert isinstance(await transactions.commit(caller, tx, "2"), Success)
        assert [commit.writes[0][0] for commit in database.log] == ["1"]
        assert database.max_open_connections == 1


async def test_a_transaction_that_has_run_something_never_begins_anew():
    async with one_endpoint() as (fleet, database):
        transactions = TransactionManager(
            fleet, TargetSelector(fleet, Metrics())
        )
        tx = Transaction(route=ROUTE, read_only=False, began=0.0)
        caller = _caller()
        write = dataclasses.replace(WRITE, autocommit=False)
        assert isinstance(
            await transactions.run(caller, tx, write, "1"), Success
        )
        database.busy_answers = 1
        refused = await transactions.run(caller, tx, write, "2")
        assert refused.code is ErrorCode.BUSY
        assert "retry_after_ms=" in refused.message
        assert (
            await transactions.commit(caller, tx, "3")
        ).code is ErrorCode.ABORTED
        assert database.log == []
        # The connection was rolled back, not closed.
        assert await fleet.pools["d1"].acquire("w", deadline=1e12, priority=1)
        assert database.max_open_connections == 1
        assert fleet.pools["d1"].opened_count == 1


async def test_a_transaction_cut_off_between_its_statements_is_not_reopened():
    async with one_endpoint() as (fleet, database):
        transactions = TransactionManager(
            fleet, TargetSelector(fleet, Metrics())
        )
        tx = Transaction(route=ROUTE, read_only=False, began=0.0)
        caller = _caller()
        write = dataclasses.replace(WRITE, autocommit=False)
        assert isinstance(
            await transactions.run(caller, tx, write, "1"), Success
        )
        transactions.abandon_group("g")
        refused = await transactions.run(caller, tx, write, "2")
        assert refused.code is ErrorCode.ABORTED
        assert database.log == []
