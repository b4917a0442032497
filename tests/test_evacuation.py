"""Decisions on evacuated failure domains; no network is needed."""

import itertools
import math
import random
from types import SimpleNamespace

import msgspec
import pytest

from lagoonstair._types import Address, Position
from lagoonstair.cli._explain import explain_request
from lagoonstair.evacuation import (
    RESTORE_SECONDS,
    RETURN_SECONDS,
    Evacuations,
    EvacuationSet,
    HandoverState,
    is_excluded,
    must_refuse,
    skipped_for_read,
)
from lagoonstair.features import Features
from lagoonstair.platform.operator import decode_evacuations
from lagoonstair.platform.store import Rows, StoredRow
from lagoonstair.primacy import Cause, GroupRecord, PrimaryView, promotion_cause
from lagoonstair.proxy import _evacuator
from lagoonstair.proxy._evacuator import Evacuator
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._tables import KnownVersions, Tables, Update
from lagoonstair.routing import Endpoint, EndpointLoad, order_for_read

BOUND = 5.0
HARD_STOP = BOUND / 2


def _known(*domains, version=10, now=0.0):
    """Returns the state of an instance that knew of no evacuation before."""
    state = Evacuations(BOUND)
    state.apply(EvacuationSet(1, 1), now, current_at=now)
    if domains:
        new = EvacuationSet(1, version, domains)
        state.apply(new, now, current_at=now)
    return state


def _endpoint(name, domain):
    return Endpoint(
        name=name,
        group="g",
        address=Address("10.0.0.1", 1),
        failure_domain=domain,
        slots=4,
        leaving=False,
        says_primary=False,
        started=1,
    )


def test_replicas_are_excluded_at_once_and_a_primary_after_the_hard_stop():
    """A primary must serve during its handover, but not until the bound."""
    state = _known("a")
    excluded = [
        is_excluded(state, "a", is_primary=primary, now=now)
        for primary in (False, True)
        for now in (0.0, HARD_STOP - 0.01, HARD_STOP)
    ]
    assert excluded == [True, True, True, False, False, True]
    assert not is_excluded(state, "b", is_primary=False, now=9.0)


@pytest.mark.parametrize(
    ("age", "stops_after"),
    [(0.0, HARD_STOP), (1.5, HARD_STOP), (3.5, 1.0), (math.inf, 0.0)],
)
def test_an_instance_that_learns_late_stops_within_the_bound(age, stops_after):
    """At its start an instance knows not when the row was written.

    Counting from then would use a primary up to half a bound after the bound.
    """
    state = Evacuations(BOUND)
    state.apply(EvacuationSet(1, 5, ("a",)), 100.0, current_at=100.0 - age)
    assert state.stop_after("a", 100.0) == pytest.approx(stops_after)


def test_a_newer_set_replaces_an_older_one_and_no_older_one_a_newer():
    """A peer that is behind must not bring a removed row back."""
    state = _known("a", version=10)
    assert state.apply(EvacuationSet(1, 30), 1.0, current_at=1.0).returned
    stale = EvacuationSet(1, 20, ("a",))
    assert not state.apply(stale, 2.0, current_at=2.0).evacuated
    assert not state.domains


def test_equal_sets_cost_no_message():
    """Heartbeats raise the store's version all the time."""
    state = _known("a", version=10)
    state.apply(EvacuationSet(1, 90, ("a",)), 1.0, current_at=1.0)
    assert state.known == (1, 90)
    assert state.newer_than((1, 10), 1.0) is None
    assert state.newer_than((1, 9), 1.0) == EvacuationSet(1, 90, ("a",))


def test_a_feed_marks_removed_rows_and_a_full_read_lacks_them():
    """Each is the only sign of a removal; a missed one lasts for ever."""
    state = _known("a", "b")
    state.apply_rows((1, 11), ["c"], ["a"], 1.0, current_at=1.0)
    assert state.domains == {"b", "c"}
    state.apply(EvacuationSet(1, 12, ("c",)), 2.0, current_at=2.0)
    assert state.domains == {"c"}
    # The rows of a feed that was delayed are older than the full read.
    state.apply_rows((1, 11), ["a"], [], 3.0, current_at=3.0)
    assert state.domains == {"c"}


def test_a_restored_store_evacuates_until_the_operator_wrote_its_rows_again():
    """Traffic must not return to a domain because the copy lacks its row."""
    state = _known("a", "b", version=500)
    state.apply(EvacuationSet(2, 100, ("c",)), 10.0, current_at=10.0)
    assert state.domains == {"a", "b", "c"}
    state.apply_rows((2, 101), ["a"], [], 12.0, current_at=12.0)
    assert state.expire(10 + RESTORE_SECONDS - 0.1).returned == ()
    change = state.expire(10 + RESTORE_SECONDS)
    assert [domain for domain, _ in change.returned] == ["b"]
    assert state.domains == {"a", "c"}


def test_a_process_that_starts_after_a_restore_learns_what_is_held():
    """Its own table lacks the lost row, and it knew none before."""
    sender = _known("a", version=500)
    sender.apply(EvacuationSet(2, 100), 10.0, current_at=10.0)
    new = Evacuations(BOUND)
    new.apply(sender.newer_than((0, 0), 14.0), 50.0, current_at=-math.inf)
    assert new.domains == {"a"}
    assert new.expire(50.0 + RESTORE_SECONDS - 4.0).returned


@pytest.mark.parametrize(
    ("stopped", "promoting", "candidate", "refused", "refused_begin"),
    [
        (False, False, True, False, False),
        (False, False, False, False, True),
        (True, False, True, True, True),
        (True, True, True, False, False),
        (True, True, False, True, True),
    ],
)
def test_what_only_a_stopped_primary_can_run_is_refused_at_once(
    stopped, promoting, candidate, refused, refused_begin
):
    """Such a statement would wait for its whole timeout in vain."""
    state = HandoverState(True, stopped, promoting, candidate)
    assert must_refuse(state, begins_transaction=False) is refused
    assert must_refuse(state, begins_transaction=True) is refused_begin
    elsewhere = state._replace(is_evacuated=False)
    assert not must_refuse(elsewhere, begins_transaction=True)


@pytest.mark.parametrize(
    ("evacuated_for", "all_reachable", "cause"),
    [
        (0.0, True, None),
        (0.1, True, Cause.EVACUATED),
        (0.1, False, None),
        (1.2, False, Cause.EVACUATED),
    ],
)
def test_an_evacuated_primary_is_replaced(evacuated_for, all_reachable, cause):
    """Waiting for unresponsive instances for ever would pass the bound."""
    view = PrimaryView(0.0, (0.0,), 0.0, 0.0, all_reachable, evacuated_for)
    found = promotion_cause(view, max_wait=3.0, max_evacuation_wait=1.1)
    assert found is cause


@pytest.mark.parametrize(
    ("key", "value", "is_present"),
    [
        ("evacuate/a", b"{}", True),
        ("evacuate/a", b'{"by":"x"}', True),
        ("evacuate/a", b"[]", False),
        ("evacuate/a", b"{", False),
        ("evacuate/", b"{}", False),
    ],
)
async def test_an_unreadable_row_is_ignored(key, value, is_present, events):
    """A mistyped row must neither evacuate nor be logged at each check."""
    rows = [StoredRow(key, value, 1), StoredRow("config", b"?", 1)]
    assert bool(decode_evacuations(rows).present) is is_present
    fleet = Fleet("i1", "a", Metrics(), Features(BOUND))
    evacuator = Evacuator(fleet, Metrics())
    for version in (2, 3):
        found = Rows(tuple(rows), version, 0.0, 0.0, 1)
        evacuator.apply_rows(
            found, is_whole=True, source="check", current_at=0.0
        )
    assert bool(fleet.evacuation.domains) is is_present
    names = [event for event, _ in events]
    assert names.count("evacuation unreadable") == (not is_present)


@pytest.fixture
def events(monkeypatch):
    """Collects what the code that applies a set logs."""
    logged = []
    monkeypatch.setattr(
        _evacuator, "log_event", lambda event, **f: logged.append((event, f))
    )
    return logged


def _tables_of(bound):
    fleet = Fleet("i1", "a", Metrics(), Features(bound))
    registry = SimpleNamespace(
        version=1, era=1, changes_since=lambda era, version: ()
    )
    return Tables(fleet, registry, Metrics())


def _exchange(sender, receiver):
    """Sends what a receiver lacks, over the wire; returns the update."""
    known = msgspec.msgpack.encode(receiver.known_versions())
    update = sender.update_for(
        msgspec.msgpack.decode(known, type=KnownVersions)
    )
    encoded = msgspec.msgpack.encode(update)
    receiver.apply_update("i2", msgspec.msgpack.decode(encoded, type=Update), 1)
    return update


@pytest.mark.parametrize("bound", [BOUND, None])
async def test_gossip_carries_the_set_to_those_that_use_it(bound, events):
    """An instance that does not follow the store hears of it from voters."""
    voter = _tables_of(BOUND)
    rows = Rows((StoredRow("evacuate/x", b"{}", 7),), 9, 0.0, 0.0, 1)
    voter.apply_evacuations(rows, is_whole=True, source="feed")
    other = _tables_of(bound)
    assert (_exchange(voter, other).evacuations is None) is (bound is None)
    assert bool(other._fleet.evacuation.domains) is (bound is not None)
    assert _exchange(voter, other).evacuations is None
    # The domain has no endpoints: it is kept and logged, and harms nothing.
    assert [f["endpoints"] for _, f in events] == [0] * len(events)


async def test_an_instance_is_complete_only_with_the_evacuated_domains(events):
    """A restarted instance must not serve before it knows them."""
    tables = _tables_of(BOUND)
    tables._fleet.config = object()
    tables._fleet.endpoints["d1"] = _endpoint("d1", "a")
    assert not tables.is_complete
    tables.apply_evacuations(
        Rows((), 9, 0.0, 0.0, 1), is_whole=True, source="read"
    )
    assert tables.is_complete


async def test_the_domain_of_an_endpoints_entry_counts():
    """An endpoint that moves into or out of a domain follows its entry."""
    fleet = Fleet("i1", "a", Metrics(), Features(BOUND))
    fleet.evacuation = _known("a")
    fleet.set_record("g", GroupRecord(epoch=1, primary="d1"))
    for name in ("d1", "d2"):
        fleet.set_endpoint(_endpoint(name, "a"))
    assert not _evacuator.has_candidate(fleet, "g")
    fleet.set_endpoint(_endpoint("d2", "b"))
    assert _evacuator.has_candidate(fleet, "g")
    assert not fleet.is_excluded(fleet.pools["d2"])


class _Instance:
    """An instance that sends reads to three replicas, one in each domain."""

    def __init__(self, domain):
        self.state = _known()
        self._domain = domain

    def read(self, now, rng):
        """Returns the domain that a read goes to."""
        loads = [
            EndpointLoad(
                endpoint=_endpoint(f"r{domain}", domain),
                in_flight=rng.randrange(3),
                latency=0.02,
                has_idle_connection=True,
                position=Position(1, 5),
                answered_at=now,
                suspect=False,
            )
            for domain in "abc"
        ]
        excluded = {
            load.endpoint.name
            for load in loads
            if is_excluded(
                self.state,
                load.endpoint.failure_domain,
                is_primary=False,
                now=now,
            )
        }
        skipped = skipped_for_read(self.state, "abc", now, rng.random())
        found = order_for_read(
            loads,
            now=now,
            primary=None,
            min_position=Position(1, 5),
            failure_domain=self._domain,
            excluded=excluded | {f"r{domain}" for domain in skipped},
        )
        return found[0].endpoint.failure_domain


def _share(instances, now, rng, domain="a"):
    """Returns the share of 40 reads of each instance that go to a domain."""
    reads = [i.read(now, rng) for i in instances for _ in range(40)]
    return reads.count(domain) / len(reads)


async def test_an_endpoint_that_was_busy_gets_reads_again_after_its_return():
    """Guards against: its last average, taken under load, keeps all reads off.

    Nothing else would lower that average without a statement.
    """
    fleet = Fleet("i1", "a", Metrics(), Features(evacuation_bound=BOUND))
    fleet.set_endpoint(_endpoint("d1", "a"))
    fleet.set_endpoint(_endpoint("d2", "b"))
    busy, idle = fleet.pools["d1"], fleet.pools["d2"]
    busy._latency, idle._latency = 0.4, 0.003
    evacuator = Evacuator(fleet, Metrics())
    for version, domains in enumerate(((), ("a",), ()), start=1):
        new = EvacuationSet(1, version, domains)
        evacuator.apply(new, source="feed", current_at=0.0)
    assert busy.latency == idle.latency == 0.003


def test_load_pattern_all_traffic_of_a_domain_moves_within_the_bound():
    """Load: 74 instances read; each learns of the row at another time.

    The latest learns after the age that the known configuration may reach, and
    two rounds of gossip.
    """
    rng = random.Random(1)
    instances = [_Instance(rng.choice("abc")) for _ in range(74)]
    before = _share(instances, 0.0, rng)
    assert before > 0.2
    for instance in instances:
        at = rng.uniform(0, 0.7 * 3.0 + 0.9)
        new = EvacuationSet(1, 10, ("a",))
        instance.state.apply(new, at, current_at=0.0)
        assert instance.state.is_stopped("a", BOUND)
    assert _share(instances, BOUND, rng) == 0


def test_load_pattern_the_load_of_a_domain_returns_gradually():
    """Load: all reads of a domain would otherwise return in one second.

    Its endpoints have closed all their connections meanwhile.
    """
    rng = random.Random(2)
    instances = [_Instance(rng.choice("abc")) for _ in range(74)]
    full = _share(instances, 0.0, rng)
    for instance in instances:
        new = EvacuationSet(1, 10, ("a",))
        instance.state.apply(new, 0.0, current_at=0.0)
        learned_at = 20 + rng.uniform(0, 0.5)
        instance.state.apply(
            EvacuationSet(1, 11), learned_at, current_at=learned_at
        )
    steps = [20.5 + n / 4 for n in range(14)]
    shares = [_share(instances, now, rng) for now in steps]
    assert shares[0] < full / 4
    rises = [b - a for a, b in itertools.pairwise(shares)]
    assert max(rises) < full * (0.25 / RETURN_SECONDS) * 2.5
    assert shares[-1] == pytest.approx(full, rel=0.15)


def test_a_returning_domain_serves_what_no_other_can():
    """A read must not be refused while a returning endpoint could serve it."""
    state = _known("a")
    state.apply(EvacuationSet(1, 11), 20.0, current_at=20.0)
    assert skipped_for_read(state, "ab", 20.0, 0.0) == {"a"}
    # The caller of the decision tries again without it; see the fleet's tests.
    assert skipped_for_read(state, "ab", 20 + RETURN_SECONDS, 0.999) == set()
    assert not is_excluded(state, "a", is_primary=False, now=20.0)


@pytest.mark.parametrize("known", [True, False])
def test_explain_names_the_evacuated_domain(known):
    """A refusal without its cause sends the operator to the wrong part."""
    evacuated = {
        "event": "failure domain evacuated",
        "time": 1.0,
        "instance": "i1",
        "domain": "a",
    }
    answered = {
        "event": "statement answered",
        "time": 4.0,
        "instance": "i1",
        "request": "r1",
        "outcome": "busy",
        "cause": "the failure domain of the primary is evacuated",
    }
    events = [evacuated, answered] if known else [answered]
    cause = explain_request("r1", events).cause
    assert "evacuated" in cause
    assert ("domain a was evacuated, since 3.0 s" in cause) is known
