"""A record that names an endpoint which does not lead is corrected."""

import pytest
import trio

from lagoonstair.primacy import (
    GroupRecord,
    RecordAudit,
    confirmed_primary,
    contradicts_record,
)
from lagoonstair.primacy._audit import REPLICA_SECONDS
from proxy_fleet import proxy_fleet

RECORD = GroupRecord(epoch=4, primary="d1", term=2)

CORRECTION_SECONDS = 12.0
"""Time limit in seconds for a wrong record to be noticed and corrected: two
checks, the time for which a replica must say so, a promotion, a busy host."""

QUIET_SECONDS = 3.0
"""Time in seconds in which a sound record must not be touched; longer than a
wrong one takes to be noticed."""


def _audit(record, answers):
    audit = RecordAudit()
    for name, role, term, asked_at in answers:
        audit.note_status(
            record,
            name,
            is_primary=role == "primary",
            term=term,
            asked_at=asked_at,
        )
    return audit.is_contradicted(record)


@pytest.mark.parametrize(
    ("answers", "is_contradicted"),
    [
        ([], False),
        ([("d2", "primary", 3, 1.0)], True),
        # An older term, a replica that lags, and a single answer show nothing.
        ([("d2", "primary", 1, 1.0)], False),
        ([("d2", "replica", 3, 1.0)], False),
        ([("d1", "replica", 2, 1.0)], False),
        ([("d1", "replica", 2, 1.0), ("d1", "replica", 2, 1.5)], False),
        ([("d1", "replica", 2, 1.0), ("d1", "replica", 3, 1.9)], True),
        (
            [
                ("d1", "replica", 2, 1.0),
                ("d1", "primary", 2, 1.5),
                ("d1", "replica", 2, 1.9),
            ],
            False,
        ),
        ([("d1", "primary", 3, 1.0)], False),
    ],
)
def test_a_record_is_contradicted_by_a_newer_term_or_a_lasting_replica(
    answers, is_contradicted
):
    """Guards against replacing a sound primary because of one odd answer."""
    assert _audit(RECORD, answers) is is_contradicted


def test_without_a_recorded_term_no_other_leader_contradicts():
    """Guards against an old primary that replaces one of unknown term."""
    record = GroupRecord(epoch=4, primary="d1", term=0)
    assert not _audit(record, [("d2", "primary", 1, 1.0)])


def test_answers_about_an_older_record_do_not_count():
    """Guards against a correction of the record that corrected another."""
    audit = RecordAudit()
    newer = GroupRecord(epoch=6, primary="d2", term=3)
    status = {"is_primary": True, "term": 3, "asked_at": 1.0}
    audit.note_status(RECORD, "d2", **status)
    assert audit.is_contradicted(RECORD)
    assert not audit.is_contradicted(newer)
    audit.note_status(newer, "d2", **status)
    assert not audit.is_contradicted(newer)


@pytest.mark.parametrize(
    ("name", "says_primary", "is_contradicted"),
    [
        ("d1", True, False),
        ("d1", False, True),
        ("d2", False, False),
        ("d2", True, True),
    ],
)
def test_an_entry_contradicts_a_record_of_another_primary(
    name, says_primary, is_contradicted
):
    """Guards against status queries where entry and record agree."""
    found = contradicts_record(RECORD, name, says_primary=says_primary)
    assert found is is_contradicted


@pytest.mark.parametrize(
    ("terms", "leader"),
    [
        ({"d1": 2}, "d1"),
        ({"d1": 2, "d2": 3}, "d2"),
        ({"d1": 3, "d2": 1}, "d1"),
        ({"d2": 2}, None),
        ({}, None),
    ],
)
def test_a_recorded_primary_that_leads_after_all_stays(terms, leader):
    """Guards against replacing a sound primary after a wrong suspicion."""
    assert confirmed_primary(RECORD, terms) == leader


async def _write(fleet, request_id):
    """Writes until a write is acknowledged."""
    with trio.fail_after(CORRECTION_SECONDS):
        for number in range(10**6):
            caller = await fleet.caller("p")
            answer = await caller.ask(f"{request_id}-{number}", "WRITE a 1")
            caller.close()
            if answer and answer[0].startswith("COMPLETE"):
                return f"{request_id}-{number}"
            await trio.sleep(0.05)


def _record(fleet):
    return fleet.store.row("lagoonstair", "group/g")


def _kept(database):
    return {write[0] for commit in database.log for write in commit.writes}


async def _promote_unrecorded(fleet, name):
    """Lets the platform carry out a call that no instance remembers."""
    fleet.group.promote(name)
    await trio.sleep(fleet.group.promote_seconds)
    fleet.group.apply_due_promotions()
    database = fleet.group.databases[name]
    assert database.is_primary
    return database


async def test_a_primary_promoted_without_a_record_is_noticed(tmp_path):
    """Guards against a record of a replaced primary that stays for good."""
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        await _write(fleet, "before")
        old = fleet.group.databases["d1"]
        new = await _promote_unrecorded(fleet, "d2")
        await fleet.until(
            lambda: _record(fleet)["primary"] == new.name, CORRECTION_SECONDS
        )
        await fleet.until(lambda: not old.is_primary)
        assert await _write(fleet, "after") in _kept(new)
        assert fleet.duties.calls == []


async def test_a_recorded_primary_that_became_a_replica_is_replaced(tmp_path):
    """Guards against a group in which nobody leads and nobody notices."""
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        await _write(fleet, "before")
        old = fleet.group.databases["d1"]
        old.is_primary = False
        fleet.group.publish_entry(old)
        name = await _write(fleet, "after")
        assert name in _kept(fleet.group.primary)
        assert _record(fleet)["primary"] == fleet.group.primary.name


async def test_a_failed_primary_with_an_unrecorded_successor_is_replaced(
    tmp_path,
):
    """Guards against waiting for an effect that the platform's no-op lacks."""
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        await _write(fleet, "before")
        new = await _promote_unrecorded(fleet, "d2")
        fleet.group.databases["d1"].crash()
        assert await _write(fleet, "after") in _kept(new)


@pytest.mark.parametrize(
    ("name", "role"), [("d1", "replica"), ("d2", "primary")]
)
async def test_a_wrong_entry_replaces_no_primary(name, role, tmp_path):
    """Guards against replacing a sound primary because of an entry."""
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        await _write(fleet, "before")
        await trio.sleep(QUIET_SECONDS)
        before = _record(fleet)
        database = fleet.group.databases[name]
        entry = {**fleet.entry_of(database), "db_role": role}
        fleet.store.put("servers", name, entry)
        await trio.sleep(QUIET_SECONDS + REPLICA_SECONDS)
        await _write(fleet, "after")
        assert _record(fleet) == before
        assert fleet.duties.calls == []
