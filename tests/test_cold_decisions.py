"""Decisions about endpoints that have just started."""

import dataclasses
import math

import msgspec
import pytest

from lagoonstair._types import Address
from lagoonstair.cold import (
    ColdRate,
    ColdReport,
    ColdStarts,
    HolderHistory,
    cold_rate,
    has_valid_time,
    share_key,
)
from lagoonstair.features import ColdLimits
from lagoonstair.limits import Limiter, LimitSettings, WorkspaceLimit
from lagoonstair.platform import discovery, operator
from lagoonstair.routing import Endpoint, GroupConfig
from proxy_fleet import config

GROUP = GroupConfig(
    name="g",
    max_connections=30,
    synchronous_replicas=0,
    cold_seconds=10.0,
    cold_rate=20.0,
)


def endpoint(name="d1", started=1, cold_left=0.0):
    return Endpoint(
        name=name,
        group="g",
        address=Address("10.0.0.1", 1),
        failure_domain="a",
        slots=4,
        leaving=False,
        says_primary=False,
        started=started,
        cold_left=cold_left,
    )


def entry(**changes):
    value = {
        "service": "g",
        "address": "10.0.0.1:1",
        "zone": "a",
        "state": "ready",
        "db_role": "replica",
        "slots": 4,
        "seq_no": 1,
        "born": 1,
    }
    return msgspec.json.encode({**value, **changes})


@pytest.mark.parametrize(
    ("rate", "excess", "slack", "expected"),
    [
        (20, 1.5, 5, ColdRate(20, 15)),
        (4, 2, 0, ColdRate(4, 4)),
        # A bound below the rate still lets single requests through.
        (10, 1, 0, ColdRate(10, 1)),
        (0, 1.5, 5, None),
    ],
)
def test_rate_and_burst_make_up_the_bound(rate, excess, slack, expected):
    group = GroupConfig(
        name="g", max_connections=1, synchronous_replicas=0, cold_rate=rate
    )
    assert cold_rate(group, ColdLimits(excess, slack)) == expected


# Guards against: an amount that ends the application of all workspaces' rates,
# or a statement of which the wait can't be told.
@pytest.mark.parametrize("rate", [1e-9, 1e303, 1.7e308])
def test_extreme_amounts_can_be_applied_as_limits(rate):
    group = dataclasses.replace(GROUP, cold_rate=rate)
    found = cold_rate(group, ColdLimits(1.5, 5))
    limit = WorkspaceLimit.from_config(
        rate=found.rate, burst=found.burst, holders=("a", "b")
    )
    limiter = Limiter("a", "run", LimitSettings())
    limiter.apply(1.0, 1, {"k": limit})
    effects = limiter.request(1.0, "k", 1, fresh=True)
    assert all(math.isfinite(e.retry_after) for e in effects)


# Guards against: an entry that is lost because of its cold time.
@pytest.mark.parametrize(
    ("raw", "left"),
    [
        (b"1500", 1.5),
        (b"0", 0.0),
        (b"-1", math.nan),
        (b'"soon"', math.nan),
        (b"true", math.nan),
        (b"null", math.nan),
        (b"[[1]]", math.nan),
        (b"1e999", math.inf),
        (b"9" * 5000, math.inf),
    ],
)
def test_an_odd_cold_time_leaves_the_entry_usable(raw, left):
    value = entry()[:-1] + b',"cold_left_ms":' + raw + b"}"
    found = discovery.decode_endpoint("d1", value)
    assert found is not None
    assert found.cold_left == left or (
        math.isnan(left) and math.isnan(found.cold_left)
    )
    assert has_valid_time(found, GROUP) is (left < 10)


def test_an_entry_without_a_cold_time_is_warm_and_equal_to_a_cold_one():
    warm = discovery.decode_endpoint("d1", entry())
    cold = discovery.decode_endpoint("d1", entry(cold_left_ms=900))
    assert warm.cold_left == 0
    assert warm == cold


# Guards against: a configuration that is dropped because of an odd amount.
def test_odd_cold_amounts_are_named_and_count_as_none():
    document = config()
    document["services"][0] |= {"cold_start_s": "long", "cold_per_s": -3}
    cfg = operator.decode_config(msgspec.json.encode(document))
    assert (cfg.groups["g"].cold_seconds, cfg.groups["g"].cold_rate) == (0, 0)
    assert cfg.faults == (
        "g.cold_start_s is no amount",
        "g.cold_per_s is no amount",
    )
    document["services"][0] |= {"cold_start_s": 8, "cold_per_s": 2.5}
    cfg = operator.decode_config(msgspec.json.encode(document))
    assert (cfg.groups["g"].cold_seconds, cfg.groups["g"].cold_rate) == (8, 2.5)
    assert cfg.faults == ()


def cold_names(starts, now):
    return [start.endpoint.name for start in starts.cold(now, GROUP)]


def test_a_later_entry_corrects_the_end_in_both_directions():
    starts = ColdStarts()
    assert starts.observe(endpoint(), sequence=1, left=4.0, read_at=100.0)
    assert cold_names(starts, 103.9) == ["d1"]
    assert cold_names(starts, 104.0) == []
    starts.observe(endpoint(), sequence=2, left=6.0, read_at=101.0)
    assert cold_names(starts, 106.9) == ["d1"]
    # One that was on its way for longer changes nothing.
    assert not starts.observe(endpoint(), sequence=1, left=9.0, read_at=102.0)
    starts.observe(endpoint(), sequence=3, left=0.0, read_at=102.0)
    assert cold_names(starts, 102.0) == []


def test_a_huge_time_counts_as_the_longest_one():
    starts = ColdStarts()
    starts.observe(endpoint(), sequence=1, left=math.inf, read_at=100.0)
    assert cold_names(starts, 109.9) == ["d1"]
    assert cold_names(starts, 110.0) == []
    starts.prune(1000.0)
    assert starts.reports(1000.0) == ()


def test_a_new_process_has_a_time_and_a_rate_of_its_own():
    starts = ColdStarts()
    starts.observe(endpoint(), sequence=900, left=2.0, read_at=100.0)
    new = endpoint(started=2)
    starts.observe(new, sequence=1, left=5.0, read_at=101.0)
    assert cold_names(starts, 105.0) == ["d1"]
    assert share_key(new) == "endpoint:d1:2" != share_key(endpoint())
    starts.observe(endpoint(started=3), sequence=1, left=0.0, read_at=102.0)
    assert starts.reports(102.0) == ()


# Guards against: instances that know an endpoint by gossip only, and would
# keep its first cold time.
def test_peers_are_told_the_time_and_that_it_is_over():
    starts = ColdStarts()
    starts.observe(endpoint(), sequence=4, left=5.0, read_at=100.0)
    assert starts.reports(102.0) == (ColdReport("d1", 1, 4, 3.0),)
    starts.observe(endpoint(), sequence=5, left=0.0, read_at=103.0)
    assert starts.reports(103.0) == (ColdReport("d1", 1, 5, 0.0),)
    starts.prune(114.0)
    assert starts.reports(114.0) == ()


def test_holders_start_at_once_only_if_all_knew_them_before_the_start():
    history = HolderHistory()
    history.update(100.0, frozenset("ab"))
    assert not history.is_settled(102.0, 0.0)
    assert history.is_settled(102.1, 0.0)
    # The endpoint started when another set may have been in force.
    assert not history.is_settled(104.0, 3.0)
    history.update(110.0, frozenset("ab"))
    assert history.is_settled(110.0, 3.0)
    history.update(110.0, frozenset("abc"))
    assert not history.is_settled(111.0, 0.0)
