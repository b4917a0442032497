"""An acknowledged configuration is in force everywhere within its bound.

Whatever happened to connections and peers before, an instance that reaches the
store, or another instance that does, must not go on with an older one.
"""

import itertools
from contextlib import asynccontextmanager

import trio

from fault_soak import SoakFleet
from faulty_link import Mode
from lagoonstair._types import Address
from lagoonstair.platform.store import Store
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._follower import Follower
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._registry import VOTER_COUNT, Registry
from lagoonstair.proxy._tables import Tables
from lagoonstair.standins.statements import StoreStandin
from proxy_fleet import HOST, config

CONFIG_SECONDS = 3.0
"""Bound (s) on the time from the store's acknowledgement of a configuration
until it is in force."""

QUIET_SECONDS = 1.0
"""Time (s) after which all feed calls wait for a change."""


@asynccontextmanager
async def _fleet(tmp_path, instances):
    """Runs a fleet whose connections to the store can be disturbed."""
    async with trio.open_nursery() as nursery:
        fleet = SoakFleet(tmp_path, nursery)
        fleet.store.put("op", "config", config())
        try:
            await fleet.start(instances)
            await trio.sleep(QUIET_SECONDS)
            yield fleet
        finally:
            fleet.stop()
            nursery.cancel_scope.cancel()


def _version(fleet, name):
    """Returns the version of the configuration in force at an instance."""
    versions = [
        line["version"]
        for line in fleet.log(name)
        if line["event"] == "configuration in force"
    ]
    return versions[-1]


async def test_a_change_is_in_force_in_time_after_all_connections_went_silent(
    tmp_path,
):
    """A feed call that waits on a silent connection shows no change.

    No error tells so: the bytes of the answer just do not arrive.
    """
    async with _fleet(tmp_path, instances=3) as fleet:
        for version in itertools.count(2):
            for link in fleet.store_links.values():
                link.silence_open()
            fleet.store.put("op", "config", config(version=version))
            await fleet.until(
                lambda version=version: all(
                    _version(fleet, name) == version for name in fleet.processes
                ),
                CONFIG_SECONDS,
            )
            if version == 4:
                break


async def test_a_change_is_in_force_in_time_although_the_feeds_miss_it(
    tmp_path,
):
    """The store answers every call, but its feeds hear of no change."""
    async with _fleet(tmp_path, instances=3) as fleet:
        fleet.store.feeds_hang = True
        fleet.store.put("op", "config", config(version=2))
        await fleet.until(
            lambda: all(_version(fleet, name) == 2 for name in fleet.processes),
            CONFIG_SECONDS,
        )


async def test_a_new_process_reads_what_a_majority_that_is_cut_off_lacks(
    tmp_path,
):
    """The agreement of a majority does not make old data current.

    A key that was withdrawn while they were cut off must not be in use again.
    """
    async with _fleet(tmp_path, instances=VOTER_COUNT) as fleet:
        for link in fleet.store_links.values():
            link.set(Mode.SILENT)
        cfg = config(version=2)
        cfg["tenants"][0]["api_keys"] = []
        fleet.store.put("op", "config", cfg)
        await trio.sleep(CONFIG_SECONDS)
        await fleet.start_instance("new")
        await fleet.wait_ready("new")
        greeting = (await fleet.caller(instance="new")).greeting
        assert greeting[0].startswith("ERROR NOAUTH"), greeting


async def test_load_pattern_a_large_configuration_is_read_once(monkeypatch):
    """The reads that show it to be the newest do not carry it each time."""
    standin = StoreStandin()
    cfg = config()
    cfg["services"] += [{"name": f"g{n}"} for n in range(900)]
    standin.put("op", "config", cfg)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.serve, HOST, "i1")
        store = Store(Address(HOST, port))
        fleet = Fleet("i1", "a", Metrics())
        registry = Registry(store)
        tables = Tables(fleet, registry, Metrics())
        follower = Follower(store, fleet, registry, tables, Metrics())
        reads = []
        read_row = store.read_row

        def count_read(*args):
            reads.append(args)
            return read_row(*args)

        monkeypatch.setattr(store, "read_row", count_read)
        for _ in range(5):
            asked_at = trio.current_time()
            await follower.read_config(1.0)
            assert tables.config_age.read_at >= asked_at
        assert len(reads) == 1
        # Any write may have been one of the configuration.
        standin.put("t", "k", 1)
        standin.put("op", "config", {**cfg, "version": 2})
        for _ in range(2):
            await follower.read_config(1.0)
        assert len(reads) == 2
        assert fleet.config.version == 2
        nursery.cancel_scope.cancel()
