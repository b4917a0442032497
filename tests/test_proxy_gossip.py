"""Whom an instance asks, with the calls to others recorded."""

from types import SimpleNamespace

import pytest
import trio

from lagoonstair.peers import PeerLostError, PeerNotSentError
from lagoonstair.proxy._gossip import PERIOD_SECONDS, Gossip
from lagoonstair.proxy._tables import NOTHING, Knowledge, Tables

VOTERS = 7
KNOWLEDGE = Knowledge(0, 0, 0)


class _Peers:
    """Calls that go nowhere."""

    def __init__(self):
        self.asks = []

    async def call(self, address, ask, answer):
        self.asks.append(ask)
        raise PeerNotSentError


def _gossip(*, is_whole):
    members = {
        f"i{n}": SimpleNamespace(address=n, failure_domain=f"z{n % 3}")
        for n in range(VOTERS)
    }
    registry = SimpleNamespace(
        members=members, voters=lambda: tuple(members), version=0
    )
    primacy = SimpleNamespace(
        has_majority=lambda now, within: False,
        heard=lambda now, within: set(),
        starting=dict,
        records={},
    )
    fleet = SimpleNamespace(
        name="new", failure_domain="z1", primacy=primacy, pools={}
    )
    tables = SimpleNamespace(is_whole=is_whole, knowledge=lambda: KNOWLEDGE)
    peers = _Peers()
    handlers = SimpleNamespace(register=lambda message, handler: None)
    return Gossip(fleet, registry, tables, peers, handlers), peers


async def _first_round(*, is_whole):
    gossip, peers = _gossip(is_whole=is_whole)
    with trio.move_on_after(PERIOD_SECONDS / 2):
        await gossip._repeat(gossip._near, PERIOD_SECONDS)
    assert len(peers.asks) == VOTERS
    return [ask.knowledge for ask in peers.asks]


async def test_load_pattern_all_instances_learn_at_once(autojump_clock):
    """After a power failure each would get the configuration seven times."""
    known = await _first_round(is_whole=False)
    assert sorted(map(bool, known)) == [False] * (VOTERS - 1) + [True]


async def test_an_instance_that_knows_all_tells_everybody(autojump_clock):
    assert await _first_round(is_whole=True) == [KNOWLEDGE] * VOTERS


def test_an_instance_in_its_own_failure_domain_teaches():
    gossip, _ = _gossip(is_whole=False)
    names = [f"i{n}" for n in range(VOTERS)]
    assert {gossip._choose_teacher(names) for _ in range(50)} == {"i1", "i4"}
    gossip._missed.update(i1=1, i4=1)
    assert len({gossip._choose_teacher(names) for _ in range(200)}) == VOTERS
    assert gossip._choose_teacher([]) is None


@pytest.mark.parametrize(
    ("errors", "reached"),
    [
        ([], True),
        ([PeerLostError], True),
        ([PeerLostError, PeerNotSentError], False),
        ([PeerLostError] * 100, False),
    ],
)
async def test_a_reset_connection_does_not_make_an_instance_silent(
    errors, reached, autojump_clock
):
    gossip, peers = _gossip(is_whole=True)
    left = list(errors)

    async def call(address, ask, answer):
        await trio.lowlevel.checkpoint()
        if left:
            raise left.pop(0)

    peers.call = call
    assert await gossip.reaches("i1") is reached
    assert not await gossip.reaches("gone")


def test_who_asks_for_nothing_is_told_nothing():
    assert Tables.update_for(SimpleNamespace(), None) == NOTHING
