"""Tests of the group watch against a simulated group, in virtual time."""

import random
from contextlib import asynccontextmanager

import pytest
import trio

from groups_history import Write, listed_group, missing_writes
from lagoonstair._types import Position
from lagoonstair.groups import Confirmation, GroupWatch, NoTargetReason
from lagoonstair.measure._member import Entry
from lagoonstair.measure._model import (
    MEDOSTREH,
    ModelEndpoint,
    ModelFleet,
    ModelGroup,
)
from lagoonstair.ports import ListingState, Role


@asynccontextmanager
async def running(seed=1, **more):
    rng = random.Random(seed)
    group = ModelGroup(MEDOSTREH, rng)
    fleet = ModelFleet(group, rng, **more)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.replicate)
        nursery.start_soon(fleet.run)
        await write(group, fleet.watches["instance0"], "first")
        yield group, fleet
        nursery.cancel_scope.cancel()


async def primary_of(watch, *, other_than=None):
    while True:
        state = await watch.wait_primary(deadline=trio.current_time() + 30)
        assert state.primary is not None
        if state.primary != other_than:
            return state.primary
        await watch.wait_change(trio.current_time() + 30)


def elections(group):
    return sum(not entry.payload for entry in group.primaries()[0].log)


async def write(group, watch, payload):
    state = await watch.wait_primary(deadline=trio.current_time() + 30)
    position = await group.call(
        "client", state.primary, lambda m: m.commit(state.term, payload)
    )
    now = trio.current_time()
    result = await watch.confirm(position, deadline=now + 1)
    return Write(payload, position, now), result


async def test_a_new_group_gets_one_primary_and_confirms(autojump_clock):
    async with running() as (group, fleet):
        assert elections(group) == 1
        _, result = await write(group, fleet.watches["instance0"], "w")
        assert result is Confirmation.CONFIRMED


async def test_many_writes_share_confirmation_rounds(autojump_clock):
    async with running() as (group, fleet):
        watch = fleet.watches["instance0"]
        before = group.control_calls
        results = []

        async def one(i):
            results.append((await write(group, watch, f"w{i}"))[1])

        async with trio.open_nursery() as nursery:
            for i in range(100):
                nursery.start_soon(one, i)
        assert results == [Confirmation.CONFIRMED] * 100
        assert group.control_calls - before < 60


def kill(group, fleet, name):
    group.faults.killed.add(name)


def cut(group, fleet, name):
    group.faults.cut.add(name)


def freeze(group, fleet, name):
    group.faults.frozen[name] = trio.Event()


def lose_owner_too(group, fleet, name):
    group.faults.killed.add(name)
    fleet.kill("instance0")


def cut_owner_with_it(group, fleet, name):
    group.faults.cut |= {name, "instance0"}


@pytest.mark.parametrize(
    "fault", [kill, cut, freeze, lose_owner_too, cut_owner_with_it]
)
async def test_a_lost_primary_is_replaced_and_no_answered_write_is_lost(
    fault, autojump_clock
):
    async with running() as (group, fleet):
        first = await primary_of(fleet.watches["instance0"])
        kept, result = await write(group, fleet.watches["instance0"], "kept")
        kept.acked_at = kept.committed_at
        assert result is Confirmation.CONFIRMED
        fault(group, fleet, first)
        # A client still writes to the lost primary.
        old = group.members[first]
        tail = old.commit(old.term, "tail")
        watch = fleet.watches["instance1"]
        second = await primary_of(watch, other_than=first)
        assert elections(group) == 2
        later, result = await write(group, watch, "later")
        assert result is Confirmation.CONFIRMED
        later.acked_at = later.committed_at
        deadline = trio.current_time() + 5
        assert await watch.confirm(tail, deadline=deadline) is (
            Confirmation.REPLACED
        )
        group.faults.killed.discard(first)
        group.faults.cut.clear()
        for event in group.faults.frozen.values():
            event.set()
        group.faults.frozen.clear()
        if fault is lose_owner_too:
            watch.set_watchers(["instance1", "instance2"])
        while old.role is Role.PRIMARY or old.log != group.members[second].log:
            await watch.wait_change(trio.current_time() + 5)
        assert missing_writes([kept, later], old.log) == []
        assert len(group.primaries()) == 1
        assert elections(group) == 2


async def test_no_write_is_confirmed_by_a_primary_cut_off_with_its_owner(
    autojump_clock,
):
    async with running() as (group, fleet):
        watch = fleet.watches["instance0"]
        first = await primary_of(watch)
        others = set(group.members) | set(fleet.watches)
        others -= {first, "instance0"}
        sides = {(a, b) for a in (first, "instance0") for b in others}
        group.faults.unreachable |= sides
        _, result = await write(group, watch, "w")
        assert result is Confirmation.UNCONFIRMED
        plan = watch.rank_read_targets(max_age=0.5)
        assert plan.no_target_reason is NoTargetReason.TOO_STALE
        other = fleet.watches["instance1"]
        await primary_of(other, other_than=first)
        assert elections(group) == 2


async def test_an_owner_that_alone_lost_the_primary_defers(
    autojump_clock,
):
    async with running() as (group, fleet):
        watch = fleet.watches["instance0"]
        first = await primary_of(watch)
        group.faults.unreachable.add(("instance0", first))
        with trio.fail_after(60):
            while not watch.snapshot().deferring:
                await watch.wait_change(trio.current_time() + 30)
        assert fleet.find_serving_watch() is fleet.watches["instance1"]
        _, result = await write(group, fleet.watches["instance1"], "w")
        assert result is Confirmation.CONFIRMED
        group.faults.unreachable.clear()
        while watch.snapshot().primary != first:
            await watch.wait_change(trio.current_time() + 30)
        assert elections(group) == 1


async def test_an_abandoned_promotion_is_superseded(autojump_clock):
    async with running() as (group, fleet):
        watch = fleet.watches["instance0"]
        first = await primary_of(watch)
        term = watch.snapshot().term
        for member in group.members.values():
            member.fence(term + 1, "dead/1")
        while watch.snapshot().term < term + 2:
            await watch.wait_change(trio.current_time() + 30)
        assert await primary_of(watch) == first
        assert elections(group) == 2


async def test_reads_wait_for_a_replica_and_fall_back_to_the_primary(
    autojump_clock,
):
    async with running() as (group, fleet):
        watch = fleet.watches["instance0"]
        first = await primary_of(watch)
        replicas = set(group.members) - {first}
        group.replication_intervals.update(dict.fromkeys(replicas, 0.5))
        done, _ = await write(group, watch, "w0")
        await watch.plan_read(max_age=0.0, deadline=trio.current_time() + 5)
        done, _ = await write(group, watch, "w1")
        last = group.members[first].commit(done.position.term, "w2")
        for wait_limit, primary in ((0.01, True), (2.0, False)):
            plan = await watch.plan_read(
                last_write=last,
                max_age=None,
                deadline=trio.current_time() + 5,
                wait_limit=wait_limit,
            )
            assert plan.targets[0].primary is primary
        beyond = Position(last.term + 1, 1)
        plan = await watch.plan_read(
            last_write=beyond, max_age=None, deadline=trio.current_time() + 0.1
        )
        assert plan.no_target_reason is NoTargetReason.BEHIND


async def test_a_leaving_primary_hands_over_and_gets_no_new_work(
    autojump_clock,
):
    async with running() as (group, fleet):
        first = await primary_of(fleet.watches["instance0"])
        leaving = listed_group(
            tuple(group.members), **{first: ListingState.LEAVING}
        )
        for watch in fleet.watches.values():
            watch.update_listing(2, leaving)
            watch.update_listing(1, group.listed)
        last = group.members[first].last
        done, result = await write(group, fleet.watches["instance0"], "w")
        assert result is Confirmation.CONFIRMED
        assert done.position.term == last.term + 1
        assert group.primaries()[0].name != first
        assert Entry(last.term, "w") not in group.members[first].log
        plan = fleet.watches["instance0"].rank_read_targets(max_age=None)
        assert first not in {t.member for t in plan.targets}


async def test_a_primary_that_recovers_while_others_are_asked_stays(
    autojump_clock,
):
    rng = random.Random(1)
    group = ModelGroup(MEDOSTREH, rng)
    asked = trio.Event()

    async def ask_peer(name, ask):
        for event in group.faults.frozen.values():
            event.set()
        group.faults.frozen.clear()
        asked.set()
        await trio.sleep_forever()

    watch = GroupWatch(
        group.listed,
        instance="x",
        connect=lambda m: ModelEndpoint(group, "x", m.name),
        ask_peer=ask_peer,
        rng=rng,
    )
    watch.set_watchers(["x", "y"])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.replicate)
        nursery.start_soon(watch.run)
        await write(group, watch, "first")
        asked = trio.Event()
        first = await primary_of(watch)
        freeze(group, None, first)
        await asked.wait()
        while watch._promoting:
            await watch.wait_change(trio.current_time() + 30)
        _, result = await write(group, watch, "w")
        assert result is Confirmation.CONFIRMED
        assert elections(group) == 1
        nursery.cancel_scope.cancel()
