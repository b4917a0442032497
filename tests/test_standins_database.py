"""Tests of the database stand-in's state machine and log comparison."""

import hypothesis
import pytest
from hypothesis import strategies as st

from databases import ADD, COUNT, SCHEMA, add, run
from lagoonstair._types import Position
from lagoonstair.ports import (
    Commit,
    EndpointRefusal,
    EndpointRefusedError,
    Execute,
    Role,
    Statement,
)
from lagoonstair.standins.database import (
    DatabaseConfig,
    Entry,
    Member,
    common_offset,
)
from lagoonstair.standins.database._log import Log


def _member(name: str = "db1") -> Member:
    return Member(DatabaseConfig(name=name, primary="db1", schema=SCHEMA))


def _execute(*statements: Statement) -> Execute:
    return Execute(call_id=1, term=1, workspace="w", statements=statements)


def _refusal(action) -> EndpointRefusal:
    with pytest.raises(EndpointRefusedError) as caught:
        action()
    return caught.value.refusal


def _copy(replica: Member, primary: Member) -> None:
    page = primary.page(0)
    replica.reconcile(page)
    for entry in page.entries[replica.last.offset :]:
        replica.replicate(entry, term=primary.term)


def test_repeated_request_id_answers_the_first_results():
    member = _member()
    write = run(ADD, COUNT, request_id="r", digest="d")
    first = member.run(write)
    again = member.run(write)
    assert (first.results, first.position) == (again.results, again.position)
    assert again.duplicate
    assert member.last == Position(1, 2)


def test_request_id_with_another_digest_is_refused():
    member = _member()
    member.run(run(ADD, request_id="r", digest="d"))
    other = run(add("b"), request_id="r", digest="e")
    assert _refusal(lambda: member.run(other)) is (
        EndpointRefusal.REQUEST_ID_REUSED
    )


@pytest.mark.parametrize(
    "statement",
    [
        ADD,
        Statement("COMMIT"),
        Statement("PRAGMA user_version = 3"),
        Statement("INSERT OR ROLLBACK INTO stock VALUES ('b', 1)"),
        Statement("SELECT random()"),
        Statement("SELECT 1; SELECT 2"),
    ],
)
def test_read_only_run_accepts_plain_reads_only(statement):
    member = _member()
    call = run(COUNT, statement, read_only=True)
    assert _refusal(lambda: member.run(call)) is (
        EndpointRefusal.STATEMENT_FAILED
    )
    assert member.run(run(COUNT, read_only=True)).results == ([[0]],)


@pytest.mark.parametrize("verb", ["INSERT", "INSERT OR ROLLBACK"])
def test_failed_write_leaves_no_changes(verb):
    member = _member()
    member.run(run(ADD))
    twice = Statement(f"{verb} INTO stock VALUES ('a', 2)")
    call = run(add("b"), twice, request_id="r")
    assert _refusal(lambda: member.run(call)) is (
        EndpointRefusal.STATEMENT_FAILED
    )
    assert member.run(run(COUNT, read_only=True)).results == ([[1]],)
    assert member.last == Position(1, 2)


def test_uncommitted_writes_are_visible_to_the_transaction_only():
    member = _member()
    assert member.execute(7, _execute(ADD, COUNT)).results[1] == [[1]]
    assert member.run(run(COUNT, read_only=True)).results == ([[0]],)
    commit = Commit(call_id=2, term=1, workspace="w", request_id="r")
    assert member.commit(7, commit).position == Position(1, 2)
    assert member.commit(7, commit).duplicate


def test_commit_is_refused_if_a_read_has_another_result():
    member = _member()
    member.execute(7, _execute(COUNT, add("b")))
    member.run(run(ADD))
    commit = Commit(call_id=2, term=1, workspace="w")
    assert _refusal(lambda: member.commit(7, commit)) is (
        EndpointRefusal.SERIALIZATION
    )
    assert _refusal(lambda: member.commit(7, commit)) is (
        EndpointRefusal.NO_TRANSACTION
    )


def test_term_is_granted_to_one_candidate_only():
    member = _member()
    assert member.fence(2, "x").granted
    assert member.fence(2, "x").granted
    assert not member.fence(2, "y").granted
    assert not member.fence(1, "y").granted
    assert _refusal(lambda: member.promote(2, "y")) is (
        EndpointRefusal.STALE_TERM
    )
    assert member.promote(2, "x").last == Position(2, 2)
    assert member.promote(2, "x").last == Position(2, 2)


def test_fenced_primary_refuses_its_old_term_and_its_transactions():
    member = _member()
    member.execute(7, _execute(ADD))
    member.fence(2, "x")
    assert member.status().role is Role.REPLICA
    assert _refusal(lambda: member.run(run(ADD))) is EndpointRefusal.STALE_TERM
    assert not member.in_transaction(7)


def test_divergent_tail_is_dropped_before_the_replica_serves_reads():
    old, new = _member("db1"), _member("db2")
    old.run(run(ADD))
    _copy(new, old)
    old.run(run(add("tail"), request_id="r"))
    new.fence(2, "x")
    new.promote(2, "x")
    old.follow(2, "db2")
    assert old.status().primary == ""
    assert _refusal(lambda: old.run(run(COUNT, term=2, read_only=True))) is (
        EndpointRefusal.NOT_PRIMARY
    )
    _copy(old, new)
    assert (old.last, old.status().primary) == (Position(2, 3), "db2")
    assert old.run(run(COUNT, term=2, read_only=True)).results == ([[1]],)


def test_replica_refuses_a_primary_of_a_lower_term():
    primary, replica = _member("db1"), _member("db2")
    primary.run(run(ADD))
    replica.fence(2, "x")
    entry = primary.page(1).entries[0]
    assert _refusal(lambda: replica.replicate(entry, term=1)) is (
        EndpointRefusal.STALE_TERM
    )
    assert _refusal(lambda: replica.follow(1, "db1")) is (
        EndpointRefusal.STALE_TERM
    )
    assert _refusal(lambda: replica.reconcile(primary.page(0))) is (
        EndpointRefusal.STALE_TERM
    )


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    shared=st.lists(st.integers(1, 3), max_size=5),
    tails=st.tuples(st.lists(st.just(0), max_size=3), st.integers(0, 3)),
)
def test_common_offset_is_the_length_of_the_common_prefix(shared, tails):
    terms = sorted(shared)
    last = terms[-1] if terms else 0
    left = terms + [last + 1 for _ in tails[0]]
    right = terms + [last + 2 for _ in range(tails[1])]
    logs = [Log(), Log()]
    for log, log_terms in zip(logs, (left, right), strict=True):
        for offset, term in enumerate(log_terms, 1):
            log.append(Entry(term=term, offset=offset))
    a, b = logs
    common = common_offset(a.history, a.last, b.history, b.last)
    assert common == len(terms)
