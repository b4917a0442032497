"""A withdrawn key runs nothing more, and what it has begun is rolled back."""

import pytest
import trio

from proxy_fleet import config, proxy_fleet

SLOW_SECONDS = 0.6
"""Time in seconds that a slow database takes for a statement."""


def _withdraw(fleet, version=2, keys=(), **changes):
    """Withdraws the keys of the first workspace, except for the given ones."""
    cfg = config(version=version, **changes)
    cfg["tenants"][0]["api_keys"] = [*keys]
    fleet.store.put("op", "config", cfg)


async def _is_known(fleet, version=2):
    for name in fleet.processes:
        await fleet.until(
            lambda name=name: any(
                line["event"] == "configuration in force"
                and line["version"] == version
                for line in fleet.log(name)
            )
        )


async def _open_transaction(fleet, **where):
    caller = await fleet.caller(**where)
    assert (await caller.ask("q1", "BEGIN"))[-1].startswith("READY T")
    assert "COMPLETE" in (await caller.ask("q2", "WRITE a 1"))[0]
    return caller


def _runs(fleet):
    return {
        run.request_id
        for database in fleet.group.databases.values()
        for run in database.runs
    }


# A withdrawn key went on running statements in an open transaction.
@pytest.mark.parametrize("text", ["READ a", "WRITE a 2", "COMMIT", "SET x 1"])
async def test_a_withdrawn_key_runs_nothing_in_an_open_transaction(
    tmp_path, text
):
    async with proxy_fleet(tmp_path, instances=2) as fleet:
        for name in fleet.processes:
            caller = await _open_transaction(fleet, instance=name)
            _withdraw(fleet, version := 2 * int(name[1:]))
            await _is_known(fleet, version)
            answer = await caller.ask("q3", text)
            state = "I" if text == "COMMIT" else "E"
            assert answer[0].startswith("ERROR NOAUTH")
            assert answer[-1].startswith(f"READY {state}")
            _withdraw(fleet, version + 1, ["key-w1"])
            await _is_known(fleet, version + 1)
        assert "q3" not in _runs(fleet)
        assert fleet.group.primary.log == []


# The caller of a withdrawn key kept its transaction open by waiting.
async def test_the_transaction_of_a_withdrawn_key_ends_at_the_database(
    tmp_path,
):
    async with proxy_fleet(tmp_path) as fleet:
        caller = await _open_transaction(fleet)
        connections = fleet.group.primary.open_connections
        _withdraw(fleet)
        await fleet.until(
            lambda: fleet.group.primary.open_connections < connections
        )
        answer = await caller.ask("q3", "ROLLBACK")
        assert answer[0] == "COMPLETE -"
        assert await caller.answer() == []


# A commit that was sent before the key was withdrawn may have run.
async def test_a_commit_that_is_under_way_is_answered(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        caller = await _open_transaction(fleet)
        fleet.group.primary.statement_seconds = SLOW_SECONDS
        async with trio.open_nursery() as nursery:

            async def commit():
                answer = await caller.ask("q3", "COMMIT")
                assert answer[0].startswith("COMPLETE")

            nursery.start_soon(commit)
            await fleet.until(lambda: "q3" in fleet.group.primary.received_ids)
            _withdraw(fleet)
            await _is_known(fleet)
        assert len(fleet.group.primary.log) == 1


# Statements that had waited for a slot ran for a key that was withdrawn.
@pytest.mark.parametrize("in_transaction", [False, True])
async def test_a_waiting_statement_of_a_withdrawn_key_does_not_run(
    tmp_path, in_transaction
):
    async with proxy_fleet(tmp_path) as fleet:
        primary = fleet.group.primary
        caller = await fleet.caller()
        if in_transaction:
            await caller.ask("q1", "BEGIN")
        primary.busy_answers = 10_000
        async with trio.open_nursery() as nursery:

            async def write():
                answer = await caller.ask("q2", "WRITE a 1")
                assert answer[0].startswith("ERROR NOAUTH")

            nursery.start_soon(write)
            await fleet.until(lambda: primary.busy_answers < 9_990)
            _withdraw(fleet)
            await _is_known(fleet)
            primary.busy_answers = 0
        assert "q2" not in _runs(fleet)


# Only the key that is withdrawn is affected, and it may return.
async def test_other_keys_and_a_key_that_returns_go_on(tmp_path):
    cfg = config()
    cfg["tenants"][0]["api_keys"] = ["key-w1", "key-other"]
    async with proxy_fleet(tmp_path, cfg=cfg) as fleet:
        caller = await _open_transaction(fleet)
        other = await _open_transaction(fleet, key="key-other")
        _withdraw(fleet, keys=["key-other"])
        await _is_known(fleet)
        answer = await other.ask("q3", "COMMIT")
        assert answer[0].startswith("COMPLETE")
        _withdraw(fleet, version=3, keys=["key-other", "key-w1"])
        await _is_known(fleet, 3)
        assert (await caller.ask("q4", "ROLLBACK"))[-1].startswith("READY I")
        again = await fleet.caller()
        assert "COMPLETE" in (await again.ask("q5", "WRITE a 3"))[0]


# The removal of a route takes effect from the next transaction onward.
async def test_an_open_transaction_outlasts_its_route(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        caller = await _open_transaction(fleet)
        _withdraw(fleet, keys=["key-w1"], routes=[])
        await _is_known(fleet)
        assert "COMPLETE" in (await caller.ask("q3", "WRITE a 2"))[0]
        answer = await caller.ask("q4", "COMMIT")
        assert answer[0].startswith("COMPLETE")


# A key that moves to another workspace ran statements for the previous one.
async def test_a_key_that_moves_ends_the_open_transaction(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        caller = await _open_transaction(fleet)
        cfg = config(version=2)
        cfg["tenants"][0]["api_keys"] = []
        cfg["tenants"][1]["api_keys"] += ["key-w1"]
        fleet.store.put("op", "config", cfg)
        await _is_known(fleet)
        answer = await caller.ask("q3", "COMMIT")
        assert answer[0].startswith("ERROR NOAUTH")
        assert fleet.group.primary.log == []
