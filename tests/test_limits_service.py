"""Admission through the limit service, with peers connected in memory."""

import pytest
import trio
import trio.testing

from lagoonstair._types import Address
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.limits import LimitService, LimitSettings, WorkspaceLimit
from lagoonstair.peers import PeerContext, PeerLostError

NAMES = ("a", "b", "c")
SETTINGS = LimitSettings()
REQUEST_COUNT = 60


class Registry:
    def register(self, message, handler):
        self.handler = handler


class Fleet:
    """Limit services whose calls invoke each other's handlers directly."""

    def __init__(self, nursery, *, accepted=None):
        self.accepted = accepted
        self.fresh = dict.fromkeys(NAMES, True)
        self.dead = set()
        self.registries = {name: Registry() for name in NAMES}
        self.services = {
            name: LimitService(
                name,
                _Peers(self, name),
                self.registries[name],
                lambda peer: Address(peer, 1),
                lambda now, name=name: self.fresh[name],
                accepted=None if accepted is None else lambda: self.accepted,
            )
            for name in NAMES
        }
        self.version = 0
        for service in self.services.values():
            nursery.start_soon(service.run)

    def apply(self, *, rate, burst, created=()):
        self.version += 1
        self.policy = {"rate": rate, "burst": burst, "holders": NAMES}
        limit = WorkspaceLimit.from_config(**self.policy)
        for service in self.services.values():
            service.apply(self.version, {"w": limit}, created=created)

    async def admit(self, name):
        await self.services[name].admit(
            "w", **self.policy, config_version=self.version
        )


class _Peers:
    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    async def call(self, address, message, answer):
        if address.host in self.fleet.dead:
            raise PeerLostError("dead")
        handler = self.fleet.registries[address.host].handler
        return await handler(message, PeerContext(self.name))


@pytest.fixture
async def fleet(nursery, autojump_clock):
    fleet = Fleet(nursery)
    fleet.apply(rate=10, burst=30)
    await trio.sleep(SETTINGS.share_delay + 10)
    return fleet


async def _request_until_refused(fleet, name):
    """Sends more requests than the burst at once.

    Returns:
        The number of admitted requests, and the last refusal.
    """
    refusals = []

    async def request():
        try:
            await fleet.admit(name)
        except LagoonstairError as exc:
            refusals.append(exc)

    async with trio.open_nursery() as nursery:
        for _ in range(REQUEST_COUNT):
            nursery.start_soon(request)
    return REQUEST_COUNT - len(refusals), refusals[-1]


async def test_one_instance_gets_the_whole_burst(fleet, autojump_clock):
    started_at = trio.current_time()
    count, exc = await _request_until_refused(fleet, "b")
    elapsed = trio.current_time() - started_at
    assert 29 <= count <= 30 + 10 * elapsed
    assert exc.kind is ErrorKind.RATE_LIMITED
    assert exc.retry_after > 0


async def test_retry_after_is_true(fleet, autojump_clock):
    _, exc = await _request_until_refused(fleet, "b")
    await trio.sleep(exc.retry_after)
    await fleet.admit("b")


async def test_dead_holders_leave_the_own_share(fleet, autojump_clock):
    fleet.dead |= {"a", "c"}
    count, exc = await _request_until_refused(fleet, "b")
    assert 10 <= count <= 12
    assert exc.kind is ErrorKind.RATE_LIMITED


async def test_nothing_is_admitted_or_lent_without_freshness(
    fleet, autojump_clock
):
    fleet.fresh["b"] = False
    with pytest.raises(LagoonstairError) as caught:
        await fleet.admit("b")
    assert caught.value.kind is ErrorKind.NOT_FRESH
    fleet.fresh.update(a=False, b=True, c=False)
    count, _ = await _request_until_refused(fleet, "b")
    assert 10 <= count <= 12


async def test_waiting_requests_are_admitted_in_order(fleet, autojump_clock):
    await _request_until_refused(fleet, "b")
    order = []

    async def request(number):
        await fleet.admit("b")
        order.append(number)

    async with trio.open_nursery() as nursery:
        for number in range(2):
            nursery.start_soon(request, number)
            await trio.testing.wait_all_tasks_blocked()
    assert order == [0, 1]


async def test_a_created_workspace_has_its_burst_at_once(
    autojump_clock, nursery
):
    fleet = Fleet(nursery)
    fleet.apply(rate=1, burst=12, created={"w"})
    for _ in range(12):
        await fleet.admit("a")
    with pytest.raises(LagoonstairError):
        await fleet.admit("a")


async def test_a_share_of_an_older_workspace_starts_empty_and_late(
    autojump_clock, nursery
):
    fleet = Fleet(nursery)
    fleet.apply(rate=1, burst=12)
    with pytest.raises(LagoonstairError):
        await fleet.admit("a")


async def test_a_share_waits_until_its_version_is_accepted(
    autojump_clock, nursery
):
    fleet = Fleet(nursery, accepted=0)
    fleet.apply(rate=100, burst=12)
    await trio.testing.wait_all_tasks_blocked()
    await trio.sleep(10 * SETTINGS.share_delay)
    with pytest.raises(LagoonstairError):
        await fleet.admit("a")
    fleet.accepted = 1
    await trio.sleep(2 * SETTINGS.share_delay + 5)
    await fleet.admit("a")
