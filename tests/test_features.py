"""Which settings call for which optional feature."""

import json

import pytest

from lagoonstair.features import ColdLimits
from lagoonstair.proxy._settings import parse_settings
from lagoonstair.regions import RegionMap
from test_proxy_parts import SETTINGS


def _features(**changes):
    return parse_settings(json.dumps({**SETTINGS, **changes}).encode()).features


def test_settings_without_the_new_fields_turn_nothing_on():
    features = _features(contracts=["base", "quota"], regions={"a": "r"})
    assert features.evacuation_bound is None
    assert features.cold_limits is None
    assert not features.overload_control
    assert not features.is_regional
    assert not features.sheds_unreachable


@pytest.mark.parametrize(
    "changes",
    [
        {"contracts": ["base", "pressure"]},
        {"regions": {"a": "r1", "b": "r2"}},
    ],
)
def test_scarce_or_distant_capacity_sheds_callers(changes):
    assert _features(**changes).sheds_unreachable


def test_evacuation_and_cold_limits_come_from_their_own_fields():
    features = _features(evacuate_ms=5000, cold_excess=1.5, cold_slack=5)
    assert features.evacuation_bound == 5.0
    assert features.cold_limits == ColdLimits(excess=1.5, slack=5)
    assert _features(cold_excess=1.5).cold_limits is None


def test_a_domain_without_a_region_is_near_to_no_other_one():
    regions = RegionMap({"a": "r1", "b": "r1", "c": "r2"})
    assert regions.is_same("a", "b")
    assert not regions.is_same("a", "c")
    assert not regions.is_same("a", "unknown")
    assert regions.is_same("unknown", "unknown")
