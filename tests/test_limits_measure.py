"""The measured scenarios keep the limit, and loans reduce needless refusals."""

import pytest

from lagoonstair.measure import _limits


@pytest.mark.parametrize("scenario", _limits.SCENARIOS)
def test_runs_keep_the_bound(scenario, monkeypatch):
    monkeypatch.setattr(_limits, "MEASURED_SECONDS", 16.0)
    row = _limits.measure("vembanad", scenario, "lent shares", 0.6)
    assert row["over"] == 0


def test_lent_shares_refuse_less_than_a_static_split(monkeypatch):
    monkeypatch.setattr(_limits, "MEASURED_SECONDS", 8.0)
    split, lent = (
        _limits.measure("vembanad", "moving", way, 0.6)["refused_within"]
        for way in ("static split", "lent shares")
    )
    assert split > 0.1
    assert lent < 0.001
