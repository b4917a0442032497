"""Answers of the metadata store that belong to another call.

A raw server answers with what the store answered to an earlier call.
"""

import msgspec
import pytest
import trio
import trio.testing

from lagoonstair.platform.store import (
    Precondition,
    PutRow,
    Store,
    StoreError,
)
from raw_servers import read_request, response, start_raw

ERA = b"store-era: 2"
OLD_ERA = b"store-era: 1"


def _page(version, *rows, era=ERA, status=b"200 OK"):
    body = {"row_version": version, "now_ms": 1.0, "rows": rows}
    return response(msgspec.json.encode(body), era, status=status)


def _row(key, version, table="t"):
    return {"table": table, "part": "", "key": key, "row_version": version}


def _refusal(version, *rows):
    return _page(version, *rows, status=b"412 Precondition Failed")


async def _store(nursery, *answers):
    """Starts a store that gives the answers in turn, and a client of it."""
    waiting = iter(answers)
    reasons = []

    async def script(stream):
        while await read_request(stream):
            await stream.send_all(next(waiting))

    address = await start_raw(nursery, script)
    return Store(address, reasons.append), reasons


async def _write(store, version=9):
    return await store.transact(
        conditions=[Precondition("t", "k", version)],
        puts=[PutRow("t", "k", b"1")],
    )


# Guards against a write that counts as applied or refused by the answer to
# another call.
@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (_page(9), "version"),
        (_page(10), "version"),
        (_page(99, era=OLD_ERA), "version"),
        (_refusal(9), "version"),
        (_refusal(11, _row("k", 9)), "rows"),
        (_refusal(11, _row("other", 10)), "rows"),
        (_refusal(11, _row("k", 10, table="u")), "rows"),
    ],
)
async def test_a_write_answered_by_another_answer_is_unknown(
    nursery, answer, reason
):
    store, reasons = await _store(nursery, _page(10), answer)
    await store.read_table("t")
    with pytest.raises(StoreError) as caught:
        await _write(store)
    assert not caught.value.refused
    assert reasons == [reason]


@pytest.mark.parametrize(
    "answer",
    [
        _refusal(10, _row("k", 10)),
        _refusal(11),
        _refusal(12, _row("k", 0)),
        response(b"", ERA, status=b"412 Precondition Failed"),
    ],
)
async def test_a_refusal_that_explains_itself_is_believed(nursery, answer):
    store, reasons = await _store(nursery, _page(10), answer)
    await store.read_table("t")
    assert await _write(store) is None
    assert not reasons


@pytest.mark.parametrize(
    "answer", [_page(11), _page(1, era=b"store-era: 3"), _page(1, era=b"x: y")]
)
async def test_a_newer_version_or_history_acknowledges_a_write(nursery, answer):
    store, reasons = await _store(nursery, _page(10), answer)
    await store.read_table("t")
    assert await _write(store) is not None
    assert not reasons


# Guards against rows of another table, of another key or from before, taken
# for what was asked for.
@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (_page(9, _row("k", 8)), "version"),
        (_page(99, _row("k", 8), era=OLD_ERA), "version"),
        (_page(10, _row("k", 8, table="u")), "rows"),
        (_page(10, _row("l", 8)), "rows"),
    ],
)
async def test_rows_of_another_call_are_no_answer(nursery, answer, reason):
    store, reasons = await _store(nursery, _page(10), answer)
    await store.read_table("t")
    with pytest.raises(StoreError):
        await store.read_row("t", "k")
    assert reasons == [reason]


@pytest.mark.parametrize(
    "answer",
    [
        _page(4),
        _page(9, _row("k", 5)),
        _page(9, _row("k", 9, table="u")),
    ],
)
async def test_changes_of_another_call_are_no_answer(nursery, answer):
    store, reasons = await _store(nursery, answer)
    with pytest.raises(StoreError):
        await store.follow("t", 5, 1, era=2)
    assert len(reasons) == 1


async def test_a_feed_may_name_an_older_version_than_a_read(nursery):
    changes = _page(9, _row("k", 9), {**_row("l", 0), "deleted": True})
    store, reasons = await _store(nursery, _page(10), changes)
    await store.read_table("t")
    assert len((await store.follow("t", 5, 1, era=2)).rows) == 2
    assert not reasons


async def test_a_store_without_histories_may_go_back(nursery):
    pages = [_page(version, era=b"x: y") for version in (10, 3)]
    store, reasons = await _store(nursery, *pages)
    await store.read_table("t")
    assert (await store.read_table("t")).version == 3
    assert not reasons


# Guards against a copy of a write's acknowledgement taken for that of the
# next write.
async def test_a_copied_acknowledgement_acknowledges_no_other_write(nursery):
    versions = iter(range(10, 99))
    reasons = []

    async def script(stream):
        copy = b""
        while await read_request(stream):
            await stream.send_all(copy)
            await trio.testing.wait_all_tasks_blocked(0.01)
            copy = _page(next(versions))
            await stream.send_all(copy)

    store = Store(await start_raw(nursery, script), reasons.append)
    acknowledged, refused = [], []
    for _ in range(6):
        try:
            acknowledged.append((await _write(store)).version)
        except StoreError as exc:
            refused.append(exc.refused)
    assert len(acknowledged) == 3
    assert len(set(acknowledged)) == 3
    assert refused == [False] * 3
    assert reasons == ["version"] * 3
