"""A session's reads see all of its own writes, whichever group took them."""

import trio
from hypothesis import given
from hypothesis import strategies as st

from lagoonstair._types import Position
from lagoonstair.proxy._executor import Executor
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._targets import Caller, TargetSelector
from lagoonstair.proxy._transactions import Transaction, TransactionManager
from lagoonstair.routing import SessionWrites
from lagoonstair.routing._writes import MAX_GROUPS
from lagoonstair.statements import Failure, Run, Session, Success
from proxy_fleet import ANSWER_SECONDS, ROUTE, config, one_endpoint, proxy_fleet

LAG_SECONDS = 60.0
"""Replication lag in seconds; longer than the test takes."""

READS = 10
GROUPS = [f"g{number}" for number in range(MAX_GROUPS + 4)]


def _routes(group):
    """Returns the routes of the usual configuration, all to one group."""
    return [
        {**route, "service": group, "max_staleness_ms": 5000}
        for route in config()["routes"]
    ]


async def test_a_session_sees_its_write_after_its_route_moved_and_back(
    tmp_path,
):
    """A write to another group once displaced the position of the first."""
    async with proxy_fleet(tmp_path) as fleet:
        await fleet.add_groups(["h"])
        services = [{"name": name, "max_conns": 30} for name in "gh"]
        await fleet.until(lambda: fleet.store.row("lagoonstair", "group/h"))
        caller = await fleet.caller("s")
        await caller.ask("w0", "WRITE a 0")
        fleet.group.lag = LAG_SECONDS
        done = await caller.ask("w1", "WRITE a 1")
        assert done[0].startswith("COMPLETE")
        for version, group in ((2, "h"), (3, "g")):
            changed = config(
                version=version, routes=_routes(group), services=services
            )
            fleet.store.put("op", "config", changed)
            await fleet.until(lambda v=version: _in_force(fleet, v))
            if group == "h":
                done = await caller.ask("w2", "WRITE a 2")
                assert done[0].startswith("COMPLETE h")
        await _assert_reads(fleet, caller, "w1")


async def _assert_reads(fleet, caller, own_write):
    """Reads, also while the primary is busy, so that replicas are tried."""
    for number in range(READS):
        is_busy = number % 2 == 0
        fleet.group.primary.busy_answers = int(is_busy)
        answer = await caller.ask(f"r{number}", "READ a")
        is_refused = answer[0].startswith("ERROR")
        assert (is_busy and is_refused) or answer[0].endswith(
            f":{own_write}"
        ), answer


def _in_force(fleet, version):
    return any(
        line["event"] == "configuration in force" and line["version"] == version
        for line in fleet.log("i1")
    )


async def test_a_transaction_is_recorded_for_the_group_that_ran_it(tmp_path):
    """Its route may have moved between its begin and its commit."""
    async with proxy_fleet(tmp_path) as fleet:
        await fleet.add_groups(["h"])
        services = [{"name": name, "max_conns": 30} for name in "gh"]
        await fleet.until(lambda: fleet.store.row("lagoonstair", "group/h"))
        caller = await fleet.caller("s")
        fleet.group.lag = LAG_SECONDS
        await caller.ask("t1", "BEGIN")
        await caller.ask("t2", "WRITE a 1")
        for version, group in ((2, "h"), (3, "g")):
            changed = config(
                version=version, routes=_routes(group), services=services
            )
            fleet.store.put("op", "config", changed)
            await fleet.until(lambda v=version: _in_force(fleet, v))
            if group == "h":
                done = await caller.ask("t3", "COMMIT")
                assert done[0].startswith("COMPLETE d"), done
        await _assert_reads(fleet, caller, "t2")


async def test_a_refused_write_does_not_displace_an_acknowledged_one():
    """The position in a refusal may lack what the session wrote before."""
    async with one_endpoint() as (fleet, database):
        targets = TargetSelector(fleet, Metrics())
        executor = Executor(targets, Metrics())
        caller = Caller(workspace="w", session=Session())
        write = Run(True, "WRITE a 1", autocommit=True)
        with trio.fail_after(ANSWER_SECONDS):
            done = await executor.run(caller, ROUTE, write, "q1")
            assert isinstance(done, Success)
            # It has lost its lead, and with it the last commit.
            database.log.clear()
            database.is_primary = False
            refused = await executor.run(caller, ROUTE, write, "q2")
            assert isinstance(refused, Failure)
            tx = Transaction(route=ROUTE, read_only=False, began=0.0)
            manager = TransactionManager(fleet, targets)
            refused = await manager.run(caller, tx, write, "q3")
            assert isinstance(refused, Failure)
        required = caller.writes.required_position("g", Position(1, 0), 0.0)
        assert required == Position(1, 1)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(GROUPS),
            st.booleans(),
            st.floats(min_value=0, max_value=5),
        ),
        max_size=60,
    ),
    st.floats(min_value=0, max_value=20),
)
def test_a_read_requires_each_write_of_its_session(steps, max_staleness):
    """However many groups, and with answers that lack a position."""
    writes = SessionWrites()
    now = 0.0
    last = {}
    for offset, (group, has_position, pause) in enumerate(steps, 1):
        now += pause
        position = Position(1, offset)
        writes.record(group, position if has_position else None, now)
        last[group] = position, now
        assert len(writes._last) <= MAX_GROUPS
    since = now - max_staleness
    for group, (position, acknowledged_at) in last.items():
        covering = max(
            (p for p, at in last.values() if at < since),
            default=Position(1, 0),
        )
        required = writes.required_position(group, covering, since)
        assert (
            required is None or required >= position or acknowledged_at < since
        )


def test_a_session_within_the_bound_reads_at_replicas():
    """Only what is not tracked sends a session's reads to the primary."""
    writes = SessionWrites()
    for number, group in enumerate(GROUPS[:MAX_GROUPS]):
        writes.record(group, Position(1, number), float(number))
    for number, group in enumerate(GROUPS[:MAX_GROUPS]):
        required = writes.required_position(group, Position(1, 0), -1.0)
        assert required == Position(1, number)
    assert writes.required_position("other", Position(1, 7), -1.0) == (1, 7)
    writes.record("other", Position(2, 1), 9.0)
    assert writes.required_position(GROUPS[0], Position(1, 0), 0.0) is None
    assert writes.required_position(GROUPS[0], Position(1, 3), 0.1) == (1, 3)
