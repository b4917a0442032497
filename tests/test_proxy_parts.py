"""Settings, logs, metrics, homes and rate tolerances of the proxy."""

import itertools
import json
import os
import pathlib
import re
from collections import Counter

import pytest
from loguru import logger

import proxy_fleet
from lagoonstair.homes import (
    MIN_CANDIDATES,
    MIN_STRONG_INSTANCES,
    HomeAssignment,
    InstanceResources,
)
from lagoonstair.limits import (
    MICROS_PER_TOKEN,
    LimitSettings,
    ShareBucket,
    WorkspaceLimit,
)
from lagoonstair.proxy._log import BURST_LINES, JsonSink
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._quota import Tolerance
from lagoonstair.proxy._settings import (
    SETTINGS_VARIABLE,
    SettingsError,
    load_settings,
    parse_settings,
)
from lagoonstair.routing import Workspace
from proxy_fleet import PORTS, free_ports

TEMPLATE = pathlib.Path(__file__).parent.parent / "deploy" / "settings.json"
SETTINGS = {
    "instance": "i1",
    "failure_domain": "a",
    "host": "10.0.0.1",
    "listen": {"entry": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "peer_ports": [7560, 7575],
    "store": "10.0.0.2:1",
    "duties": "10.0.0.2:2",
}


def test_the_template_has_every_required_field():
    # The fields inside a section are rendered as if its value was present.
    text = re.sub(r"\{\{[#/][^}]*\}\}", "", TEMPLATE.read_text())
    text = re.sub(r"\{\{[^}]*\}\}", '"x"', text)
    assert SETTINGS.keys() <= json.loads(text).keys()


def test_settings_are_checked_and_unknown_fields_ignored():
    value = {**SETTINGS, "new": 1}
    settings = parse_settings(json.dumps(value).encode())
    assert settings.peer_address == ("10.0.0.1", 7560)


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"instance": None}, "instance"),
        ({"instance": "i\r\nx: y"}, "instance"),
        ({"instance": "i1\n"}, "instance"),
        ({"instance": "i\0"}, "instance"),
        ({"peer_ports": [1]}, "peer_ports"),
        ({"listen": {"entry": 7}}, "listen.entry"),
        ({"grace_s": "six"}, "grace_s"),
    ],
)
def test_a_wrong_field_is_named(change, named):
    text = json.dumps({**SETTINGS, **change}).encode()
    with pytest.raises(SettingsError, match=re.escape(named)):
        parse_settings(text)


def test_missing_settings_are_reported(monkeypatch, tmp_path):
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    with pytest.raises(SettingsError, match=SETTINGS_VARIABLE):
        load_settings()
    monkeypatch.setenv(SETTINGS_VARIABLE, str(tmp_path / "none.json"))
    with pytest.raises(SettingsError, match="No such file"):
        load_settings()
    monkeypatch.setenv(SETTINGS_VARIABLE, str(tmp_path))
    with pytest.raises(SettingsError):
        load_settings()


@pytest.fixture
def sink():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    handler = logger.add(JsonSink(writer), format="{message}")
    yield reader
    logger.remove(handler)
    os.close(reader)
    os.close(writer)


def test_a_log_line_is_one_json_object(sink):
    logger.bind(request="q1", waited=0.5).info("statement unanswered")
    line = json.loads(os.read(sink, 65536))
    assert line["event"] == "statement unanswered"
    assert line["request"] == "q1"
    assert line["waited"] == 0.5


def test_lines_beyond_the_burst_are_dropped_and_counted(sink):
    for _ in range(int(BURST_LINES) * 3):
        logger.info("x")
    lines = os.read(sink, 1 << 20).splitlines()
    assert len(lines) < BURST_LINES * 2


def test_a_full_pipe_does_not_block(sink):
    for _ in range(int(BURST_LINES)):
        logger.info("x" * 1000)
    text = os.read(sink, 1 << 20)
    assert text.startswith(b"{")


def test_metrics_are_rendered_as_text():
    metrics = Metrics()
    metrics.count("statements", outcome="done")
    metrics.count("statements", outcome="done")
    metrics.set("configuration_version", 7)
    metrics.observe("statement", 0.02, kind="read")
    metrics.observe("statement", 9.0, kind="read")
    lines = metrics.render().splitlines()
    assert 'lagoonstair_statements_total{outcome="done"} 2' in lines
    assert "lagoonstair_configuration_version 7" in lines
    name = "lagoonstair_statement_seconds"
    assert f'{name}_bucket{{kind="read",le="0.025"}} 1' in lines
    assert f'{name}_bucket{{kind="read",le="+Inf"}} 2' in lines
    assert f'{name}_count{{kind="read"}} 2' in lines
    assert f'{name}_sum{{kind="read"}} 9.02' in lines


STRONG, WEAK = 2.15, 0.52
"""Capacities (seconds of the reference processor per second) of the two kinds
of instances in a mixed fleet."""


def _places(count, zones=3, strong=0):
    return {
        f"i{n}": InstanceResources(
            f"z{n % zones}", STRONG if n < strong else WEAK
        )
        for n in range(count)
    }


@pytest.mark.parametrize(
    ("instances", "connections", "workspaces", "direct"),
    [
        (7, 30, 8, True),
        (10, 30, 8, True),
        (11, 30, 8, True),
        (70, 232, 77, False),
        (83, 82, 84, False),
        (1, 2, 8, True),
    ],
)
def test_homes_are_used_when_connections_are_scarce(
    instances, connections, workspaces, direct
):
    homes = HomeAssignment(
        _places(instances), max_connections=connections, workspaces=workspaces
    )
    assert homes.is_direct == direct
    assert len(homes.names) * 2 <= max(connections, 2)
    shares = [homes.connection_share(name) for name in homes.names]
    assert sum(shares) == pytest.approx(1)


def test_load_pattern_many_workspaces_over_few_connections():
    homes = HomeAssignment(_places(83), max_connections=82, workspaces=84)
    line = [homes.candidates(f"w{n}") for n in range(84)]
    assert all(len(names) == MIN_CANDIDATES for names in line)
    assert all(homes.connection_share(n) for names in line for n in names)
    load = Counter(names[0] for names in line)
    # Each home holds 8 connections of an endpoint.
    assert max(load.values()) <= 3 * 84 / len(homes.names)


@pytest.mark.parametrize(
    "strong", [MIN_STRONG_INSTANCES, MIN_STRONG_INSTANCES - 1]
)
def test_load_pattern_few_strong_instances_among_many_weak_ones(strong):
    """Strong instances are the homes of most workspaces.

    Otherwise one busy workspace could take a weak instance's whole processor
    time.
    """
    places = _places(83, strong=strong)
    homes = HomeAssignment(places, max_connections=82, workspaces=84)
    load = Counter(homes.candidates(f"w{n}")[0] for n in range(84))
    strong_homes = {
        name for name in homes.names if places[name].capacity == STRONG
    }
    assert len(strong_homes) == strong
    assert homes.names == strong_homes or strong < MIN_STRONG_INSTANCES
    # If capacity were ignored, they would only have their part of the homes.
    assert sum(load[name] for name in strong_homes) >= 0.75 * 84
    busiest = max(load[name] / places[name].capacity for name in homes.names)
    uniform = HomeAssignment(_places(83), max_connections=82, workspaces=84)
    uniform_load = Counter(uniform.candidates(f"w{n}")[0] for n in range(84))
    assert busiest <= 0.6 * max(uniform_load.values()) / WEAK
    # Connections are distributed like the workspaces.
    shares = {name: homes.connection_share(name) for name in places}
    assert sum(shares.values()) == pytest.approx(1)
    assert {shares[name] for name in places.keys() - homes.names} == {0}
    weak = [shares[name] for name in homes.names - strong_homes]
    assert min(shares[name] for name in strong_homes) > 3 * max(weak, default=0)


@pytest.mark.parametrize("zones", [3, 6])
def test_load_pattern_callers_of_all_failure_domains(zones):
    """Each instance prefers a home in its own failure domain.

    Statements and replies then need not cross failure domains.
    """
    places = _places(83, zones=zones, strong=4 * zones)
    homes = HomeAssignment(places, max_connections=82, workspaces=84)
    for number in range(84):
        workspace = f"w{number}"
        line = homes.candidates(workspace)
        for name, place in places.items():
            mine = homes.candidates_from(workspace, name)
            assert sorted(mine) == sorted(line)
            assert places[mine[0]].failure_domain == place.failure_domain
    load = Counter(
        homes.candidates_from(f"w{n}", name)[0]
        for n in range(84)
        for name in places
    )
    assert max(load.values()) <= 3 * 84 * 83 / len(homes.names)


def test_a_failure_domain_without_a_home_uses_the_first_in_line():
    places = _places(83, zones=3, strong=MIN_STRONG_INSTANCES)
    places["far"] = InstanceResources("z9", WEAK)
    homes = HomeAssignment(places, max_connections=82, workspaces=84)
    assert homes.candidates_from("w1", "far") == homes.candidates("w1")
    assert homes.candidates_from("w1", "unknown") == homes.candidates("w1")


def test_load_pattern_all_strong_instances_are_lost():
    places = _places(83, strong=MIN_STRONG_INSTANCES)
    before = HomeAssignment(places, max_connections=82, workspaces=84)
    left = {n: p for n, p in places.items() if p.capacity == WEAK}
    after = HomeAssignment(left, max_connections=82, workspaces=84)
    assert len(after.names) >= len(before.names)
    load = Counter(after.candidates(f"w{n}")[0] for n in range(84))
    assert max(load.values()) <= 3 * 84 / len(after.names)


def test_load_pattern_one_home_is_lost():
    places = _places(83)
    before = HomeAssignment(places, max_connections=82, workspaces=84)
    lost = before.candidates("w1")[0]
    del places[lost]
    after = HomeAssignment(places, max_connections=82, workspaces=84)
    moved = [
        f"w{n}"
        for n in range(84)
        if before.candidates(f"w{n}")[0] != after.candidates(f"w{n}")[0]
    ]
    assert "w1" in moved
    # The lost home's workspaces move, and those of the instance that replaces
    # it as a home.
    assert len(moved) <= 84 / 3


WINDOW = Tolerance(window=5, excess=0.1, slack=20)


def test_load_pattern_all_instances_restart_three_times_in_a_window():
    limit = Workspace(name="w", rate=19, burst=19)
    allowed = 19 * 5 + 19
    tolerated = allowed * 0.1 + 20
    each = WINDOW.restart_tokens(limit, 7)
    assert each * 7 * 3 <= tolerated * MICROS_PER_TOKEN
    assert each >= MICROS_PER_TOKEN


def test_a_resumed_share_counts_at_once_and_starts_low():
    limit = WorkspaceLimit.from_config(
        rate=70, burst=70, holders=tuple(f"i{n}" for n in range(7))
    )
    settings = LimitSettings()
    resumed = ShareBucket("i1", settings)
    resumed.configure(10.0, 1, limit, resumed=2 * MICROS_PER_TOKEN)
    assert resumed.available(10.0) == 2 * MICROS_PER_TOKEN
    assert resumed.available(10.1) == 3 * MICROS_PER_TOKEN
    new = ShareBucket("i1", settings)
    new.configure(10.0, 1, limit)
    assert new.available(10.0 + settings.share_delay) == 0
    assert new.available(11.0 + settings.share_delay) == 10 * MICROS_PER_TOKEN


def test_a_resumed_share_never_exceeds_its_part_of_the_burst():
    limit = WorkspaceLimit.from_config(
        rate=7, burst=7, holders=tuple(f"i{n}" for n in range(7))
    )
    holder = ShareBucket("i1", LimitSettings())
    holder.configure(10.0, 1, limit, resumed=50 * MICROS_PER_TOKEN)
    assert holder.available(10.0) == MICROS_PER_TOKEN


def test_two_runs_of_the_tests_take_different_ports():
    first, second = [], []
    try:
        port = free_ports(first)
        # Make the second run start with the block that the first one holds.
        blocks = itertools.count(port, PORTS)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(proxy_fleet, "_blocks", blocks)
            assert free_ports(second) != port
    finally:
        for sock in [*first, *second]:
            sock.close()
