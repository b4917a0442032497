"""Order of endpoints for reads, and positions that prove their freshness."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonstair._types import Address, Position
from lagoonstair.routing import (
    Endpoint,
    EndpointLoad,
    PositionHistory,
    order_for_read,
)
from soak import examples

NEEDED = Position(1, 5)


def load(name, **changes):
    endpoint = Endpoint(
        name=name,
        group="g",
        address=Address("10.0.0.1", 1),
        failure_domain=changes.pop("domain", "a"),
        slots=2,
        leaving=changes.pop("leaving", False),
        says_primary=False,
        started=0,
    )
    values = {
        "in_flight": 0,
        "latency": 0.02,
        "has_idle_connection": True,
        "position": None,
        "answered_at": 0.0,
        "suspect": False,
        **changes,
    }
    return EndpointLoad(endpoint=endpoint, **values)


def order(loads, *, primary="p", after=NEEDED, now=10.0):
    found = order_for_read(
        loads, now=now, primary=primary, min_position=after, failure_domain="a"
    )
    return [candidate.endpoint.name for candidate in found]


def test_replicas_go_before_a_primary_that_is_no_busier():
    assert order([load("p"), load("r1"), load("r2", domain="b")]) == [
        "r1",
        "r2",
        "p",
    ]


def test_without_a_proved_position_only_the_primary_serves():
    assert order([load("p"), load("r1")], after=None) == ["p"]
    assert order([load("p"), load("r1")], primary=None, after=None) == []


def test_without_a_primary_replicas_serve_what_is_old_enough():
    assert order([load("p"), load("r1")], primary=None) == ["p", "r1"]


def test_the_primary_needs_no_position_and_replicas_do():
    found = order_for_read(
        [load("p"), load("r1")],
        now=1.0,
        primary="p",
        min_position=Position(1, 5),
        failure_domain="a",
    )
    after = {c.endpoint.name: c.min_position for c in found}
    assert after == {"p": None, "r1": Position(1, 5)}


def test_a_leaving_replica_gets_nothing():
    assert order([load("p"), load("r1", leaving=True)]) == ["p"]


def test_a_replica_that_lagged_just_now_is_asked_last():
    behind = load("r1", position=Position(1, 4), answered_at=9.9)
    assert order([load("p"), behind]) == ["p", "r1"]
    assert order([load("p"), behind], now=11.0) == ["r1", "p"]


def test_load_pattern_one_slow_database_is_left_to_itself():
    slow = load("r1", latency=0.1)
    assert order([load("p"), slow, load("r2")]) == ["r2", "p", "r1"]


def test_load_pattern_a_busy_database_passes_reads_on():
    assert order([load("r1", in_flight=6), load("r2")])[0] == "r2"


@given(
    commits=st.lists(st.floats(0, 10), min_size=1, max_size=30),
    query_times=st.lists(st.floats(0, 10), min_size=1, max_size=30),
    since=st.floats(0, 10),
)
@settings(max_examples=examples(300), deadline=None)
def test_a_covering_position_covers_all_acknowledged_before(
    commits, query_times, since
):
    """Compares with a model log, which numbers commits in order of time."""
    commits.sort()
    history = PositionHistory()
    for asked_at in query_times:
        # A primary's answer covers at least the commits acknowledged before
        # the query was sent. It may cover more.
        number = sum(at <= asked_at for at in commits)
        history.record(asked_at, Position(1, number))
    position = history.covering(since)
    if position is None:
        assert not [
            asked_at for asked_at in query_times if asked_at >= since
        ] or (max(query_times) < since or _all_were_dropped(query_times, since))
    else:
        required = sum(at < since for at in commits)
        assert position.offset >= required


def _all_were_dropped(query_times, since):
    """Returns whether all queries after a time came out of order.

    The history drops such observations.
    """
    newest = float("-inf")
    kept = []
    for asked_at in query_times:
        if asked_at > newest:
            newest = asked_at
            kept.append(asked_at)
    return max(kept) < since


def test_a_position_of_a_new_term_goes_before_one_that_was_rolled_back():
    history = PositionHistory()
    history.record(1.0, Position(3, 1215))
    history.record(2.0, Position(3, 1209))
    assert history.covering(1.5) is None
    history.record(3.0, Position(4, 1210))
    assert history.covering(1.5) == Position(4, 1210)
