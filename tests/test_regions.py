"""Distances between regions, and what they change; nothing in a single one."""

from types import SimpleNamespace

import pytest
import trio
import xxhash

from lagoonstair._types import Address, Position
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.features import Features
from lagoonstair.gossip import VoterView, choose_voter
from lagoonstair.homes import (
    MIN_SMALL_HOLDERS,
    HomeAssignment,
    InstanceResources,
)
from lagoonstair.limits import (
    LimitService,
    TokenGrant,
    TokenLoan,
    WorkspaceLimit,
)
from lagoonstair.proxy import _distance
from lagoonstair.proxy._distance import (
    DistanceMeter,
    HolderDistances,
    log_homes,
)
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._quota import LIMIT_SETTINGS
from lagoonstair.regions import (
    DEFAULT_ROUND_TRIP_SECONDS,
    RegionDistances,
    RegionMap,
)
from lagoonstair.routing import order_for_read
from test_routing_reads import load

TWO = RegionMap({f"z{n}": f"r{n // 3}" for n in range(6)})
ONE = RegionMap({f"z{n}": "r0" for n in range(6)})
WORKSPACES = [f"w{n}" for n in range(20)]
BURSTS = dict.fromkeys(WORKSPACES, 6.0)
FLEETS = [(7, 30), (12, 20), (81, 56), (83, 232)]
"""Instances, and connections of an endpoint: direct, with homes among few
instances, and with homes among many."""

EARLIER_RANKINGS = "e0dad05e02577f56"
"""Hash of all homes, holders and candidates before there were regions."""


def _homes(instances, connections, **regions):
    places = {
        f"i{n}": InstanceResources(f"z{n % 6}", 2.15 if n < 7 else 0.5)
        for n in range(instances)
    }
    homes = HomeAssignment(
        places, max_connections=connections, workspaces=20, **regions
    )
    return homes, places


def _rankings(**regions):
    found = []
    for fleet in FLEETS:
        homes, places = _homes(*fleet, **regions)
        found += [homes.is_direct, sorted(homes.names)]
        for workspace in WORKSPACES:
            found += [
                homes.candidates(workspace),
                homes.share_holders(workspace),
                *(homes.candidates_from(workspace, name) for name in places),
            ]
        found += [round(homes.connection_share(name), 9) for name in places]
    return xxhash.xxh64_hexdigest(repr(found).encode())


@pytest.mark.parametrize(
    "regions", [{}, {"regions": ONE, "bursts": BURSTS}, {"bursts": BURSTS}]
)
def test_in_one_region_homes_and_holders_are_as_before(regions):
    assert _rankings(**regions) == EARLIER_RANKINGS


# Guards against: a replica that gets all reads of its region although those of
# other regions are free, because the way to them counts more than its load.
def test_a_far_endpoint_costs_as_much_as_one_in_another_domain():
    loads = [
        load("near", latency=0.03),
        load("next", domain="b", latency=0.02),
        load("far", domain="c", latency=0.015),
    ]
    found = order_for_read(
        loads,
        now=10.0,
        primary=None,
        min_position=Position(1, 5),
        failure_domain="a",
    )
    assert [(c.endpoint.name, round(c.cost, 6)) for c in found] == [
        ("far", 0.017),
        ("next", 0.022),
        ("near", 0.03),
    ]


def test_waits_grow_with_the_distance_up_to_a_bound():
    settings = LIMIT_SETTINGS
    assert settings.ask_timeout_at(0.0) == settings.ask_timeout
    assert settings.max_wait_at(0.0) == settings.max_wait
    assert settings.max_wait_at(0.016) == settings.max_wait + 0.016
    assert settings.ask_timeout_at(5.0) == settings.max_wait_at(5.0) == 0.1


def test_the_distance_is_the_shortest_recent_round_trip():
    distances = RegionDistances(TWO, "z0")
    assert distances.round_trip(0, "z4") == DEFAULT_ROUND_TRIP_SECONDS
    for at, seconds in [(0, 0.02), (10, 0.017), (20, 0.3), (25, 0.025)]:
        distances.record(at, "z3", seconds)
    assert distances.round_trip(25, "z4") == 0.017
    # The path has become longer.
    assert distances.round_trip(45, "z4") == 0.025
    # Nothing is heard from a region that is cut off: the last value remains.
    assert distances.round_trip(500, "z4") == 0.025
    # The own region isn't measured, and an unknown domain is a far one.
    distances.record(0, "z1", 9.0)
    assert distances.round_trip(0, "z1") == 0.0
    assert distances.round_trip(0, "new") == DEFAULT_ROUND_TRIP_SECONDS


def test_a_small_workspace_has_one_home_in_each_region():
    homes, places = _homes(81, 56, regions=TWO, bursts=BURSTS)
    assert homes.count_by_region() == {"r0": 4, "r1": 3}
    for workspace in WORKSPACES:
        first = {}
        for name, place in places.items():
            candidates = homes.candidates_from(workspace, name)
            region = TWO.region(place.failure_domain)
            first.setdefault(region, set()).add(candidates[0])
            # Its own region comes first, so a replacement is near as well.
            far = [not _is_in(region, places[c]) for c in candidates]
            assert far == sorted(far)
            assert set(candidates) == set(homes.candidates(workspace))
        assert [len(names) for names in first.values()] == [1, 1]
        holders = homes.share_holders(workspace)
        assert {*first["r0"], *first["r1"]} == set(holders[:2])
        # One more, so that two thirds of the rate are left if one fails.
        assert len(holders) == MIN_SMALL_HOLDERS
        assert homes.candidates(workspace)[:3] == holders


def _is_in(region, place):
    return TWO.region(place.failure_domain) == region


def test_a_large_workspace_has_a_home_in_each_failure_domain():
    bursts = dict.fromkeys(WORKSPACES, 48.0)
    homes, places = _homes(81, 56, regions=TWO, bursts=bursts)
    before, _ = _homes(81, 56)
    for workspace in WORKSPACES:
        assert homes.candidates(workspace) == before.candidates(workspace)
        assert homes.share_holders(workspace) == before.share_holders(workspace)
        for name, place in places.items():
            candidates = homes.candidates_from(workspace, name)
            domains = [places[c].failure_domain for c in candidates]
            assert domains[0] == place.failure_domain
            far = [not TWO.is_same(d, domains[0]) for d in domains]
            assert far == sorted(far)


def _voters(missed=(), behind=()):
    """Returns seven voters; those of the first three domains are near."""
    return [
        VoterView(f"v{n}", n == 0, n % 6 > 2, n in missed, n in behind, -n)
        for n in range(7)
    ]


def _asked(voters, *, renews_contact=False):
    return {
        choose_voter(voters, turn, renews_contact=renews_contact)
        for turn in range(50)
    }


def test_a_non_voter_asks_the_voters_of_its_region():
    assert _asked(_voters()) == {"v0", "v1", "v2", "v6"}
    # Those that fail are still asked, so that their return is noticed.
    assert _asked(_voters(missed=(0, 1), behind=(2,))) == _asked(_voters())


def test_it_asks_all_voters_if_those_of_its_region_are_no_source():
    """A region whose voters are cut off from the store learns the changes."""
    everyone = {f"v{n}" for n in range(7)}
    assert _asked(_voters(missed=(0, 1), behind=(2, 6))) == everyone
    single = [voter._replace(is_far=False) for voter in _voters()]
    assert _asked(single) == _asked(single, renews_contact=True) == everyone


def test_contact_with_a_majority_is_renewed_across_regions():
    """Without it an instance may not spend a share of a rate it got lately."""
    assert _asked(_voters(), renews_contact=True) == {"v6"}
    assert _asked(_voters(missed=(6, 5)), renews_contact=True) == {"v4"}


def test_round_trips_and_lost_asks_are_published(monkeypatch):
    monkeypatch.setattr(trio, "current_time", lambda: 1.0)
    metrics = Metrics()
    regions = RegionMap({"z0": "r0", "z1": "eu-2"})
    members = {"far": InstanceResources("z1"), "near": InstanceResources("z0")}

    class Registry:
        pass

    Registry.members = members
    meter = DistanceMeter(regions, "z0", metrics)
    holders = HolderDistances(meter, Registry, metrics)
    holders.note_ask("far", 0.0181)
    holders.note_ask("near", 0.5)
    holders.note_ask("far", None)
    holders.note_ask("gone", 0.5)
    text = metrics.render()
    assert "lagoonstair_region_round_trip_seconds_eu_2 0.0181\n" in text
    assert "lagoonstair_asks_lost_total 1\n" in text
    assert text.count("round_trip") == 1
    trips = [holders.round_trip(name) for name in ("far", "near", "gone")]
    assert trips == [0.0181, 0.0, 0.0]


def test_new_homes_are_logged_by_region(monkeypatch):
    events = []
    monkeypatch.setattr(
        _distance, "log_event", lambda event, **fields: events.append(fields)
    )
    homes, _ = _homes(81, 56, regions=TWO)
    none, _ = _homes(1, 30, regions=TWO)
    log_homes(none, homes, TWO)
    log_homes(homes, homes, TWO)
    log_homes(none, homes, ONE)
    assert events == [{"homes": {"r0": 4, "r1": 3}, "direct": False}]


def test_a_fleet_without_regions_measures_nothing():
    metrics = Metrics()
    fleet = Fleet("i0", "z0", metrics, Features(regions=ONE))
    fleet.distances.record("z5", 0.1)
    assert "round_trip" not in metrics.render()


@pytest.mark.parametrize(("distance", "lost"), [(0.0, True), (0.016, False)])
async def test_an_ask_across_regions_has_more_time(
    distance, lost, autojump_clock
):
    """An answer that takes as long as the way must not count as lost."""
    outcomes = []

    async def call(address, ask, answer):
        await trio.sleep(0.052)
        lent = tuple(TokenLoan(w.workspace, w.amount, 0) for w in ask.wants)
        return TokenGrant(seq=ask.seq, lent=lent)

    service = LimitService(
        "here",
        SimpleNamespace(call=call),
        SimpleNamespace(register=lambda *_: None),
        lambda name: Address("10.0.0.1", 1),
        lambda now: True,
        settings=LIMIT_SETTINGS,
        distance=lambda name: distance if name == "far" else 0.0,
        on_ask=lambda name, seconds: outcomes.append((name, seconds)),
    )
    limit = WorkspaceLimit.from_config(rate=50, burst=9, holders=("far",))
    service.apply(1, {"w": limit})
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.run)
        try:
            await service.admit_known("w")
        except LagoonstairError:
            assert lost
        else:
            assert not lost
        await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    name, seconds = outcomes[0]
    assert name == "far"
    assert seconds == (None if lost else pytest.approx(0.052))
