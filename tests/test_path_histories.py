"""Concurrent writes through real processes, checked on recorded histories.

Guards against writes that are lost, repeated or not read by their own session
when processes are killed, frozen or cut off during the writes.
"""

import itertools
from contextlib import asynccontextmanager

import pytest
import trio

from lagoonstair.wire import HttpError, NotSentError
from order_histories import Attempt, Read, faults_of
from process_fleet import process_fleet

ZVOLEN = "zlab-zvolen"
WRITERS = 4
ORDERS_BEFORE = 3
ORDERS_DURING = 6
ORDERS_AFTER = 3
REPLICA_LAG_SECONDS = 1.0
"""Lag (s) of one replica, less than the maximum age of the tested reads."""


class Writer:
    """A caller that writes orders and reads each of them in the same session.

    Successive requests go to different instances.

    Attributes:
        attempts: The outcomes of the attempts at each write.
        reads: What the read after each write returned.
        kinds: The kinds of error that occurred.
    """

    def __init__(self, fleet, number, key):
        self._fleet = fleet
        self._number = number
        self._key = key
        self._session = None
        self._turns = itertools.count(number)
        self._orders = itertools.count()
        self.attempts = []
        self.reads = []
        self.kinds = set()

    async def order(self, count):
        for _ in range(count):
            await self._order_once()

    async def order_until(self, struck, count):
        """Writes at least ``count`` orders, and until a fault has occurred."""
        await self.order(count)
        while not struck.is_set():
            await self._order_once()

    async def _order_once(self):
        name = f"w{self._number}-{next(self._orders)}"
        if await self._write(name):
            await self._read(name)

    async def _write(self, name):
        params = {"order_no": name, "run_mm": 1, "brackets": 1, "sheets": 1}
        outcomes = []
        while "answered" not in outcomes:
            found = await self._send("order-request", params, request_id=name)
            outcomes.append(found["outcome"])
        self.attempts.append(Attempt(name, tuple(outcomes)))
        return True

    async def _read(self, name):
        found = {"outcome": "not_run"}
        while found["outcome"] != "answered":
            found = await self._send("order-status", {"order_no": name})
        self.reads.append(Read(name, len(found["results"][0])))

    async def _send(self, route, params, **more):
        if self._session is not None:
            more["session"] = self._session
        entries = self._fleet.entries
        entry = entries[next(self._turns) % len(entries)]
        try:
            found = await self._fleet.request_unless_lost(
                entry, ZVOLEN, route, params, key=self._key, **more
            )
        except* NotSentError:
            found = {"outcome": "not_run"}
        except* HttpError:
            found = {"outcome": "unknown"}
        self._session = found.get("session", self._session)
        self.kinds.add(found.get("error", {}).get("kind"))
        return found


async def _kill_primary(fleet):
    fleet.databases["g1a"].kill()


async def _last_of(fleet, name):
    return tuple((await fleet.log_of(name))["last"])


async def _kill_primary_that_is_ahead(fleet):
    """Kills the primary once it has entries that no replica received."""
    for name in ("g1b", "g1c"):
        await fleet.fault_database(name, cut=["g1a"])
    # Compared with the replicas rather than with an earlier position of the
    # primary: all writers may already be waiting for writes made after the cut,
    # so that the primary would not advance.
    received = max([await _last_of(fleet, name) for name in ("g1b", "g1c")])
    while await _last_of(fleet, "g1a") <= received:
        await trio.lowlevel.checkpoint()
    fleet.databases["g1a"].kill()
    for name in ("g1b", "g1c"):
        await fleet.fault_database(name, cut=[])


async def _freeze_primary(fleet):
    fleet.databases["g1a"].freeze()


async def _freeze_replica(fleet):
    fleet.databases["g1b"].freeze()


async def _lag_one_replica(fleet):
    await fleet.fault_database("g1c", lag=REPLICA_LAG_SECONDS)


async def _cut_primary_off(fleet):
    """Disconnects the primary from its replicas and two of three instances."""
    await fleet.fault_database("g1a", cut=["g1b", "g1c", "i2", "i3"])


async def _freeze_owner(fleet):
    owner = await fleet.owner()
    fleet.instances[owner].freeze()
    fleet.lose(owner)


async def _kill_owner_and_primary(fleet):
    owner = await fleet.owner()
    fleet.instances[owner].kill()
    fleet.lose(owner)
    fleet.databases["g1a"].kill()


async def _store_down_and_kill_primary(fleet):
    await fleet.fault_platform(all={"down": True})
    fleet.databases["g1a"].kill()


async def _freeze_owner_across_a_promotion(fleet):
    await _freeze_owner(fleet)
    fleet.databases["g1a"].kill()


FAULTS = [
    _kill_primary,
    _kill_primary_that_is_ahead,
    _freeze_primary,
    _freeze_replica,
    _lag_one_replica,
    _cut_primary_off,
    _freeze_owner,
    _kill_owner_and_primary,
    _store_down_and_kill_primary,
    _freeze_owner_across_a_promotion,
]


@asynccontextmanager
async def _writers(tmp_path):
    async with process_fleet(tmp_path, instances=3, groups=1) as fleet:
        key = await fleet.apply_samples(ZVOLEN)
        yield fleet, [Writer(fleet, n, key) for n in range(WRITERS)]


async def _all_order(writers, count):
    async with trio.open_nursery() as nursery:
        for writer in writers:
            nursery.start_soon(writer.order, count)


async def _order_through(fault, fleet, writers, *, first=0):
    """Runs the writers until a fault has occurred.

    Args:
        fault: Injects the fault.
        fleet: The processes.
        writers: The writers.
        first: Orders that each writer completes before the fault is injected.
    """
    struck = trio.Event()
    sent = [len(writer.attempts) + first for writer in writers]
    async with trio.open_nursery() as nursery:
        for writer in writers:
            nursery.start_soon(writer.order_until, struck, ORDERS_DURING)
        while any(
            len(w.attempts) < n for w, n in zip(writers, sent, strict=True)
        ):
            await trio.lowlevel.checkpoint()
        await fault(fleet)
        struck.set()


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_history_keeps_its_promises_through(fault, tmp_path):
    async with _writers(tmp_path) as (fleet, writers):
        await _all_order(writers, ORDERS_BEFORE)
        await _order_through(fault, fleet, writers)
        await fleet.heal()
        await _all_order(writers, ORDERS_AFTER)
        log = await fleet.surviving_log()
    attempts = [a for writer in writers for a in writer.attempts]
    reads = [r for writer in writers for r in writer.reads]
    assert len(reads) == len(attempts)
    assert len(reads) >= WRITERS * (
        ORDERS_BEFORE + ORDERS_DURING + ORDERS_AFTER
    )
    assert faults_of(attempts, reads, log) == []
    assert not any("internal" in writer.kinds for writer in writers)


async def test_a_late_fault_still_finds_writes_to_strike(tmp_path):
    async with _writers(tmp_path) as (fleet, writers):
        await _order_through(
            _kill_primary_that_is_ahead, fleet, writers, first=ORDERS_DURING
        )
        await fleet.heal()
        await _all_order(writers, ORDERS_AFTER)
        log = await fleet.surviving_log()
    attempts = [a for writer in writers for a in writer.attempts]
    reads = [r for writer in writers for r in writer.reads]
    assert faults_of(attempts, reads, log) == []


@pytest.mark.parametrize(
    ("attempt", "rows", "log", "found"),
    [
        (Attempt("a", ("answered",)), 1, [], "answered and is lost"),
        (Attempt("a", ("unknown", "answered")), 1, ["a", "a"], "ran 2 times"),
        (Attempt("a", ("not_run", "not_run")), 1, ["a"], "refused and ran"),
        (Attempt("a", ("answered",)), 0, ["a"], "not read by its own"),
    ],
)
def test_the_checker_finds_a_bad_history(attempt, rows, log, found):
    [fault] = faults_of([attempt], [Read("a", rows)], log)
    assert found in fault


def test_the_checker_passes_a_good_history():
    attempts = [
        Attempt("a", ("unknown", "answered")),
        Attempt("b", ("unknown",)),
        Attempt("c", ("not_run",)),
    ]
    assert faults_of(attempts, [Read("a", 1)], ["a", "b"]) == []
