"""A transaction whose primary is replaced while it waits for a slot."""

import pytest
import trio
import trio.testing

from lagoonstair._types import Address
from lagoonstair.primacy import GroupRecord
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._targets import Caller, Targets
from lagoonstair.proxy._transactions import Transaction, Transactions
from lagoonstair.routing import Consistency, Endpoint, Route
from lagoonstair.standins.statements import Group
from lagoonstair.statements import Code, Done, Run, Session

HOST = "127.0.0.1"
ROUTE = Route(
    name="r",
    group="g",
    consistency=Consistency.PRIMARY,
    timeout=5.0,
    target_latency=0.2,
    priority=1,
    max_staleness=0.0,
    open_to_all=False,
)


@pytest.mark.parametrize("replaced", [False, True])
async def test_a_commit_that_waited_is_not_sent_to_a_replaced_primary(
    replaced,
):
    group = Group("g", lambda database: None)
    database = group.add("d1", slots=1, max_connections=9)
    async with trio.open_nursery() as nursery:
        await nursery.start(database.serve, HOST)
        fleet = Fleet("i1", "a", Metrics())
        fleet.set_endpoint(
            Endpoint(
                name="d1",
                group="g",
                address=Address(HOST, database.port),
                failure_domain="a",
                slots=1,
                leaving=False,
                says_primary=True,
                started=1,
            )
        )
        fleet.primacy.set_voters(["i1"], 1)
        fleet.set_record("g", GroupRecord(epoch=1, primary="d1"))
        transactions = Transactions(fleet, Targets(fleet, Metrics()))
        caller = Caller(workspace="w", session=Session())
        tx = Transaction(
            route=ROUTE, read_only=False, began=trio.current_time()
        )
        write = Run(True, "WRITE a 1", alone=False)
        assert isinstance(await transactions.run(caller, tx, write, "q1"), Done)
        results = []

        async def commit():
            results.append(await transactions.commit(caller, tx, "q2"))

        async with (
            trio.open_nursery() as work,
            fleet.pools["d1"].statement("other", 1e12),
        ):
            work.start_soon(commit)
            await trio.testing.wait_all_tasks_blocked(0.05)
            if replaced:
                fleet.primacy.note_start("g", 2)
        if replaced:
            assert results[0].code is Code.ABORTED
            assert database.log == []
        else:
            assert isinstance(results[0], Done)
            assert len(database.log) == 1
        assert not fleet.uses["g"]
        nursery.cancel_scope.cancel()
