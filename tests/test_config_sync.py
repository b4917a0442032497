"""Checks that instances stay in sync under store and network faults."""

import pytest
import trio

from config_fakes import Fleet
from config_samples import BASE, KEYS, workspace
from lagoonstair import config
from lagoonstair.config._messages import ConfigPush
from lagoonstair.config._peer_sync import MAX_PUSH_ATTEMPTS
from lagoonstair.exceptions import ErrorKind, LagoonstairError

SIZE = 7
WITHDRAW = config.WithdrawKey(KEYS["kosice"].id)


@pytest.fixture
async def fleet(nursery):
    fleet = Fleet(nursery, SIZE)
    await fleet.start_all()
    await fleet.syncs[0].submit(BASE)
    return fleet


def _live(sync):
    return sync.current.key_is_live(KEYS["kosice"].id)


async def test_change_is_in_force_on_all_when_pushed(fleet, autojump_clock):
    answer = await fleet.syncs[1].submit(WITHDRAW)
    assert answer.in_force
    for sync in fleet.syncs.values():
        await fleet.until(sync, lambda sync=sync: not _live(sync))
    await fleet.until(
        fleet.syncs[1],
        lambda: fleet.syncs[1].status().last_change_seconds is not None,
    )


async def test_poll_brings_what_pushes_lost(fleet, autojump_clock):
    fleet.net.lost_kinds = {"ConfigPush", "ConfigAsk"}
    answer = await fleet.syncs[1].submit(WITHDRAW)
    assert not answer.in_force
    assert answer.pending == tuple(f"i{n}" for n in range(SIZE) if n != 1)
    start = trio.current_time()
    for sync in fleet.syncs.values():
        await fleet.until(sync, lambda sync=sync: not _live(sync))
    assert trio.current_time() - start < fleet.timing.min_poll_interval * 2


async def test_lost_answer_is_known_as_the_own_write(fleet, autojump_clock):
    fleet.platform.lose_answers = 1
    before = fleet.syncs[2].current.version
    answer = await fleet.syncs[2].submit(WITHDRAW)
    assert answer.version == before + 1
    assert not answer.repeated


async def test_repeated_operation_has_no_further_effect(fleet, autojump_clock):
    put = config.PutWorkspace(workspace("kosice", 5.0))
    first = await fleet.syncs[1].submit(put, operation_id="op")
    second = await fleet.syncs[2].submit(put, operation_id="op")
    assert (second.version, second.repeated) == (first.version, True)
    with pytest.raises(LagoonstairError) as caught:
        await fleet.syncs[3].submit(WITHDRAW, operation_id="op")
    assert caught.value.kind is ErrorKind.REQUEST_ID_REUSED


async def test_racing_edits_of_one_item_conflict_and_others_pass(
    fleet, autojump_clock
):
    version = fleet.syncs[0].current.version
    results = {}

    async def edit(number, change):
        try:
            results[number] = await fleet.syncs[number].submit(
                change, expected_version=version
            )
        except LagoonstairError as exc:
            results[number] = exc

    async with trio.open_nursery() as edits:
        for number, rate in ((1, 5.0), (2, 6.0)):
            put = config.PutWorkspace(workspace("kosice", rate))
            edits.start_soon(edit, number, put)
        other = config.PutWorkspace(workspace("zilina", 7.0))
        edits.start_soon(edit, 3, other)
    lost = [r for r in results.values() if isinstance(r, LagoonstairError)]
    assert [exc.kind for exc in lost] == [ErrorKind.CONFLICT]
    assert "workspaces/kosice changed at version" in lost[0].message
    assert results[3].in_force


async def test_store_down_for_all_leaves_all_serving(fleet, autojump_clock):
    fleet.store_down()
    await trio.sleep(120)
    now = trio.current_time()
    assert all(sync.is_fresh(now) for sync in fleet.syncs.values())
    with pytest.raises(LagoonstairError) as caught:
        await fleet.syncs[0].submit(WITHDRAW)
    assert caught.value.kind is ErrorKind.UNAVAILABLE


async def test_instance_cut_from_store_and_peers_refuses(fleet, autojump_clock):
    fleet.store_down(6)
    fleet.net.isolate(fleet.addresses[6], fleet.addresses)
    answer = await fleet.syncs[0].submit(WITHDRAW)
    assert answer.in_force
    assert answer.pending == ("i6",)
    await trio.sleep(fleet.timing.freshness_bound)
    with pytest.raises(LagoonstairError) as caught:
        fleet.syncs[6].require_fresh(trio.current_time())
    assert caught.value.kind is ErrorKind.NOT_FRESH
    assert "store" in fleet.syncs[6].status().waiting_for


async def test_instance_cut_from_the_store_alone_follows_its_peers(
    fleet, autojump_clock
):
    fleet.store_down(6)
    await fleet.syncs[0].submit(WITHDRAW)
    await trio.sleep(30)
    assert fleet.syncs[6].is_fresh(trio.current_time())
    assert not _live(fleet.syncs[6])


async def test_majority_without_the_store_keeps_a_change_pending(
    fleet, autojump_clock
):
    fleet.store_down(0, 1, 2, 3)
    for number in (4, 5, 6):
        fleet.net.isolate(fleet.addresses[number], fleet.addresses[:4])
    answer = await fleet.syncs[4].submit(WITHDRAW)
    assert not answer.in_force
    assert answer.pending == ("i0", "i1", "i2", "i3")
    await trio.sleep(30)
    now = trio.current_time()
    assert all(sync.is_fresh(now) for sync in fleet.syncs.values())
    fleet.platform.down = set()
    fleet.net.cut = set()
    await fleet.until(fleet.syncs[0], lambda: not _live(fleet.syncs[0]))


async def test_restart_in_an_outage_serves_by_the_majority(
    fleet, autojump_clock
):
    version = fleet.syncs[0].current.version
    fleet.store_down()
    fleet.kill(3)
    sync = await fleet.start(3)
    await sync.wait_fresh()
    assert sync.current.version == version
    assert not sync.status().joined


async def test_restart_of_all_in_an_outage_waits_for_the_store(
    fleet, autojump_clock
):
    fleet.store_down()
    for number in range(SIZE):
        fleet.kill(number)
    for number in range(SIZE):
        await fleet.start(number)
    await trio.sleep(60)
    now = trio.current_time()
    assert not any(sync.is_fresh(now) for sync in fleet.syncs.values())
    fleet.platform.down = set()
    for sync in fleet.syncs.values():
        await sync.wait_fresh()
        assert _live(sync)
    answer = await fleet.syncs[0].submit(WITHDRAW)
    assert answer.in_force


async def test_slow_store_stops_neither_serving_nor_changes(
    fleet, autojump_clock
):
    fleet.platform.delay = 1.2
    await trio.sleep(30)
    answer = await fleet.syncs[0].submit(WITHDRAW)
    assert answer.in_force
    now = trio.current_time()
    assert all(sync.is_fresh(now) for sync in fleet.syncs.values())


async def test_long_log_boots_from_a_snapshot(fleet, autojump_clock):
    for rate in range(1, 400):
        put = config.PutWorkspace(workspace("kosice", float(rate)))
        await fleet.syncs[0].submit(put)
    assert fleet.platform.objects
    fleet.kill(1)
    sync = await fleet.start(1)
    await sync.wait_fresh()
    assert sync.current.limits("kosice").rate == 399
    read = [k for k in fleet.platform.rows if k.startswith("config/log/")]
    assert len(read) >= 400


async def test_leaving_instance_is_no_longer_waited_for(fleet, autojump_clock):
    await fleet.syncs[6].leave()
    fleet.kill(6)
    answer = await fleet.syncs[0].submit(WITHDRAW)
    assert answer.in_force
    assert "i6" not in answer.pending


async def test_push_to_a_member_that_does_not_advance_is_given_up(
    fleet, autojump_clock
):
    calls = []

    async def refuse(push, ctx):
        calls.append(push)
        if len(calls) > 2 * MAX_PUSH_ATTEMPTS:
            raise LagoonstairError(ErrorKind.INTERNAL, "too many pushes")
        return fleet.syncs[6]._core.version_report(trio.current_time())

    fleet.net.registries[fleet.addresses[6]].register(ConfigPush, refuse)
    fleet.store_down(6)
    answer = await fleet.syncs[0].submit(WITHDRAW)
    assert answer.in_force
    await trio.sleep(fleet.timing.accept_timeout)
    assert 0 < len(calls) <= MAX_PUSH_ATTEMPTS
