"""When an unresponsive instance is suspected, with a fake registry."""

from types import SimpleNamespace

import pytest
import trio

from lagoonstair.proxy._gossip import URGENT_PERIOD_SECONDS
from lagoonstair.proxy._reaper import SILENT_ROUNDS, SILENT_SECONDS, Reaper
from lagoonstair.proxy._registry_rows import Member
from test_proxy_gossip import _gossip


class _Registry:
    """Fake registry of a voter and of an instance that is starting."""

    def __init__(self):
        self.members = {
            name: Member(host="127.0.0.1", port=1, failure_domain="a", since=0)
            for name in ("i0", "starting")
        }
        self.written = []

    async def write(self, values):
        self.written += values


@pytest.fixture
def parts(autojump_clock):
    gossip, _ = _gossip(is_complete=True)
    registry = _Registry()
    fleet = SimpleNamespace(primacy=SimpleNamespace(voters={"i0"}))
    follower = SimpleNamespace(store_now=0.0)
    return gossip, registry, Reaper(fleet, registry, follower, gossip)


async def test_rounds_in_quick_succession_suspect_nobody(parts):
    """At a start of 195 instances, 77 were suspected while they started."""
    gossip, registry, reaper = parts
    for _ in range(SILENT_ROUNDS):
        await gossip._ask("starting", "address", False)
        await trio.sleep(URGENT_PERIOD_SECONDS)
    assert gossip.missed_rounds("starting") >= SILENT_ROUNDS
    await reaper._check_members("i0")
    assert registry.written == []


async def test_an_instance_that_stays_silent_is_suspected(parts):
    gossip, registry, reaper = parts
    for _ in range(SILENT_ROUNDS):
        await gossip._ask("starting", "address", False)
        await trio.sleep(SILENT_SECONDS / SILENT_ROUNDS)
    await reaper._check_members("i0")
    assert registry.written == ["member/starting"]
