"""Checks that settings list all faults and no secrets."""

import json

import pytest

from lagoonstair.exceptions import LagoonstairError
from lagoonstair.settings import load_settings, parse_settings

LISTENER = {"host": "127.0.0.1", "port": 0}
GOOD = {
    "name": "i1",
    "failure_domain": "a",
    "callers": LISTENER,
    "operators": LISTENER,
    "peers": LISTENER,
    "platform": LISTENER,
    "peer_secret": "p" * 16,
    "session_secrets": ["s" * 16],
    "operator_keys_sha256": ["0" * 64],
}


def _parse(**changes):
    return parse_settings(json.dumps({**GOOD, **changes}))


def test_good_settings_parse():
    assert _parse().callers.address == ("127.0.0.1", 0)


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"name": ""}, ["name"]),
        ({"extra": 1}, ["extra"]),
        (
            {"callers": {"host": "x", "port": 70000}},
            ["callers.host", "callers.port"],
        ),
        ({"timing": {"freshness_bound": -1}}, ["timing.freshness_bound", "-1"]),
        ({"timing": {"freshness_bound": "6"}}, ["timing.freshness_bound"]),
        ({"timing": {"freshness_bound": 1.0}}, ["timing", "config_poll"]),
        ({"operator_keys_sha256": ["zz"]}, ["operator_keys_sha256.0"]),
    ],
)
def test_every_fault_is_named(changes, named):
    with pytest.raises(LagoonstairError) as caught:
        _parse(**changes)
    assert [word for word in named if word not in caught.value.message] == []


def test_a_missing_field_is_named_as_missing():
    with pytest.raises(LagoonstairError, match="name: expected a value"):
        parse_settings(
            json.dumps({k: v for k, v in GOOD.items() if k != "name"})
        )


def test_a_secret_is_not_repeated():
    with pytest.raises(LagoonstairError) as caught:
        _parse(peer_secret="hunter2")
    assert "hunter2" not in str(caught.value)


@pytest.mark.parametrize("text", ["", "{", "[]", "null", '"x"'])
def test_what_is_no_object_is_refused(text):
    with pytest.raises(LagoonstairError):
        parse_settings(text)


def test_missing_file_is_named(tmp_path):
    with pytest.raises(LagoonstairError, match="nowhere"):
        load_settings(tmp_path / "nowhere.json")
