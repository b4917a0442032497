"""Slots of one database among trio tasks."""

import pytest
import trio

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.queueing import SlotScheduler


class Bench:
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
def bench(nursery, mock_clock):
    return Bench(nursery, 1, mock_clock)


async def test_slots_alternate_between_workspaces(bench, mock_clock):
    await bench.start("held", "noisy")
    for number in range(3):
        await bench.start(f"noisy{number}", "noisy")
    await bench.start("calm0", "calm")
    for name in ("held", "calm0", "noisy0", "noisy1", "noisy2"):
        mock_clock.jump(0.01)
        await bench.end(name)
    assert bench.order == ["held", "calm0", "noisy0", "noisy1", "noisy2"]


async def test_cancelled_entry_leaves_the_queue_and_frees_its_slot(
    bench, mock_clock
):
    held = await bench.start("held", "a")
    queued = await bench.start("queued", "a")
    await bench.start("next", "a")
    queued.cancel()
    held.cancel()
    await trio.testing.wait_all_tasks_blocked()
    assert bench.order == ["held", "next"]
    assert bench.scheduler.running == 1
    assert bench.scheduler.waiting("a") == 0
    await bench.end("next")


async def test_withdrawn_key_leaves_the_queue(bench, mock_clock):
    await bench.start("held", "a", key_id="gone")
    await bench.start("queued", "a", key_id="gone")
    await bench.start("other", "a", key_id="kept")
    bench.scheduler.withdraw("gone")
    await bench.end("held")
    assert bench.order == ["held", "other"]
    assert bench.errors["queued"].kind is ErrorKind.UNAUTHENTICATED
    await bench.end("other")


async def test_late_entry_is_refused_at_its_deadline(bench, mock_clock):
    await bench.start("held", "a")
    until = mock_clock.current_time() + 0.5
    await bench.start("late", "b", deadline=until)
    mock_clock.jump(0.5)
    await trio.testing.wait_all_tasks_blocked()
    assert bench.errors["late"].kind is ErrorKind.OVERLOADED
    assert bench.errors["late"].retry_after > 0
    await bench.end("held")
    assert bench.order == ["held"]


async def test_hopeless_entry_is_refused_at_once(bench, mock_clock):
    await bench.start("held", "a")
    for number in range(4):
        await bench.start(f"queued{number}", "a")
    until = mock_clock.current_time() + 0.001
    await bench.start("hopeless", "a", deadline=until)
    assert bench.errors["hopeless"].retry_after >= 0.019
    for name in ("held", "queued0", "queued1", "queued2", "queued3"):
        await bench.end(name)


async def test_resize_starts_waiting_entries(bench, mock_clock):
    await bench.start("held", "a")
    await bench.start("queued", "b")
    bench.scheduler.resize(2)
    await trio.testing.wait_all_tasks_blocked()
    assert bench.order == ["held", "queued"]
    await bench.end("held")
    await bench.end("queued")
