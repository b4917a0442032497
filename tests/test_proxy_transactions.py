"""Tests of transactions and writes whose primary is replaced meanwhile."""

import dataclasses

import pytest
import trio
import trio.testing

from lagoonstair._types import Position
from lagoonstair.evacuation import EvacuationSet
from lagoonstair.features import Features
from lagoonstair.proxy._link import Link
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._targets import Caller, TargetSelector
from lagoonstair.proxy._transactions import Transaction, TransactionManager
from lagoonstair.statements import ErrorCode, Run, Session, Success
from proxy_fleet import ROUTE, one_endpoint


@pytest.mark.parametrize("replaced", [False, True])
async def test_a_commit_that_waited_is_not_sent_to_a_replaced_primary(
    replaced,
):
    async with one_endpoint() as (fleet, database):
        transactions = TransactionManager(
            fleet, TargetSelector(fleet, Metrics())
        )
        caller = Caller(workspace="w", session=Session())
        tx = Transaction(
            route=ROUTE, read_only=False, began=trio.current_time()
        )
        write = Run(True, "WRITE a 1", autocommit=False)
        done = await transactions.run(caller, tx, write, "q1")
        assert isinstance(done, Success)
        results = []

        async def commit():
            results.append(await transactions.commit(caller, tx, "q2"))

        async with (
            trio.open_nursery() as work,
            fleet.pools["d1"].statement_slot("other", 1e12),
        ):
            work.start_soon(commit)
            await trio.testing.wait_all_tasks_blocked(0.05)
            if replaced:
                fleet.primacy.note_promotion("g", 2)
        if replaced:
            assert results[0].code is ErrorCode.ABORTED
            assert database.log == []
        else:
            assert isinstance(results[0], Success)
            assert len(database.log) == 1
        assert not fleet.primary_uses["g"]


async def test_a_write_whose_proof_ran_out_is_still_owed_to_its_session():
    async with one_endpoint() as (fleet, _):
        targets = TargetSelector(fleet, Metrics())
        pool = fleet.pools["d1"]
        caller = Caller(workspace="w", session=Session())
        link = await pool.acquire("w", deadline=1e12, priority=1)
        started_at = trio.current_time()
        await link.run("q1", "WRITE a 1")
        fleet.primacy.note_promotion("g", 2)
        targets.record_answer(caller, ROUTE, pool, link, started_at, True)
        required = caller.writes.required_position("g", Position(1, 0), 0.0)
        assert required == Position(1, 1)
        # The primary was proven only when the connection was opened, before
        # the write.
        assert fleet.covering("g", started_at) is None
        assert fleet.covering("g", started_at - 1) == Position(1, 0)


async def test_a_transaction_stops_when_its_primary_is_no_longer_proved():
    async with one_endpoint() as (fleet, database):
        transactions = TransactionManager(
            fleet, TargetSelector(fleet, Metrics())
        )
        caller = Caller(workspace="w", session=Session())
        tx = Transaction(
            route=ROUTE, read_only=False, began=trio.current_time()
        )
        write = Run(True, "WRITE a 1", autocommit=False)
        assert isinstance(
            await transactions.run(caller, tx, write, "1"), Success
        )
        # Two more voters, neither of which has confirmed the primary.
        fleet.primacy.set_voters(["i1", "i2", "i3"], 2)
        refused = await transactions.run(caller, tx, write, "2")
        assert refused.code is ErrorCode.ABORTED
        assert [name for name, _ in database.statements].count("2") == 0
        assert database.log == []


async def test_the_hard_stop_does_not_show_an_endpoint_out_of_reach():
    """No probe of an excluded endpoint would refute it until it returns."""
    async with one_endpoint(Features(5.0)) as (fleet, database):
        transactions = TransactionManager(
            fleet, TargetSelector(fleet, Metrics())
        )
        caller = Caller(workspace="w", session=Session())
        now = trio.current_time()
        tx = Transaction(route=ROUTE, read_only=False, began=now)
        write = Run(True, "WRITE a 1", autocommit=False)
        done = await transactions.run(caller, tx, write, "q1")
        assert isinstance(done, Success)
        database.statement_seconds = 1.0
        results = []

        async def run():
            results.append(await transactions.run(caller, tx, write, "q2"))

        async with trio.open_nursery() as work:
            work.start_soon(run)
            await trio.sleep(0.1)
            now = trio.current_time()
            fleet.evacuation.apply(
                EvacuationSet(1, 1, ("a",)), now, current_at=now - 5.0
            )
            assert transactions.abandon_stopped() == 1
        assert results[0].code is ErrorCode.ABORTED
        assert fleet.pools["d1"].unreachable_since is None


async def test_no_values_follow_a_begin_that_lasted_beyond_the_hard_stop(
    monkeypatch,
):
    """The transaction is not open before the answer, so nothing ends it."""
    begin, sent = Link.run_internal, []

    async with one_endpoint(Features(5.0)) as (fleet, _):

        async def run_internal(link, *args):
            reply = await begin(link, *args)
            now = trio.current_time()
            fleet.evacuation.apply(
                EvacuationSet(1, 1, ("a",)), now, current_at=now - 5.0
            )
            return reply

        async def apply_session(link, values, shape):
            sent.append(values)
            return ""

        monkeypatch.setattr(Link, "run_internal", run_internal)
        monkeypatch.setattr(Link, "apply_session", apply_session)
        transactions = TransactionManager(
            fleet, TargetSelector(fleet, Metrics())
        )
        caller = Caller(workspace="w", session=Session())
        caller.session.values.update(zone="high")
        tx = Transaction(
            route=ROUTE, read_only=False, began=trio.current_time()
        )
        write = Run(True, "WRITE a 1", autocommit=False)
        refused = await transactions.run(caller, tx, write, "q1")
        assert refused.code is ErrorCode.BUSY
        assert not sent
        assert not transactions._open


def _transaction(**changes):
    return Transaction(
        **{
            "route": ROUTE,
            "read_only": False,
            "began": trio.current_time(),
            **changes,
        }
    )


def _values(database, request_id):
    (values,) = [
        run.values for run in database.runs if run.request_id == request_id
    ]
    return values


READ = Run(False, "READ a", autocommit=False)

WRITE = Run(True, "WRITE a 1", autocommit=False)


# A commit ran without the values that its client had set since its last
# statement, or with those of another client.
@pytest.mark.parametrize("read_only", [False, True])
@pytest.mark.parametrize("statement", [None, READ, WRITE])
@pytest.mark.parametrize("busy", [0, 1])
async def test_a_commit_runs_with_the_values_of_its_session(
    read_only, statement, busy
):
    if read_only and statement is WRITE:
        statement = READ
    async with one_endpoint() as (fleet, database):
        transactions = TransactionManager(
            fleet, TargetSelector(fleet, Metrics())
        )
        # Leaves values on the connection that the next session does not have.
        other = Caller(workspace="w", session=Session(values={"x": "1"}))
        tx = _transaction()
        await transactions.run(other, tx, WRITE, "o1")
        other.session.values["y"] = "2"
        assert isinstance(await transactions.commit(other, tx, "o2"), Success)
        assert _values(database, "o2") == {"x": "1", "y": "2"}

        caller = Caller(workspace="w", session=Session(values={"x": "3"}))
        tx = _transaction(read_only=read_only)
        if statement is not None:
            database.busy_answers = busy
            await transactions.run(caller, tx, statement, "q1")
            assert _values(database, "q1") == {"x": "3"}
            caller.session.values["z"] = "4"
        done = await transactions.commit(caller, tx, "q2")
        assert isinstance(done, Success)
        assert _values(database, "q2") == caller.session.values
        assert database.max_open_connections == 1


# A commit that was not sent must not be reported as in doubt, nor must a value
# that may not be set be taken for set.
@pytest.mark.parametrize("fault", ["refused", "silent"])
async def test_a_commit_whose_values_can_not_be_set_is_not_sent(fault):
    async with one_endpoint() as (fleet, database):
        transactions = TransactionManager(
            fleet, TargetSelector(fleet, Metrics())
        )
        caller = Caller(workspace="w", session=Session())
        route = dataclasses.replace(ROUTE, timeout=0.5)
        tx = _transaction(route=route)
        await transactions.run(caller, tx, WRITE, "q1")
        caller.session.values["x"] = "1"
        if fault == "refused":
            database.refused_texts = {"SET x 1"}
        else:
            database.silent_texts = {"SET x 1"}
        refused = await transactions.commit(caller, tx, "q2")
        assert refused.code is ErrorCode.ABORTED
        assert "q2" not in database.received_ids
        assert database.log == []
        database.refused_texts = database.silent_texts = set()
        tx = _transaction()
        done = await transactions.commit(caller, tx, "q3")
        assert isinstance(done, Success)
        assert _values(database, "q3") == {"x": "1"}
        assert not fleet.primary_uses["g"]


# The values that precede a commit exceeded the rate of a cold endpoint.
async def test_the_values_before_a_commit_need_tokens_too():
    async with one_endpoint() as (fleet, _):
        targets = TargetSelector(fleet, Metrics())
        transactions = TransactionManager(fleet, targets)
        caller = Caller(workspace="w", session=Session())
        tx = _transaction()
        await transactions.run(caller, tx, WRITE, "q1")
        caller.session.values.update(x="1", y="2")
        taken = []

        async def admit_cold(target, statements=1):
            taken.append(statements)

        targets.is_cold = lambda pool: True
        targets.admit_cold = admit_cold
        assert isinstance(await transactions.commit(caller, tx, "q2"), Success)
        assert taken == [3]
