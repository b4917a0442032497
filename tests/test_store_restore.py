"""The store comes back from an older copy: what was written since is gone.

Versions go back and are given out again. The operator and the databases write
their rows again; what the system wrote is only in the instances' memory.
"""

import signal

import msgspec
import pytest
import trio
from msgspec.structs import replace

from lagoonstair._types import Address
from lagoonstair.platform.store import HistoryLostError, PutRow, Store
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._follower import Follower
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._registry import Registry
from lagoonstair.proxy._registry_rows import Member
from lagoonstair.proxy._tables import EMPTY_UPDATE, REWRITE_SECONDS, Tables
from lagoonstair.standins.statements import StoreStandin
from lagoonstair.standins.statements._store import StoreFault
from proxy_fleet import HOST, config, proxy_fleet

PROMOTION_SECONDS = 8.0
"""Time (s) within which a crashed primary is replaced."""

AWAY_SECONDS = 1.0
"""Time (s) for which the store is down before it is restored."""


async def _restore(fleet, copy):
    """Takes the store down, and brings it back from a copy."""
    fleet.store.fault = StoreFault.SILENT
    await trio.sleep(AWAY_SECONDS)
    fleet.store.restore(copy)
    fleet.store.fault = StoreFault.NONE


def _publish_all(fleet):
    """Has the databases write their entries again."""
    for group in fleet.groups.values():
        for database in group.databases.values():
            group.publish_entry(database)


async def _replace_primary(fleet, caller=None):
    """Crashes the primary, waits for its replacement and lets it recover."""
    await trio.sleep(fleet.group.lag * 2)
    old = fleet.group.primary
    old.crash()
    await fleet.until(lambda: fleet.group.primary is not old, PROMOTION_SECONDS)
    await fleet.until(
        lambda: (
            fleet.store.row("lagoonstair", "group/g")["primary"]
            == fleet.group.primary.name
        ),
        PROMOTION_SECONDS,
    )
    old.recover()


def _tokens(fleet):
    return [(call.fence, call.holder) for call in fleet.duties.calls]


def _assert_tokens_rise(fleet):
    """Each token has one holder, and none comes after a higher one."""
    fences = [fence for fence, _ in _tokens(fleet)]
    assert fences == sorted(fences), _tokens(fleet)
    holders = dict(_tokens(fleet))
    assert all(holders[fence] == holder for fence, holder in _tokens(fleet)), (
        _tokens(fleet)
    )


async def test_a_primary_is_replaced_after_the_store_lost_a_promotion(
    tmp_path,
):
    """Instances that hold lost versions must not be refused for good.

    Their conditional writes name versions that the restored store lacks.
    """
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        copy = fleet.store.copy()
        await _replace_primary(fleet)
        await _restore(fleet, copy)
        _publish_all(fleet)
        await _replace_primary(fleet)
        _assert_tokens_rise(fleet)


async def test_a_restarted_holder_sends_no_token_from_before_a_restore(
    tmp_path,
):
    """The holder of the restored copy must not promote with its old token.

    Another one held the duty in the lost stretch, with a higher token.
    """
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        await _replace_primary(fleet)
        holder = fleet.duties.calls[-1].holder
        copy = fleet.store.copy()
        fleet.signal(holder, signal.SIGKILL)
        await _replace_primary(fleet)
        assert fleet.duties.calls[-1].holder != holder
        await _restore(fleet, copy)
        _publish_all(fleet)
        for name in fleet.processes:
            fleet.signal(name, signal.SIGKILL)
            await fleet.wait_ended(name)
        for name in [*fleet.processes]:
            await fleet.start_instance(name)
        for name in fleet.processes:
            await fleet.wait_ready(name)
        await _replace_primary(fleet)
        _assert_tokens_rise(fleet)


async def test_a_key_withdrawn_before_a_restore_stays_withdrawn_at_a_restart(
    tmp_path,
):
    """A new process must not serve the restored copy's older configuration.

    Its peers hold the newer one until the operator has written it again.
    """
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        copy = fleet.store.copy()
        cfg = config(version=2)
        cfg["tenants"][0]["api_keys"] = []
        fleet.store.put("op", "config", cfg)
        await fleet.until(
            lambda: all(
                line["version"] == 2
                for name in fleet.processes
                for line in fleet.log(name)[-1:]
                if line["event"] == "configuration in force"
            )
        )
        await trio.sleep(AWAY_SECONDS)
        await _restore(fleet, copy)
        fleet.signal("i1", signal.SIGKILL)
        await fleet.wait_ended("i1")
        await fleet.start_instance("i1")
        await fleet.wait_ready("i1")
        greeting = (await fleet.caller()).greeting
        assert greeting[0].startswith("ERROR NOAUTH"), greeting


async def test_a_feed_does_not_go_on_across_a_restore():
    """A version that is given out again is not the one known before."""
    standin = StoreStandin()
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.serve, HOST, "i1")
        client = Store(Address(HOST, port))
        copy = standin.copy()
        await client.transact(puts=[PutRow("t", "lost", b"1")])
        rows = await client.read_table("t")
        standin.restore(copy)
        # Written before the feed asks again, up to the version it knows.
        standin.put("t", "kept", 1)
        standin.put("t", "other", 2)
        with pytest.raises(HistoryLostError):
            await client.follow("t", rows.version, 0.1, era=rows.era)
        nursery.cancel_scope.cancel()


def _entry(**changes):
    value = {
        "service": "g",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 2,
        "state": "ready",
        "db_role": "replica",
        "seq_no": 3,
        "born": 1000,
    }
    return msgspec.json.encode({**value, **changes})


async def test_an_endpoint_that_leaves_is_not_taken_back_after_a_restore(
    autojump_clock,
):
    """The copy's older entry must not bring new work to a leaving endpoint.

    The endpoint writes its entry again, within about two seconds.
    """
    fleet = Fleet("i1", "a", Metrics())
    tables = Tables(fleet, None, Metrics())
    tables.apply_endpoints({"d1": _entry(seq_no=5, state="draining")})
    tables.note_restore()
    tables.apply_endpoints({"d1": _entry(seq_no=3)})
    assert fleet.endpoints["d1"].leaving
    assert not fleet.missing_since
    tables.apply_endpoints({"d1": _entry(seq_no=9, born=900)})
    assert fleet.endpoints["d1"].leaving
    # Another process under the same name, or a later entry of this one.
    tables.apply_endpoints({"d1": _entry(seq_no=1, born=2000)})
    assert not fleet.endpoints["d1"].leaving
    tables.apply_endpoints({"d1": _entry(seq_no=6, state="draining")})
    assert not fleet.endpoints["d1"].leaving
    await trio.sleep(REWRITE_SECONDS + 1)
    tables.apply_endpoints({"d1": _entry(seq_no=6, state="draining")})
    assert fleet.endpoints["d1"].leaving


@pytest.mark.parametrize("born", [1000, 2000])
async def test_a_peer_brings_back_no_older_entry(autojump_clock, born):
    """A leaving primary was taken for a ready one again for two seconds.

    The peer asked the store later, but got the answer before the entry changed.
    """
    fleet = Fleet("i1", "a", Metrics())
    tables = Tables(fleet, Registry(None), Metrics())
    tables.apply_endpoints({"d1": _entry(seq_no=5, state="draining")})
    tables.endpoints_asked_at = trio.current_time()
    await trio.sleep(1)
    update = replace(
        EMPTY_UPDATE,
        endpoints=(("d1", _entry(seq_no=4, born=born)),),
        endpoints_age=0.1,
    )
    tables.apply_update("i2", update, trio.current_time())
    # Another process under the same name counts its entries anew.
    assert fleet.endpoints["d1"].leaving is (born == 1000)
    assert not fleet.missing_since


@pytest.mark.parametrize("stopping", [(), ("i1",), ("i1", "i2")])
async def test_voters_that_stop_leave_the_endpoint_entries_to_others(stopping):
    """Nobody followed the entries while the first two voters restarted."""
    members = {
        name: Member(
            host=HOST,
            port=1,
            failure_domain="a",
            since=float(number),
            stops=name in stopping,
        )
        for number, name in enumerate(["i1", "i2", "i3", "i4"])
    }
    registry = Registry(None)
    registry.members = members
    readers = set()
    for name in members:
        fleet = Fleet(name, "a", Metrics())
        tables = Tables(fleet, registry, Metrics())
        tables.endpoints_asked_at = trio.current_time()
        follower = Follower(None, fleet, registry, tables, Metrics())
        if follower._must_read_endpoints():
            readers.add(name)
    expected = [name for name in members if name not in stopping]
    assert readers == {*expected[:2]}
