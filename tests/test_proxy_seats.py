"""Primaries are replaced after most voters have left."""

import signal

import pytest
import trio

from lagoonstair.standins.statements._store import StoreFault
from proxy_fleet import proxy_fleet

INSTANCES = 7
LEAVING = ("i1", "i3", "i4", "i6")
"""The instances that leave: more than half of the voters."""

PROMOTION_SECONDS = 8
"""Time limit of a promotion, in seconds: detection, the turns of three
instances, the wait for proofs and a margin for a busy machine."""

GRACE_SECONDS = 6
"""Time in seconds within which a process that stops must end."""

ROLL_GAP_SECONDS = 1.3
"""Time in seconds between the stops of a rolling restart, which is less than
the time that a restart takes."""

SEAT_SECONDS = 40
"""Time limit in seconds in which several instances take seats one by one."""


async def _leave(fleet, names):
    for name in names:
        fleet.signal(name, signal.SIGTERM)
    for name in names:
        assert await fleet.wait_ended(name) == 0


def _withdraw(fleet, primary):
    primary.draining = True
    fleet.store.put("servers", primary.name, fleet.entry_of(primary))


def _crash(fleet, primary):
    primary.crash()


async def _restart(fleet, name):
    await _leave(fleet, [name])
    await fleet.start_instance(name)


async def _is_served(fleet, name, instance):
    caller = await fleet.caller(instance=instance)
    answer = []
    while "COMPLETE" not in " ".join(answer):
        answer = await caller.ask(name, f"WRITE 1a4 {name}")
    caller.close()


def _seated(fleet):
    rows = {
        f"i{number}": fleet.store.row("lagoonstair", f"member/i{number}")
        for number in range(1, INSTANCES + 1)
    }
    return {
        name for name, row in rows.items() if row and not row.get("resigned")
    }


# Once most voters had left, no primary was replaced any more, also after all
# instances had started again.
@pytest.mark.parametrize("remove", [_withdraw, _crash])
async def test_primaries_are_replaced_after_most_voters_have_left(
    tmp_path, remove
):
    async with proxy_fleet(tmp_path, instances=INSTANCES) as fleet:
        await _leave(fleet, LEAVING)
        old = fleet.group.primary
        remove(fleet, old)
        await fleet.until(
            lambda: fleet.group.primary is not old, PROMOTION_SECONDS
        )
        await _is_served(fleet, "q1", "i2")
        for name in LEAVING:
            await fleet.start_instance(name)
        for name in LEAVING:
            await fleet.wait_ready(name)
            await _is_served(fleet, f"q-{name}", name)
        await fleet.until(
            lambda: len(_seated(fleet)) == INSTANCES, SEAT_SECONDS
        )


# After all had left one by one, the first to start again had no majority.
async def test_who_starts_after_all_have_left_replaces_a_primary(tmp_path):
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        await _leave(fleet, ["i1", "i2", "i3"])
        old = fleet.group.primary
        await fleet.start_instance("i2")
        await fleet.wait_ready("i2")
        _withdraw(fleet, old)
        await fleet.until(
            lambda: fleet.group.primary is not old, PROMOTION_SECONDS
        )
        await _is_served(fleet, "q1", "i2")


# The wait for the store must not keep a process from ending in time.
@pytest.mark.parametrize(
    "fault", [StoreFault.BUSY, StoreFault.SILENT, StoreFault.LOSES_ANSWERS]
)
async def test_who_stops_while_the_store_is_away_keeps_its_seat(
    tmp_path, fault
):
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        fleet.store.fault = fault
        fleet.signal("i1", signal.SIGTERM)
        with trio.fail_after(GRACE_SECONDS):
            assert await fleet.wait_ended("i1") == 0
        fleet.store.fault = StoreFault.NONE
        await fleet.start_instance("i1")
        await fleet.wait_ready("i1")
        assert _seated(fleet) == {"i1", "i2", "i3"}
        old = fleet.group.primary
        _withdraw(fleet, old)
        await fleet.until(
            lambda: fleet.group.primary is not old, PROMOTION_SECONDS
        )


# A rolling restart left one or two voters; the loss of one ended all
# promotions for good.
@pytest.mark.parametrize("lost_after", [0, 6], ids=["first", "last"])
async def test_a_loss_in_a_rolling_restart_leaves_a_majority(
    tmp_path, lost_after
):
    async with (
        proxy_fleet(tmp_path, instances=INSTANCES) as fleet,
        trio.open_nursery() as nursery,
    ):
        names = [f"i{number + 1}" for number in range(INSTANCES)]
        lost = names.pop()
        for number, name in enumerate([*names, None]):
            if number == lost_after:
                fleet.signal(lost, signal.SIGKILL)
            if name is not None:
                nursery.start_soon(_restart, fleet, name)
                await trio.sleep(ROLL_GAP_SECONDS)
        old = fleet.group.primary
        _withdraw(fleet, old)
        await fleet.until(
            lambda: fleet.group.primary is not old, PROMOTION_SECONDS
        )
        for name in names:
            await fleet.wait_ready(name)
            await _is_served(fleet, f"q-{name}", name)
        assert len(_seated(fleet)) > INSTANCES // 2
