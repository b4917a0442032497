"""Tests of the arithmetic behind the capacity page."""

import pytest

from lagoonstair.capacity._fit import Point, Slope, fit_slope
from lagoonstair.capacity._fleet import compute_loads
from lagoonstair.capacity._measures import MEASURES


def test_fit_ignores_a_fixed_cost():
    points = [Point(size, 7.0 + 3.0 * size) for size in (1, 2, 5)]
    assert fit_slope(points) == pytest.approx(3.0)


def test_a_slope_keeps_its_spread():
    repeats = [[Point(1, 0.0), Point(2, rise)] for rise in (5.0, 1.0, 2.0)]
    slope = Slope.from_repeats("name", "unit", repeats)
    assert (slope.low, slope.value, slope.high) == (1.0, 2.0, 5.0)


def test_every_measure_has_three_sizes_or_more():
    assert all(len(set(m.sizes)) >= 3 for m in MEASURES.values())


def test_probes_of_the_fleet_follow_the_intervals():
    values = dict.fromkeys([*MEASURES, "status_first_bytes"], 1.0)
    probes = next(
        load for load in compute_loads(values) if load.role == "owner"
    )
    per_group = 3 * 4 + 2 * 3 * 2
    assert probes.value == pytest.approx(2200 / 3 * per_group / 910)
