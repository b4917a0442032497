"""Tests of the group watch against simulated databases over HTTP."""

import random

import trio

from databases import add, run, start
from groups_history import listed_group
from lagoonstair.endpoints import HttpEndpoint
from lagoonstair.groups import Confirmation, GroupWatch, Timing
from lagoonstair.peers import PeerNotSentError
from lagoonstair.ports import Role

NAMES = ("db1", "db2", "db3")
QUICK = Timing(probe_interval=0.02, orphan_after=0.1, backoff=0.05, drain=0.0)


async def no_peer(name, ask):
    raise PeerNotSentError(name)


async def insert(watch, addresses, item):
    state = await watch.wait_primary(deadline=trio.current_time() + 30)
    endpoint = HttpEndpoint(addresses[state.primary], "x")
    conn = await endpoint.connect()
    answer = await conn.run(run(add(item), term=state.term))
    conn.close()
    deadline = trio.current_time() + 30
    result = await watch.confirm(answer.position, deadline=deadline)
    return answer.position, result


async def test_promotes_after_a_half_way_fence_and_keeps_the_writes():
    async with trio.open_nursery() as nursery:
        _members, addresses = await start(nursery, 3)
        watch = GroupWatch(
            listed_group(NAMES),
            instance="x",
            connect=lambda m: HttpEndpoint(addresses[m.name], "x"),
            ask_peer=no_peer,
            timing=QUICK,
            rng=random.Random(1),
        )
        nursery.start_soon(watch.run)
        written, result = await insert(watch, addresses, "kept")
        assert result is Confirmation.CONFIRMED
        for name in NAMES:
            answer = await HttpEndpoint(addresses[name], "y").fence(2, "y/1")
            assert answer.granted
        while watch.snapshot().term < 3:
            await watch.wait_change(trio.current_time() + 30)
        _, result = await insert(watch, addresses, "later")
        assert result is Confirmation.CONFIRMED
        deadline = trio.current_time() + 30
        assert await watch.confirm(written, deadline=deadline) is (
            Confirmation.CONFIRMED
        )
        plan = await watch.plan_read(
            last_write=written, max_age=0.0, deadline=deadline, wait_limit=30.0
        )
        assert not plan.targets[0].primary
        statuses = [
            await HttpEndpoint(addresses[name], "y").status() for name in NAMES
        ]
        assert [s.role for s in statuses].count(Role.PRIMARY) == 1
        assert {s.term for s in statuses} == {3}
        nursery.cancel_scope.cancel()
