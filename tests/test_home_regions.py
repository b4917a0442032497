"""Where requests with home regions may run.

Load pattern: callers of two regions ask for routes and workspaces with home
regions, and the endpoints and homes are spread over both regions.
"""

import itertools
from types import SimpleNamespace

import msgspec
import pytest
import trio

from lagoonstair._types import Address, Position
from lagoonstair.features import Features
from lagoonstair.homes import HomeAssignment, InstanceResources
from lagoonstair.platform import operator
from lagoonstair.primacy import GroupRecord
from lagoonstair.proxy import _region_filter
from lagoonstair.proxy._conversation import CallerConnection
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._front import CallerServer
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._region_filter import (
    ELSEWHERE_FAILURE,
    ELSEWHERE_MESSAGE,
)
from lagoonstair.proxy._relays import HomeRouter
from lagoonstair.proxy._targets import Caller, Target, TargetSelector
from lagoonstair.proxy._transactions import Transaction, TransactionManager
from lagoonstair.regions import RegionMap, allowed_regions
from lagoonstair.routing import Endpoint
from lagoonstair.statements import Run, Session, Success
from proxy_fleet import ROUTE, config, one_endpoint

REGIONS = {"e1": "east", "e2": "east", "w1": "west"}

PLACES = {
    "i1": InstanceResources("e1"),
    "i2": InstanceResources("e2"),
    "i3": InstanceResources("w1"),
    "i4": InstanceResources("w1"),
    "i5": InstanceResources("lost"),
}
"""The instances; no region of the last one's failure domain is known."""


def decoded(route=None, workspace=None, version=1):
    """Returns a configuration with home regions for all routes and `w1`."""
    document = config(version=version)
    for row in document["routes"]:
        if route is not None:
            row["home_regions"] = route
    if workspace is not None:
        document["tenants"][0]["home_regions"] = workspace
    return operator.decode_config(msgspec.json.encode(document))


def fleet_with(cfg, domains, primary="d0"):
    """Returns a fleet with an endpoint in each of the failure domains."""
    features = Features(regions=RegionMap(REGIONS))
    fleet = Fleet("i1", "e1", Metrics(), features)
    fleet.set_config(cfg)
    for number, domain in enumerate(domains):
        fleet.set_endpoint(
            Endpoint(
                name=f"d{number}",
                group="g",
                address=Address("10.0.0.1", number + 1),
                failure_domain=domain,
                slots=4,
                leaving=False,
                says_primary=number == 0,
                started=1,
            )
        )
    fleet.primacy.set_voters(["i1"], 1)
    fleet.set_record("g", GroupRecord(epoch=1, primary=primary))
    fleet.note_position("g", trio.current_time(), Position(1, 1))
    return fleet


@pytest.mark.parametrize(
    ("route", "workspace", "allowed"),
    [
        (None, None, None),
        ([], [], None),
        (["east"], None, {"east"}),
        (None, ["west"], {"west"}),
        (["east", "west"], ["west"], {"west"}),
        (["east"], ["west"], set()),
        (["mars"], None, {"mars"}),
        # What can't be read allows nothing rather than everything.
        ("east", None, {""}),
        ([7], None, {""}),
        ([7, "east"], None, {"east"}),
    ],
)
def test_route_and_workspace_both_constrain(route, workspace, allowed):
    cfg = decoded(route, workspace)
    found = allowed_regions(cfg.routes["b"], cfg.workspaces["w1"])
    assert found == (None if allowed is None else frozenset(allowed))
    is_invalid = route is not None and not all(
        isinstance(name, str) and isinstance(route, list) for name in route
    )
    assert bool(cfg.faults) is is_invalid


@pytest.mark.parametrize(
    ("kind", "writes", "domains", "regions", "expected"),
    [
        # Reads leave the endpoints elsewhere alone, also the nearest ones.
        ("b", False, ["e1", "e2", "w1"], ["west"], {"d2"}),
        ("b", False, ["w1", "e1", "e2"], ["east"], {"d1", "d2"}),
        ("b", False, ["e1", "w1"], None, {"d0", "d1"}),
        # The only endpoint in a home region is the primary.
        ("s", False, ["e1", "w1"], ["east"], {"d0"}),
        # A primary elsewhere is not used, and not moved.
        ("p", False, ["e1", "w1"], ["west"], set()),
        ("b", True, ["e1", "w1"], ["west"], set()),
        ("b", True, ["e1", "w1"], ["east"], {"d0"}),
        # No endpoint, or none of a known region.
        ("b", False, ["e1", "e2"], ["west"], set()),
        ("b", False, ["lost"], ["lost"], set()),
        ("b", False, ["e1"], ["mars"], set()),
        ("b", False, ["e1", "w1"], "east", set()),
    ],
)
async def test_statements_run_in_home_regions_only(
    kind, writes, domains, regions, expected
):
    cfg = decoded(regions)
    fleet = fleet_with(cfg, domains)
    targets = TargetSelector(fleet, Metrics())
    caller = Caller(workspace="w1", session=Session())
    now = trio.current_time()
    used, tried = set(), set()
    # A statement that can't run is refused at once, not at its deadline.
    with trio.fail_after(1):
        for _ in domains:
            target = await targets.choose(
                caller, cfg.routes[kind], writes, now, now + 9, tried
            )
            if not isinstance(target, Target):
                break
            used.add(target.pool.endpoint.name)
            if kind == "p" or writes:
                break
            tried.add(target.pool.endpoint.name)
    assert used == expected
    if not expected:
        assert target == ELSEWHERE_FAILURE
        assert "retry_after_ms=3000" in target.message


async def test_a_later_configuration_counts_for_what_began_before():
    cfg = decoded()
    fleet = fleet_with(cfg, ["e1"])
    targets = TargetSelector(fleet, Metrics())
    caller = Caller(workspace="w1", session=Session())
    pool = fleet.pools["d0"]
    assert targets.permits(caller, cfg.routes["p"], pool)
    fleet.set_config(decoded(["west"], version=2))
    assert not targets.permits(caller, cfg.routes["p"], pool)


@pytest.mark.parametrize(
    ("caller_at", "allowed", "expected"),
    [
        ("i1", {"w1"}, {"i3", "i4"}),
        ("i3", {"e1", "e2"}, {"i1", "i2"}),
        ("i1", None, {"i1", "i2", "i3", "i4", "i5"}),
        # Without a home there, the instance runs the session itself.
        ("i1", set(), {"i1"}),
    ],
)
async def test_sessions_are_relayed_to_allowed_homes_only(
    caller_at, allowed, expected
):
    fleet = Fleet(caller_at, PLACES[caller_at].failure_domain, Metrics())
    fleet.homes = HomeAssignment(PLACES, max_connections=40, workspaces=999)
    assert not fleet.homes.is_direct
    router = HomeRouter(fleet, Metrics(), lambda name: None, None)
    allowed = None if allowed is None else frozenset(allowed)
    found = {
        name
        for number in range(60)
        for name in router.candidates(f"w{number}", allowed)
    }
    assert found == expected


async def test_a_home_in_an_allowed_domain_is_found_for_each_workspace():
    homes = HomeAssignment(PLACES, max_connections=40, workspaces=999)
    for number, domain in itertools.product(range(60), ["e1", "e2", "w1"]):
        found = homes.candidates_from(
            f"w{number}", "i5", allowed=frozenset({domain})
        )
        assert found
        assert {PLACES[name].failure_domain for name in found} == {domain}


async def test_faults_of_the_regions_are_logged_once(monkeypatch):
    events = []
    monkeypatch.setattr(
        _region_filter,
        "log_event",
        lambda event, **fields: events.append((event, fields)),
    )
    cfg = decoded(["east", "mars"], ["west"])
    fleet = fleet_with(cfg, ["e1"])
    for _ in range(3):
        fleet.region_filter.domains(cfg.routes["b"], "w1")
    fleet.set_config(decoded(["east", "mars"], ["west"], version=2))
    fleet.region_filter.domains(cfg.routes["b"], "w1")
    names = [event for event, _ in events]
    assert names.count("home regions unknown") == 2
    assert names.count("home regions disjoint") == 1
    assert events[0][1]["regions"] == ["mars"]


# Guards against: a session whose caller goes on sending to a home that the
# configuration allows no more.
@pytest.mark.parametrize(
    ("home", "regions", "ended"),
    [("i2", ["west"], True), ("i3", ["west"], False), ("i2", None, False)],
)
async def test_a_session_leaves_a_home_that_is_no_longer_allowed(
    home, regions, ended
):
    fleet = fleet_with(decoded(), ["e1"])
    fleet.places = PLACES
    front = CallerServer(fleet, None, None, None, Metrics(), 1000, None)
    calls = []
    connection = CallerConnection(None, None, database="b", key="key-w1")
    connection.caller = Caller(workspace="w1", session=connection.session)
    connection.home = home
    connection.relayed = SimpleNamespace(
        cancel_when_idle=lambda: calls.append("idle"),
        cancel_when_answered=lambda: calls.append("answered"),
    )
    front._connections[1] = connection
    fleet.set_config(decoded(regions, version=2))
    assert calls == (["idle", "answered"] if ended else [])


# Guards against: a session that stays at a home outside its home regions since
# the configuration that excludes it was applied while it was being opened.
async def test_a_home_that_is_excluded_while_it_answers_is_left(monkeypatch):
    fleet = Fleet("i1", "e1", Metrics())
    fleet.places = PLACES
    fleet.homes = HomeAssignment(PLACES, max_connections=40, workspaces=999)
    router = HomeRouter(fleet, Metrics(), lambda name: None, None)
    allowed = frozenset({"e2"})
    opened, closed = [], []

    async def open_home(name, caller, start):
        nonlocal allowed
        opened.append(name)
        allowed = frozenset({"w1"})
        return SimpleNamespace(close=lambda: closed.append(name))

    monkeypatch.setattr(router, "_open", open_home)
    name, _ = await router.open_session(
        "w1", None, b"", lambda: True, allowed_domains=lambda: allowed
    )
    assert opened[0] == "i2"
    assert closed == ["i2"]
    assert PLACES[name].failure_domain == "w1"


# Guards against: a statement that waits for a slot while a configuration is
# applied that excludes its transaction's endpoint.
async def test_a_transaction_is_not_continued_elsewhere_after_a_wait():
    async with one_endpoint() as (fleet, database):
        targets = TargetSelector(fleet, Metrics())
        manager = TransactionManager(fleet, targets)
        caller = Caller(workspace="w", session=Session())
        tx = Transaction(
            route=ROUTE, read_only=False, began=trio.current_time()
        )
        write = Run(True, "WRITE a 1", autocommit=False)
        done = await manager.run(caller, tx, write, "q1")
        assert isinstance(done, Success)
        answers = iter([True, False])
        targets.permits = lambda *_: next(answers, False)
        refused = await manager.run(caller, tx, write, "q2")
        assert ELSEWHERE_MESSAGE in refused.message
        assert "q2" not in database.received_ids
