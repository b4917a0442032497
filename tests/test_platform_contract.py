"""Contract tests of the platform port, with a table of injected faults.

The fixture ``bench`` creates adapters and injects faults. Another platform is
tested with the same cases by replacing this fixture, which uses the stand-in.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import pytest
import trio

from lagoonstair._types import Address
from lagoonstair.ports import (
    ListedInstance,
    Platform,
    PlatformUnavailableError,
    Row,
    Transaction,
)
from lagoonstair.standins.platform import (
    Faults,
    FaultSet,
    HttpPlatform,
    ListingChange,
    PlatformConfig,
    PlatformStandin,
)
from lagoonstair.standins.platform._client import MAX_CONNECTIONS

PUT_A = Transaction(conditions={"a": 0}, writes={"a": b"\x00\xff"})


class Bench(NamedTuple):
    make: Callable[[str], Platform]
    set_faults: Callable[[FaultSet], None]
    change_listing: Callable[[ListingChange], None]


@pytest.fixture
async def bench(nursery):
    standin = PlatformStandin.from_config(PlatformConfig())
    port = await nursery.start(standin.serve, "127.0.0.1", 0)
    address = Address("127.0.0.1", port)
    return Bench(
        lambda name: HttpPlatform(address, name, timeout=2.0),
        standin.set_faults,
        standin.change_listing,
    )


async def test_transactions_are_atomic_and_conditional(bench):
    platform = bench.make("i1")
    assert await platform.transact(PUT_A)
    assert not await platform.transact(
        Transaction(conditions={"a": 0, "b": 0}, writes={"b": b"1"})
    )
    rows = await platform.read(["a", "b"])
    assert rows == {
        "a": Row(1, b"\x00\xff"),
        "b": Row(0, b""),
    }


async def test_a_deleted_row_does_not_repeat_a_version(bench):
    platform = bench.make("i1")
    versions = []
    for value in (b"1", None, b"2"):
        write = Transaction(conditions={}, writes={"a": value})
        assert await platform.transact(write)
        versions.append((await platform.read(["a"]))["a"].version)
    assert versions == [1, 0, 2]


async def test_scan_pages_in_key_order(bench):
    platform = bench.make("i1")
    keys = ("p/3", "p/1", "q/1", "p/2", "p/10")
    writes = Transaction(conditions={}, writes=dict.fromkeys(keys, b""))
    assert await platform.transact(writes)
    first = await platform.scan("p/", after="", limit=3)
    rest = await platform.scan("p/", after=first[-1][0], limit=3)
    assert [key for key, _ in first + rest] == ["p/1", "p/10", "p/2", "p/3"]


async def test_objects_are_stored_whole(bench):
    platform = bench.make("i1")
    assert await platform.get_object("a/b c") is None
    await platform.put_object("a/b c", b"\x00" * 2_000_000)
    assert await platform.get_object("a/b c") == b"\x00" * 2_000_000


async def _transact(platform: Platform) -> object:
    return await platform.transact(PUT_A)


async def _put(platform: Platform) -> object:
    return await platform.put_object("a", b"1")


async def _read(platform: Platform) -> object:
    return await platform.read(["a"])


async def _scan(platform: Platform) -> object:
    return await platform.scan("", after="", limit=1)


async def _listing(platform: Platform) -> object:
    return await platform.listing()


READS = [_read, _scan, _listing]
WRITES = [_transact, _put]
# Each row: the injected fault, and whether a change takes effect despite it.
FAULTS = [
    (Faults(down=True), False),
    (Faults(slow_seconds=10), True),
    (Faults(slow_answer_seconds=10), True),
]


@pytest.mark.parametrize("call", READS + WRITES)
@pytest.mark.parametrize(("fault", "effect"), FAULTS)
async def test_faults_tell_whether_a_change_may_be_done(
    bench,
    autojump_clock,
    call: Callable[[Platform], Awaitable[object]],
    fault,
    effect,
):
    platform = bench.make("i1")
    bench.set_faults(FaultSet(all=fault))
    with pytest.raises(PlatformUnavailableError) as caught:
        await call(platform)
    assert caught.value.may_have_applied == (call in WRITES)
    await trio.sleep(20)  # Virtual time, in which a slow change takes effect.
    bench.set_faults(FaultSet())
    done = (await platform.read(["a"]))["a"].version == 1
    assert done == (effect and call is _transact)


@pytest.mark.parametrize("call", WRITES)
async def test_a_lost_answer_comes_after_the_effect(bench, call):
    platform = bench.make("i1")
    bench.set_faults(FaultSet(all=Faults(answer_lost=True)))
    with pytest.raises(PlatformUnavailableError) as caught:
        await call(platform)
    assert caught.value.may_have_applied
    row = (await platform.read(["a"]))["a"]
    done = (row.version, await platform.get_object("a"))
    assert done == ((1, None) if call is _transact else (0, b"1"))


@pytest.mark.parametrize("call", READS + WRITES)
async def test_nothing_sent_is_not_done(call):
    listener = trio.socket.socket()
    # A socket that is bound but does not listen refuses connections.
    await listener.bind(("127.0.0.1", 0))
    platform = HttpPlatform(Address(*listener.getsockname()), "i1")
    with pytest.raises(PlatformUnavailableError) as caught:
        await call(platform)
    assert not caught.value.may_have_applied


async def test_a_change_that_waited_for_a_connection_is_not_done(
    bench, autojump_clock
):
    platform = bench.make("i1")
    bench.set_faults(FaultSet(all=Faults(slow_seconds=10)))
    may_have_applied = []

    async def change() -> None:
        with pytest.raises(PlatformUnavailableError) as caught:
            await platform.transact(PUT_A)
        may_have_applied.append(caught.value.may_have_applied)

    async with trio.open_nursery() as nursery:
        for _ in range(MAX_CONNECTIONS + 1):
            nursery.start_soon(change)
    assert sorted(may_have_applied) == [False] + [True] * MAX_CONNECTIONS


async def test_one_instance_may_be_cut_off_alone(bench):
    bench.set_faults(FaultSet(instances={"i2": Faults(down=True)}))
    assert await bench.make("i1").transact(PUT_A)
    with pytest.raises(PlatformUnavailableError):
        await bench.make("i2").read(["a"])


async def test_the_list_lags_and_may_arrive_out_of_order(bench, autojump_clock):
    platform = bench.make("i1")
    instance = ListedInstance(
        name="i9", failure_domain="a", peers=Address("127.0.0.9", 1)
    )
    bench.set_faults(FaultSet(listing_lag=5.0))
    bench.change_listing(ListingChange(instances=(instance,)))
    assert (await platform.listing()).instances == ()
    await trio.sleep(5)  # Virtual time.
    assert (await platform.listing()).instances == (instance,)
    bench.set_faults(FaultSet(listing_reordered=True))
    versions = {(await platform.listing()).version for _ in range(2)}
    assert versions == {1, 2}
