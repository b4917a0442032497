"""The scheduler assigns the slots of one database to trio tasks."""

import pytest
import trio

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.queueing import SlotScheduler


class SlotHolders:
    """Tasks that hold a slot until they are told to end."""

    def __init__(self, nursery, slots, clock):
        self.scheduler = SlotScheduler(slots, clock=clock.current_time)
        self.nursery = nursery
        self.order = []
        self.errors = {}
        self.ends = {}

    async def hold(self, name, workspace, **kwargs):
        self.ends[name] = trio.Event()
        try:
            async with self.scheduler.slot(workspace, **kwargs):
                self.order.append(name)
                await self.ends[name].wait()
        except LagoonstairError as exc:
            self.errors[name] = exc

    async def start(self, name, workspace, **kwargs):
        scope = trio.CancelScope()

        async def run():
            with scope:
                await self.hold(name, workspace, **kwargs)

        self.nursery.start_soon(run)
        await trio.testing.wait_all_tasks_blocked()
        return scope

    async def end(self, name):
        self.ends[name].set()
        await trio.testing.wait_all_tasks_blocked()


@pytest.fixture
def holders(nursery, mock_clock):
    return SlotHolders(nursery, 1, mock_clock)


async def test_slots_alternate_between_workspaces(holders, mock_clock):
    await holders.start("held", "noisy")
    for number in range(3):
        await holders.start(f"noisy{number}", "noisy")
    await holders.start("calm0", "calm")
    for name in ("held", "calm0", "noisy0", "noisy1", "noisy2"):
        mock_clock.jump(0.01)
        await holders.end(name)
    assert holders.order == ["held", "calm0", "noisy0", "noisy1", "noisy2"]


async def test_cancelled_entry_leaves_the_queue_and_frees_its_slot(
    holders, mock_clock
):
    held = await holders.start("held", "a")
    queued = await holders.start("queued", "a")
    await holders.start("next", "a")
    queued.cancel()
    held.cancel()
    await trio.testing.wait_all_tasks_blocked()
    assert holders.order == ["held", "next"]
    assert holders.scheduler.running == 1
    assert holders.scheduler.waiting("a") == 0
    await holders.end("next")


async def test_withdrawn_key_leaves_the_queue(holders, mock_clock):
    await holders.start("held", "a", key_id="gone")
    await holders.start("queued", "a", key_id="gone")
    await holders.start("other", "a", key_id="kept")
    holders.scheduler.withdraw("gone")
    await holders.end("held")
    assert holders.order == ["held", "other"]
    assert holders.errors["queued"].kind is ErrorKind.UNAUTHENTICATED
    await holders.end("other")


async def test_late_entry_is_refused_at_its_deadline(holders, mock_clock):
    await holders.start("held", "a")
    until = mock_clock.current_time() + 0.5
    await holders.start("late", "b", deadline=until)
    mock_clock.jump(0.5)
    await trio.testing.wait_all_tasks_blocked()
    assert holders.errors["late"].kind is ErrorKind.OVERLOADED
    assert holders.errors["late"].retry_after > 0
    await holders.end("held")
    assert holders.order == ["held"]


async def test_entry_that_cannot_meet_its_deadline_is_refused_at_once(
    holders, mock_clock
):
    await holders.start("held", "a")
    for number in range(4):
        await holders.start(f"queued{number}", "a")
    until = mock_clock.current_time() + 0.001
    await holders.start("hopeless", "a", deadline=until)
    assert holders.errors["hopeless"].retry_after >= 0.019
    for name in ("held", "queued0", "queued1", "queued2", "queued3"):
        await holders.end(name)


async def test_resize_starts_waiting_entries(holders, mock_clock):
    await holders.start("held", "a")
    await holders.start("queued", "b")
    holders.scheduler.resize(2)
    await trio.testing.wait_all_tasks_blocked()
    assert holders.order == ["held", "queued"]
    await holders.end("held")
    await holders.end("queued")
