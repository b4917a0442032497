"""Choice of the gossip targets, with peer calls recorded by a fake."""

from contextlib import nullcontext
from types import SimpleNamespace

import pytest
import trio

from lagoonstair.evacuation import Evacuations
from lagoonstair.peers import PeerLostError, PeerNotSentError
from lagoonstair.proxy._config_age import (
    DEFAULT_BOUND_SECONDS,
    ConfigAge,
)
from lagoonstair.proxy._distance import DistanceMeter
from lagoonstair.proxy._gossip import (
    ROUND_PERIOD_SECONDS,
    SWEEP_PERIOD_SECONDS,
    URGENT_PERIOD_SECONDS,
    Gossip,
    GossipReply,
)
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._tables import (
    EMPTY_UPDATE,
    KnownVersions,
    Tables,
    Update,
)
from lagoonstair.regions import RegionMap

VOTERS = 7
KNOWLEDGE = KnownVersions(0, 0, 0)


class _Peers:
    """Fake peer client that records each request and refuses it."""

    def __init__(self):
        self.asks = []

    async def call(self, address, ask, answer):
        self.asks.append(ask)
        raise PeerNotSentError


def _gossip(*, is_complete):
    members = {
        f"i{n}": SimpleNamespace(address=n, failure_domain=f"z{n % 3}")
        for n in range(VOTERS)
    }
    registry = SimpleNamespace(
        members=members,
        voters=lambda: tuple(members),
        seeks_voters=lambda name: False,
        version=0,
    )
    primacy = SimpleNamespace(
        has_majority=lambda now, within: False,
        responsive_voters=lambda now, within: set(),
        own_promotions=dict,
        records={},
    )
    fleet = SimpleNamespace(
        name="new",
        failure_domain="z1",
        primacy=primacy,
        pools={},
        # Contains nothing, so that a failure in a round fails the test.
        supervisor=SimpleNamespace(
            contain=lambda *args, **kwargs: nullcontext(),
            run=lambda task, serve: serve(),
        ),
    )
    tables = SimpleNamespace(
        is_complete=is_complete,
        last_asked_at={},
        known_versions=lambda: KNOWLEDGE,
        config_age=ConfigAge(),
    )
    peers = _Peers()
    handlers = SimpleNamespace(register=lambda message, handler: None)
    return Gossip(fleet, registry, tables, peers, handlers), peers


async def _first_round(*, is_complete):
    gossip, peers = _gossip(is_complete=is_complete)
    with trio.move_on_after(ROUND_PERIOD_SECONDS / 2):
        await gossip._run_rounds(gossip._round_targets, ROUND_PERIOD_SECONDS)
    assert len(peers.asks) == VOTERS
    return [ask.known_versions for ask in peers.asks]


async def test_load_pattern_all_instances_learn_at_once(autojump_clock):
    """A newly started instance requests the store data from one peer only.

    After a power failure, all instances start at once, and each would
    otherwise receive the configuration seven times.
    """
    known = await _first_round(is_complete=False)
    assert sorted(map(bool, known)) == [False] * (VOTERS - 1) + [True]


async def test_a_complete_instance_sends_its_versions_to_all(autojump_clock):
    assert await _first_round(is_complete=True) == [KNOWLEDGE] * VOTERS


def test_the_update_source_is_in_the_same_failure_domain():
    gossip, _ = _gossip(is_complete=False)
    names = [f"i{n}" for n in range(VOTERS)]
    assert {gossip._choose_update_source(names) for _ in range(50)} == {
        "i1",
        "i4",
    }
    gossip._missed_rounds.update(i1=1, i4=1)
    assert (
        len({gossip._choose_update_source(names) for _ in range(200)}) == VOTERS
    )
    assert gossip._choose_update_source([]) is None


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
    gossip, peers = _gossip(is_complete=True)
    remaining = list(errors)

    async def call(address, ask, answer):
        await trio.lowlevel.checkpoint()
        if remaining:
            raise remaining.pop(0)

    peers.call = call
    assert await gossip.reaches("i1") is reached
    assert not await gossip.reaches("gone")


def test_a_request_without_versions_gets_an_empty_update():
    assert Tables.update_for(SimpleNamespace(), None) == EMPTY_UPDATE


async def test_a_promotion_is_announced_at_once_after_a_sweep(autojump_clock):
    gossip, peers = _gossip(is_complete=True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gossip.run)
        # Between a sweep and the next regular round.
        await trio.sleep(SWEEP_PERIOD_SECONDS + ROUND_PERIOD_SECONDS / 10)
        asked = len(peers.asks)
        gossip.start_urgent_rounds("g")
        await trio.sleep(URGENT_PERIOD_SECONDS / 2)
        assert len(peers.asks) > asked
        nursery.cancel_scope.cancel()


def _update(config, known):
    """Returns a voter's answer, with a configuration if it has a newer one."""
    is_newer = known is not None and config > known.config_version
    return Update(b"config" if is_newer else None, (), 0, (), 1.0)


async def test_load_pattern_one_of_many_restarted_instances_has_the_data(
    autojump_clock,
):
    """The peers of the same failure domain have just started too.

    The store was restored from an older copy, so only the one instance that
    did not restart holds the newest configuration.
    """
    gossip, peers = _gossip(is_complete=False)
    tables = gossip._tables
    asked = []

    def apply_update(name, update, asked_at):
        tables.is_complete = tables.is_complete or update.config is not None

    async def call(address, ask, answer):
        await trio.lowlevel.checkpoint()
        if ask.known_versions is None:
            return GossipReply(0, 0.0, (), EMPTY_UPDATE)
        asked.append(address)
        config = 5 if address == 0 else 0
        return GossipReply(0, 0.0, (), _update(config, ask.known_versions))

    peers.call = call
    tables.confirmed_by = set()
    tables.apply_update = apply_update
    gossip._fleet.primacy.note_report = lambda *args, **kwargs: None
    gossip._fleet.apply_group_reports = lambda reports, asked_at: None
    with trio.move_on_after(ROUND_PERIOD_SECONDS / 2):
        await gossip._run_rounds(gossip._round_targets, ROUND_PERIOD_SECONDS)
    assert tables.is_complete
    assert len(set(asked[: asked.index(0) + 1])) == asked.index(0) + 1
    assert len(tables.confirmed_by) * 2 > VOTERS


async def test_a_restarted_instance_serves_after_a_majority_has_answered(
    autojump_clock,
):
    """The first peer that answers may hold a configuration with withdrawn keys.

    Its data alone is not enough; the others send what it lacks.
    """
    gossip, peers = _gossip(is_complete=False)
    tables = gossip._tables
    versions = {"i1": 4, "i4": 4}
    held = []

    def apply_update(name, update, asked_at):
        if update.config is not None:
            held.append(versions.get(name, 5))
        tables.is_complete = bool(held)

    def known_versions():
        return KnownVersions(held[-1] if held else 0, 0, 0)

    async def call(address, ask, answer):
        await trio.lowlevel.checkpoint()
        version = versions.get(f"i{address}", 5)
        update = _update(version, ask.known_versions)
        return GossipReply(0, 0.0, (), update)

    peers.call = call
    tables.confirmed_by = set()
    tables.apply_update = apply_update
    tables.known_versions = known_versions
    gossip._fleet.primacy.note_report = lambda *args, **kwargs: None
    gossip._fleet.apply_group_reports = lambda reports, asked_at: None
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            gossip._run_rounds, gossip._round_targets, ROUND_PERIOD_SECONDS
        )
        while len(tables.confirmed_by) * 2 <= VOTERS:
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert held[0] == 4
    assert held[-1] == 5
    # The second round follows the first without the usual pause.
    assert trio.current_time() - started_at < ROUND_PERIOD_SECONDS / 2


async def test_an_instance_does_not_stay_with_outdated_voters_of_its_domain(
    autojump_clock,
):
    """Voters that answer, but are cut off from the store, are no source.

    Six of seven rounds go to the voters of the same failure domain; a change
    that only the others know must not wait for their turn.
    """
    gossip, _ = _gossip(is_complete=True)
    gossip._fleet.primacy.has_majority = lambda now, within: True
    config_age = gossip._tables.config_age
    oldest = 0.0
    for number in range(200):
        now = number * ROUND_PERIOD_SECONDS
        (name,) = gossip._round_targets()
        is_cut_off = name in ("i1", "i4")
        config_age.note_peer(name, now, 30.0 if is_cut_off else 0.1)
        if number >= VOTERS * 3:
            oldest = max(oldest, config_age.age(now))
    assert oldest < DEFAULT_BOUND_SECONDS


@pytest.mark.parametrize(
    ("is_complete", "confirmed_by", "is_confirmed"),
    [
        (True, {"i1"}, False),
        (True, {"i1", "x1", "x2"}, False),
        (True, {"i1", "i2"}, True),
        (False, {"i1", "i2"}, False),
    ],
)
def test_data_is_confirmed_by_a_majority_of_the_voters(
    is_complete, confirmed_by, is_confirmed
):
    primacy = SimpleNamespace(voters=frozenset({"i1", "i2", "i3"}))
    fleet = SimpleNamespace(
        primacy=primacy,
        config=object() if is_complete else None,
        endpoints={"d1": object()},
        evacuation=Evacuations(),
    )
    tables = Tables(fleet, None, None)
    tables.confirmed_by |= confirmed_by
    assert tables.is_confirmed is is_confirmed


async def test_a_non_voter_asks_the_voters_of_its_region():
    """Gossip of most instances must not cross between regions."""
    gossip, _ = _gossip(is_complete=True)
    gossip._fleet.primacy.has_majority = lambda now, within: True
    regions = RegionMap({"z0": "r0", "z1": "r0", "z2": "r1"})
    gossip._distances = DistanceMeter(regions, "z1", Metrics())

    def asked():
        return {name for _ in range(50) for name in gossip._round_targets()}

    near = {"i0", "i1", "i3", "i4", "i6"}
    assert asked() == near
    gossip._missed_rounds.update(dict.fromkeys(near, 1))
    assert asked() == near | {"i2", "i5"}
