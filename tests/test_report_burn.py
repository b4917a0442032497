"""Tests of request counts, their sums and burn rates, on virtual time."""

import socket

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.report import (
    Measurements,
    Metrics,
    Objectives,
    Recorder,
    make_report,
    merge,
    render_html,
    render_text,
)
from lagoonstair.report._recorder import MAX_WORKSPACES
from lagoonstair.report._windows import MAX_WINDOWS, RETENTION_MINUTES
from lagoonstair.settings import StatsdSettings

MINUTE_SECONDS = 60.0


def _recorder() -> Recorder:
    return Recorder(objectives_of=lambda _: Objectives(served=0.99))


def _report(*recorders: Recorder, now: float):
    parts = [
        rec.measurements(f"i{number}", now)
        for number, rec in enumerate(recorders, 1)
    ]
    return make_report(parts, silent={})


def _burns(report):
    (workspace,) = report.workspaces
    return {burn.indicator: burn for burn in workspace.burns}


EVENTS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["a", "b"]),
        st.sampled_from([None, *ErrorKind]),
        st.floats(0, 2),
        st.booleans(),
        st.integers(0, 400 * 60),
    ),
    max_size=40,
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(events=EVENTS)
def test_merged_counts_equal_those_of_a_single_instance(events):
    parts = [_recorder() for _ in range(3)]
    single = _recorder()
    now = 400 * MINUTE_SECONDS
    for index, workspace, kind, latency, within, at in sorted(
        events, key=lambda event: event[-1]
    ):
        for recorder in (parts[index], single):
            recorder.record(
                workspace, kind, latency, within_rate=within, now=at
            )
    total = merge([part.measurements("", now) for part in parts])
    alone = merge([single.measurements("", now)])
    for measured in (total, alone):
        for workspace in measured.workspaces.values():
            workspace.gap = 0.0  # gaps are not added over instances
            for window in workspace.windows:
                window.gap = 0.0
    assert total == alone


def test_windows_are_bounded_and_older_than_six_hours_are_dropped():
    recorder = _recorder()
    for minute in range(2 * RETENTION_MINUTES):
        recorder.record("a", None, 0.01, now=minute * MINUTE_SECONDS)
    now = (2 * RETENTION_MINUTES - 1) * MINUTE_SECONDS
    (measured,) = recorder.measurements("i1", now).workspaces.values()
    ages = [window.age for window in measured.windows]
    assert ages[:60] == list(range(60))
    assert ages == sorted(set(ages))
    assert ages[-1] < RETENTION_MINUTES
    assert len(ages) <= MAX_WINDOWS
    counted = sum(window.outcomes["answered"] for window in measured.windows)
    assert RETENTION_MINUTES - 6 < counted <= RETENTION_MINUTES


def test_workspaces_over_the_bound_are_counted_together():
    recorder = _recorder()
    for number in range(MAX_WORKSPACES + 5):
        recorder.record(f"w{number}", None, 0.01, now=0.0)
    assert len(recorder._workspaces) == MAX_WORKSPACES + 1


@pytest.mark.parametrize(
    ("kind", "within", "bad"),
    [
        (ErrorKind.RATE_LIMITED, True, {"within_rate"}),
        (ErrorKind.OVERLOADED, True, {"within_rate"}),
        (ErrorKind.RATE_LIMITED, False, set()),
        (ErrorKind.TOO_STALE, True, {"staleness"}),
        (ErrorKind.SESSION_LOST, True, {"staleness"}),
        (ErrorKind.UNAVAILABLE, True, {"availability"}),
        (ErrorKind.OUTCOME_UNKNOWN, True, {"availability"}),
        (ErrorKind.FORBIDDEN, True, set()),
        (ErrorKind.STATEMENT_FAILED, True, set()),
    ],
)
def test_each_error_kind_uses_up_its_own_budget(kind, within, bad):
    recorder = _recorder()
    recorder.record("a", kind, 0.01, within_rate=within, now=0.0)
    burns = _burns(_report(recorder, now=0.0))
    assert {name for name, burn in burns.items() if burn.bad} == bad


def test_every_error_kind_is_either_valid_or_excluded():
    recorder = _recorder()
    for kind in ErrorKind:
        recorder.record("a", kind, 0.01, within_rate=False, now=0.0)
    burn = _burns(_report(recorder, now=0.0))["availability"]
    assert (burn.valid, burn.bad) == (8, 6)


def test_burning_needs_both_windows():
    recorder = _recorder()
    for minute in range(60):
        kind = ErrorKind.UNAVAILABLE if minute < 30 else None
        for _ in range(10):
            recorder.record("a", kind, 0.01, now=minute * MINUTE_SECONDS)
    burn = _burns(_report(recorder, now=59 * MINUTE_SECONDS))["availability"]
    assert burn.rates[60] == pytest.approx(50.0)
    assert burn.rates[5] == 0.0
    assert not burn.burning
    recorder = _recorder()
    for minute in range(30):
        recorder.record(
            "a", ErrorKind.UNAVAILABLE, 0.0, now=minute * MINUTE_SECONDS
        )
    burn = _burns(_report(recorder, now=29 * MINUTE_SECONDS))["availability"]
    assert burn.burning
    assert burn.budget_left == pytest.approx(-99.0)


def test_late_answers_use_up_the_latency_budget():
    recorder = _recorder()
    for latency in (0.01, 0.3):
        recorder.record("a", None, latency, served_by_replica=True, now=0.0)
    report = _report(recorder, now=0.0)
    assert _burns(report)["latency"].bad == 1
    (workspace,) = report.workspaces
    assert workspace.replica_share == 1.0
    assert dict(workspace.latencies)[99.9] == pytest.approx(0.3, rel=0.01)


def test_a_gap_lasts_from_the_first_arrival_to_the_first_answer():
    recorder = _recorder()
    recorder.record("a", ErrorKind.UNAVAILABLE, 1.0, now=10.0)
    (workspace,) = _report(recorder, now=11.0).workspaces
    assert (workspace.gap, workspace.gap_now) == (0.0, 2.0)
    recorder.record("a", ErrorKind.RATE_LIMITED, 0.0, now=12.0)
    recorder.record("a", None, 0.5, now=13.0)
    (workspace,) = _report(recorder, now=20.0).workspaces
    assert (workspace.gap, workspace.gap_now) == (4.0, 0.0)
    assert workspace.burning


def test_a_silent_instance_is_named_in_every_format():
    part = _recorder().measurements("i1", 0.0)
    report = make_report([part], silent={"i2": "timed out"})
    for text in (
        render_text(report),
        render_html(report),
        msgspec.json.encode(report).decode(),
    ):
        assert "i2" in text
        assert "timed out" in text


def test_the_page_escapes_names_and_needs_no_external_file():
    recorder = _recorder()
    recorder.record("<b>", None, 0.01, now=0.0)
    page = render_html(_report(recorder, now=0.0))
    assert "<b>" not in page
    assert "&lt;b&gt;" in page
    assert "http" not in page


def test_a_removed_workspace_keeps_its_counts_and_objectives():
    objectives = {"a": Objectives(served=0.5)}

    def objectives_of(workspace):
        if workspace not in objectives:
            raise LagoonstairError(ErrorKind.NOT_FOUND, "removed")
        return objectives[workspace]

    recorder = Recorder(objectives_of=objectives_of)
    recorder.record("a", None, 0.01, now=0.0)
    del objectives["a"]
    recorder.record("a", None, 0.01, now=1.0)
    (workspace,) = _report(recorder, now=2.0).workspaces
    assert workspace.answered == 2
    assert workspace.burns[0].target == 0.5


def test_measurements_survive_json_encoding():
    recorder = _recorder()
    recorder.record("a", ErrorKind.UNAVAILABLE, 0.01, now=0.0)
    measured = recorder.measurements("i1", 1.0)
    text = msgspec.json.encode(measured)
    assert msgspec.json.decode(text, type=Measurements) == measured


def test_metrics_are_sent_only_if_configured():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        Metrics.from_settings(None).count("requests")
        metrics = Metrics.from_settings(
            StatsdSettings(host="127.0.0.1", port=server.getsockname()[1])
        )
        metrics.count("requests")
        metrics.timing("latency", 0.25)
        assert server.recv(100) == b"lagoonstair.requests:1|c"
        assert server.recv(100) == b"lagoonstair.latency:250.000000|ms"
        metrics.close()
