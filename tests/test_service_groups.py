"""Group runtimes start and stop as the ownership of groups changes."""

import pytest
import trio
import trio.testing

from lagoonstair._types import Address
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.peers import HandlerRegistry
from lagoonstair.ports import ListedEndpoint, ListedGroup, Listing
from lagoonstair.service._groups import GroupManager


class Watch:
    def set_watchers(self, names):
        self.watchers = names


class Runtime:
    """Fake runtime that records whether it runs."""

    def __init__(self, listed):
        self.name = listed.name
        self.watch = Watch()
        self.idle = True
        self.runs = False
        self.version = 0

    async def run(self):
        self.runs = True
        try:
            await trio.sleep_forever()
        finally:
            self.runs = False

    def update_listing(self, version, listed):
        self.version = version


class Fleet:
    """Group manager of instance a, with owners that a test can change."""

    def __init__(self, nursery):
        self.owners = {"g1": ("a", "b"), "g2": ("b", "c")}
        self.made = {}
        self.groups = GroupManager(
            "a",
            owners=self.owners.__getitem__,
            make_group=self._make,
            registry=HandlerRegistry(),
            nursery=nursery,
        )

    def _make(self, listed):
        self.made[listed.name] = Runtime(listed)
        return self.made[listed.name]


def _listing(version, *names):
    member = ListedEndpoint(
        name="m",
        failure_domain="a",
        address=Address("127.0.0.1", 1),
        slots=2,
        connections=3,
    )
    groups = tuple(ListedGroup(name=name, members=(member,)) for name in names)
    return Listing(version=version, instances=(), groups=groups)


async def test_only_owned_groups_run(nursery):
    fleet = Fleet(nursery)
    fleet.groups.apply(_listing(1, "g1", "g2"))
    await trio.testing.wait_all_tasks_blocked()
    assert set(fleet.made) == {"g1"}
    assert fleet.made["g1"].watch.watchers == ("a", "b")


async def test_a_group_that_others_own_stops_once_idle(nursery):
    fleet = Fleet(nursery)
    fleet.groups.apply(_listing(1, "g1"))
    await trio.testing.wait_all_tasks_blocked()
    fleet.owners["g1"] = ("b", "c")
    fleet.made["g1"].idle = False
    fleet.groups.apply(None)
    await trio.testing.wait_all_tasks_blocked()
    assert fleet.made["g1"].runs
    fleet.made["g1"].idle = True
    fleet.groups.apply(None)
    await trio.testing.wait_all_tasks_blocked()
    assert not fleet.made["g1"].runs


async def test_a_request_starts_a_group_that_others_own(nursery):
    fleet = Fleet(nursery)
    fleet.groups.apply(_listing(1, "g2"))
    runtime = await fleet.groups.get("g2")
    assert runtime.name == "g2"
    with pytest.raises(LagoonstairError):
        await fleet.groups.get("g3")


async def test_an_unlisted_group_stops(nursery):
    fleet = Fleet(nursery)
    fleet.groups.apply(_listing(1, "g1"))
    fleet.groups.apply(_listing(2))
    await trio.testing.wait_all_tasks_blocked()
    assert not fleet.made["g1"].runs
