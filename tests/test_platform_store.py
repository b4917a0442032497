"""The store client and the decoding of its rows, against the stand-in."""

from contextlib import asynccontextmanager

import msgspec
import pytest
import trio

from faulty_link import FaultyLink
from lagoonstair._types import Address
from lagoonstair.platform import discovery, operator, store
from lagoonstair.platform.duties import Duties, PromoteAnswer
from lagoonstair.platform.store import (
    HistoryLostError,
    Precondition,
    PutRow,
    Store,
    StoreError,
)
from lagoonstair.routing import Consistency
from lagoonstair.standins.statements import (
    DutiesStandin,
    Group,
    StoreStandin,
)
from lagoonstair.standins.statements._store import StoreFault
from lagoonstair.wire import ClientResponse
from proxy_fleet import config
from raw_servers import read_request, start_raw

HOST = "127.0.0.1"
ENTRY = {
    "service": "g",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 2,
    "state": "ready",
    "db_role": "primary",
    "seq_no": 4,
}


@asynccontextmanager
async def _store():
    standin = StoreStandin()
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.serve, HOST, "i1")
        yield Store(Address(HOST, port)), standin
        nursery.cancel_scope.cancel()


async def test_rows_are_written_under_a_condition():
    async with _store() as (client, _):
        new = [Precondition("t", "k", 0)]
        done = await client.transact(
            conditions=new, puts=[PutRow("t", "k", b"one")]
        )
        assert done is not None
        assert await client.transact(conditions=new) is None
        rows = await client.read_table("t")
        assert [(row.key, row.value, row.version) for row in rows.rows] == [
            ("k", b"one", done.version)
        ]


async def test_the_feed_reports_changes_and_removals():
    async with _store() as (client, _):
        first = await client.transact(puts=[PutRow("t", "k", b"one")])
        await client.transact(removals=[("t", "k")])
        rows = await client.follow("t", first.version, 5, era=first.era)
        assert [(row.key, row.value) for row in rows.rows] == [("k", None)]


async def test_the_feed_returns_without_a_change_in_time():
    async with _store() as (client, standin):
        rows = await client.follow("t", 0, 0.05, era=standin.era)
        assert rows.rows == ()


async def test_dropped_history_is_reported():
    async with _store() as (client, standin):
        standin.put("t", "k", 1)
        standin.put("t", "k", 2)
        standin.truncate_history()
        with pytest.raises(HistoryLostError):
            await client.follow("t", 1, 1, era=standin.era)


@pytest.mark.parametrize(
    ("fault", "refused"),
    [(StoreFault.BUSY, True), (StoreFault.LOSES_ANSWERS, False)],
)
async def test_a_failed_write_reports_whether_it_was_refused(
    fault, refused, monkeypatch
):
    monkeypatch.setattr(store, "CALL_SECONDS", 0.2)
    async with _store() as (client, standin):
        standin.fault = fault
        with pytest.raises(StoreError) as caught:
            await client.transact(puts=[PutRow("t", "k", b"one")])
        assert caught.value.refused == refused
        standin.fault = StoreFault.NONE
        rows = await client.read_table("t")
        assert bool(rows.rows) != refused


async def test_a_write_to_a_foreign_table_is_refused():
    async with _store() as (client, _):
        with pytest.raises(StoreError) as caught:
            await client.transact(puts=[PutRow("op", "config", b"{}")])
        assert caught.value.refused


async def test_an_unreachable_store_is_reported_as_refused():
    client = Store(Address(HOST, 1))
    with pytest.raises(StoreError) as caught:
        await client.read_table("t")
    assert caught.value.refused


async def test_a_promotion_carries_its_holder_and_fence():
    group = Group("g", lambda database: None)
    for name in ("d1", "d2"):
        group.add(name, slots=1, max_connections=9)
    standin = DutiesStandin({"g": group})
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.serve, HOST)
        duties = Duties(Address(HOST, port))
        answer = await duties.promote("g", "d2", holder="i1", fence=7)
        assert answer is PromoteAnswer.ACCEPTED
        group.databases["d1"].down = True
        answer = await duties.promote("g", "d1", holder="i1", fence=7)
        assert answer is PromoteAnswer.NOT_RUNNING
        assert standin.calls[0] == ("i1", 7, "g", "d2")
        nursery.cancel_scope.cancel()
    nowhere = Duties(Address(HOST, 1))
    answer = await nowhere.promote("g", "d1", holder="i1", fence=7)
    assert answer is PromoteAnswer.REFUSED


async def test_a_promotion_call_without_an_answer_is_reset():
    """Guards against a call that arrives after one with a higher token."""
    was_reset = trio.Event()

    async def script(stream):
        await read_request(stream)
        try:
            await stream.receive_some()
        except trio.BrokenResourceError:
            was_reset.set()

    async with trio.open_nursery() as nursery:
        duties = Duties(await start_raw(nursery, script))
        answer = await duties.promote("g", "d1", holder="i1", fence=7)
        assert answer is PromoteAnswer.UNKNOWN
        with trio.fail_after(5):
            await was_reset.wait()
        nursery.cancel_scope.cancel()


def test_an_entry_is_decoded_into_an_endpoint():
    endpoint = discovery.decode_endpoint("i-7", msgspec.json.encode(ENTRY))
    assert endpoint.group == "g"
    assert endpoint.address == Address("10.0.0.1", 80)
    assert endpoint.says_primary
    assert not endpoint.leaving


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"address": 7},
        {"address": "nowhere"},
        {"state": "asleep"},
        {"db_role": "king"},
        {"slots": 0},
        {"slots": "2"},
        {"seq_no": []},
    ],
)
def test_an_entry_of_another_writer_names_no_endpoint(change):
    value = msgspec.json.encode({**ENTRY, **change})
    assert discovery.decode_endpoint("i-7", value) is None


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b"7", b'{"service"'])
def test_bytes_that_are_no_entry_name_no_endpoint(value):
    assert discovery.decode_endpoint("i-7", value) is None


def test_a_configuration_is_decoded():
    cfg = operator.decode_config(msgspec.json.encode(config(version=7)))
    assert cfg.version == 7
    assert cfg.routes["b"].consistency is Consistency.BOUNDED
    assert cfg.routes["s"].max_staleness == 1.5
    assert cfg.keys == {"key-w1": "w1", "key-w2": "w2"}
    assert cfg.groups["g"].max_connections == 30


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}",
        b'{"version": "7", "routes": [], "services": []}',
        msgspec.json.encode(
            config(
                routes=[
                    {
                        "name": "r",
                        "database": "d",
                        "service": "g",
                        "route_type": "strange",
                    }
                ]
            )
        ),
    ],
)
def test_an_invalid_configuration_is_refused(value):
    with pytest.raises(operator.BadConfigError):
        operator.decode_config(value)


async def test_one_timeout_is_enough_to_leave_connections_that_went_silent(
    monkeypatch,
):
    """Idle connections of the pool must not each cost a call its timeout."""
    monkeypatch.setattr(store, "CALL_SECONDS", 0.3)
    async with _store() as (_, standin), trio.open_nursery() as nursery:
        port = await nursery.start(standin.serve, HOST, "i2")
        link = FaultyLink(port)
        await nursery.start(link.serve)
        client = Store(Address(HOST, link.port))
        async with trio.open_nursery() as calls:
            for _ in range(store.CONNECTIONS):
                calls.start_soon(client.read_table, "t")
        link.silence_open()
        with pytest.raises(StoreError):
            await client.transact()
        await client.transact()
        nursery.cancel_scope.cancel()


async def test_a_read_of_one_row_leaves_out_its_neighbours():
    async with _store() as (client, standin):
        for key in ("config", "config2", "d"):
            standin.put("op", key, 1)
        rows = await client.read_row("op", "config")
        assert [row.key for row in rows.rows] == ["config"]


async def test_a_promotion_is_sent_although_earlier_connections_went_silent():
    """A call without an answer would put the promotion off by seconds."""
    group = Group("g", lambda database: None)
    for name in ("d1", "d2"):
        group.add(name, slots=1, max_connections=9)
    standin = DutiesStandin({"g": group})
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.serve, HOST)
        link = FaultyLink(port)
        await nursery.start(link.serve)
        duties = Duties(Address(HOST, link.port))
        for endpoint in ("d2", "d1"):
            answer = await duties.promote("g", endpoint, holder="i", fence=1)
            assert answer is PromoteAnswer.ACCEPTED
            link.silence_open()
        nursery.cancel_scope.cancel()


async def test_a_read_that_is_answered_as_gone_is_a_failed_call(monkeypatch):
    """Only a feed has a history to lose; nobody expects that of a read."""
    client = Store(Address(HOST, 1))

    async def answer_gone(*args):
        await trio.lowlevel.checkpoint()
        return ClientResponse(410, {}, b"")

    monkeypatch.setattr(client, "_call", answer_gone)
    for read in (client.read_table("t"), client.read_row("t", "k")):
        with pytest.raises(StoreError):
            await read
    with pytest.raises(HistoryLostError):
        await client.follow("t", 1, 0.1, era=0)
