"""Promotions of one group of which several may still take effect."""

import itertools
from contextlib import asynccontextmanager

import trio

from lagoonstair.standins.statements import Group
from proxy_fleet import proxy_fleet

HIDDEN = 10**6
"""Number of status queries that an endpoint refuses: all of a test's."""

SETTLE_SECONDS = 20.0
"""Time limit in seconds for a group to have a usable primary again: two calls
without effect of 3 s each, the wait for a lapsed proof, and a busy machine."""


class Writers:
    """Callers that write at every instance.

    Attributes:
        acknowledged: The ids of the acknowledged writes.
    """

    def __init__(self):
        self.acknowledged = set()
        self._numbers = itertools.count()

    async def run(self, fleet, instance):
        while True:
            caller = await fleet.caller(instance=instance)
            answer = ["READY I"]
            while answer and answer[-1].startswith("READY I"):
                name = f"w{next(self._numbers)}"
                answer = await caller.ask(name, f"WRITE a {name}")
                if answer and answer[0].startswith("COMPLETE"):
                    self.acknowledged.add(name)
                await trio.sleep(0.01)
            caller.close()

    async def wait_acknowledged(self, fleet):
        """Waits until a write that begins from now on is acknowledged."""
        begun = next(self._numbers)
        await fleet.until(
            lambda: any(int(name[1:]) > begun for name in self.acknowledged),
            SETTLE_SECONDS,
        )


@asynccontextmanager
async def written_fleet(tmp_path):
    """Runs three instances with callers that write at each of them."""
    async with (
        proxy_fleet(tmp_path, instances=3) as fleet,
        trio.open_nursery() as nursery,
    ):
        writers = Writers()
        for instance in fleet.processes:
            nursery.start_soon(writers.run, fleet, instance)
        await writers.wait_acknowledged(fleet)
        yield fleet, writers
        nursery.cancel_scope.cancel()


async def hide_effect_of_first_call(fleet):
    """Waits until a second endpoint was called; returns both, in order.

    The first one is busy meanwhile, so that nobody sees that it leads.
    """
    calls = fleet.duties.calls
    await fleet.until(lambda: calls, SETTLE_SECONDS)
    first = fleet.group.databases[calls[0].endpoint]
    first.busy_statuses = HIDDEN
    await fleet.until(lambda: calls[-1].endpoint != first.name, SETTLE_SECONDS)
    assert first.is_primary
    return first, fleet.group.databases[calls[-1].endpoint]


def kept_writes(database):
    return {write[0] for commit in database.log for write in commit.writes}


async def test_a_leader_is_not_used_while_a_later_call_may_replace_it(
    tmp_path,
):
    """Guards against writes at a primary that a pending call replaces."""
    async with written_fleet(tmp_path) as (fleet, writers):
        fleet.group.promotion_seconds.extend([0.5, 2.5])
        fleet.group.databases["d1"].crash()
        first, second = await hide_effect_of_first_call(fleet)
        first.busy_statuses = 0
        await fleet.until(lambda: second.is_primary, SETTLE_SECONDS)
        await writers.wait_acknowledged(fleet)
        assert not writers.acknowledged & first.superseded_commits
        assert writers.acknowledged <= kept_writes(fleet.group.primary)
        await fleet.until(lambda: not first.is_primary, SETTLE_SECONDS)


async def test_another_endpoint_is_promoted_while_the_last_called_is_silent(
    tmp_path,
):
    """Guards against a group without a primary while a call is pending.

    The endpoint called last is out of reach, but still registered.
    """
    async with written_fleet(tmp_path) as (fleet, writers):
        fleet.group.promotion_seconds.extend([0.5, 4.0, 0.5])
        fleet.group.databases["d1"].crash()
        first, second = await hide_effect_of_first_call(fleet)
        second.crash()
        fleet.group.databases["d1"].recover()
        first.busy_statuses = 0
        await writers.wait_acknowledged(fleet)
        second.recover()
        await trio.sleep(5.0)
        await writers.wait_acknowledged(fleet)
        assert fleet.group.primary is fleet.group.databases["d1"]
        assert not writers.acknowledged & first.superseded_commits
        assert writers.acknowledged <= kept_writes(fleet.group.primary)


async def test_a_refused_call_does_not_keep_an_earlier_leader_from_use(
    tmp_path, monkeypatch
):
    """Guards against a wait for the effect of a call that was refused."""
    promote = Group.promote
    async with written_fleet(tmp_path) as (fleet, writers):
        fleet.group.databases["d1"].crash()
        await fleet.until(lambda: fleet.duties.calls, SETTLE_SECONDS)
        accepted = fleet.duties.calls[0].endpoint
        monkeypatch.setattr(
            Group,
            "promote",
            lambda group, name: name == accepted and promote(group, name),
        )
        first, _ = await hide_effect_of_first_call(fleet)
        first.busy_statuses = 0
        await writers.wait_acknowledged(fleet)
        assert fleet.group.primary is first
        assert writers.acknowledged <= kept_writes(first)
