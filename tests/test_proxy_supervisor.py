"""Unexpected exceptions cost what failed alone, and are counted.

An exception is injected into each long-running task of an instance.
"""

import itertools
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio

from lagoonstair.limits._limiter import Limiter
from lagoonstair.limits._service import LimitService
from lagoonstair.peers import PeerServer
from lagoonstair.peers._client import _Connection
from lagoonstair.platform import discovery
from lagoonstair.platform.store import Store
from lagoonstair.primacy import GroupRecord, Primacy
from lagoonstair.proxy._config_watch import ConfigWatcher
from lagoonstair.proxy._daemon import Instance
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._follower import Follower
from lagoonstair.proxy._front import CallerServer
from lagoonstair.proxy._gossip import Gossip
from lagoonstair.proxy._link import Link, LinkError
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._pool import EndpointPool
from lagoonstair.proxy._prober import Prober
from lagoonstair.proxy._promoter import Promoter
from lagoonstair.proxy._promotion_effects import PromotionEffects
from lagoonstair.proxy._reaper import Reaper
from lagoonstair.proxy._reconciler import Reconciler
from lagoonstair.proxy._registry import Registry
from lagoonstair.proxy._relay import RelayedSession
from lagoonstair.proxy._relays import HomeRouter
from lagoonstair.proxy._role_checker import RoleChecker
from lagoonstair.proxy._settings import parse_settings
from lagoonstair.proxy._supervisor import MAX_RESTART_SECONDS, Supervisor
from lagoonstair.proxy._tables import Tables
from proxy_fleet import ANSWER_SECONDS, START_SECONDS, config, proxy_fleet
from test_proxy_relay import _pair

FAILURES = 2
"""The number of calls that fail each time."""

TASKS = (
    (Gossip, "_round_targets"),
    (Gossip, "_sweep_targets"),
    (Gossip, "_ask"),
    (Gossip, "_answer"),
    (PeerServer, "_answer"),
    (Store, "follow"),
    (Store, "read_table"),
    (Follower, "_apply_registry"),
    (Follower, "_apply_config"),
    (Follower, "_apply_endpoints"),
    (Follower, "_must_read_store"),
    (Tables, "_use_entry"),
    (Fleet, "update_budgets"),
    (Fleet, "set_record"),
    (Primacy, "proved_at"),
    (Registry, "voters"),
    (ConfigWatcher, "_rank"),
    (LimitService, "_sleep"),
    (Limiter, "tick"),
    (Prober, "_suspected_primaries"),
    (Promoter, "_release_primary"),
    (Promoter, "_is_due"),
    (RoleChecker, "_find_suspects"),
    (Reaper, "_deny_suspicion"),
    (CallerServer, "_execute"),
    (Link, "_exchange"),
)
"""Methods that run on behalf of the tasks of an instance."""


class InjectedError(Exception):
    """An exception that no code expects."""


class _Injector:
    """Makes a method fail on its next calls.

    Tasks keep the methods that they run, so it is created before they start.

    Attributes:
        remaining: The number of calls that are still to fail.
    """

    def __init__(self, monkeypatch, owner, method):
        self.remaining = 0
        original = getattr(owner, method)

        def call(*args, **kwargs):
            if self.remaining:
                self.remaining -= 1
                raise InjectedError
            return original(*args, **kwargs)

        monkeypatch.setattr(owner, method, call)


@asynccontextmanager
async def _instance(fleet, name):
    """Runs an instance within this process, ready for callers."""
    path = await fleet.write_settings(name)
    metrics = Metrics()
    instance = Instance(parse_settings(path.read_bytes()), metrics)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        await fleet.wait_ready(name)
        yield instance, metrics
        nursery.cancel_scope.cancel()


async def _assert_serves(fleet, name, request_id):
    """Writes through the instance, on a new session if one has failed."""
    answer = []
    with trio.fail_after(ANSWER_SECONDS):
        while not answer or not answer[0].startswith("COMPLETE"):
            caller = await fleet.caller(instance=name)
            answer = await caller.ask(request_id, "WRITE a 1")
            caller.close()
            assert answer, "the session ended without an answer"


def _change_rows(fleet, version):
    """Changes what the tasks of an instance follow, so that each has work."""
    fleet.store.put("op", "config", config(version=version))
    entry = fleet.entry_of(fleet.group.databases["d3"])
    fleet.store.put("servers", "d3", {**entry, "slots": version % 2 + 3})
    fleet.store.put("lagoonstair", f"other/{version}", b"")
    record = GroupRecord(epoch=version, primary="h1")
    fleet.store.put("lagoonstair", "group/h", msgspec.json.encode(record))


async def test_an_exception_in_any_task_ends_no_other(tmp_path, monkeypatch):
    """Any of them once ended the process."""
    injectors = [_Injector(monkeypatch, *task) for task in TASKS]
    async with (
        proxy_fleet(tmp_path, instances=1) as fleet,
        _instance(fleet, "i2") as (_, metrics),
    ):
        await _assert_serves(fleet, "i2", "q")
        versions = itertools.count(2)
        for number, ((owner, method), injector) in enumerate(
            zip(TASKS, injectors, strict=True)
        ):
            task = f"{owner.__name__}.{method}"
            before = _failures(metrics)
            injector.remaining = FAILURES
            with trio.move_on_after(START_SECONDS):
                while injector.remaining:
                    _change_rows(fleet, next(versions))
                    await _assert_serves(fleet, "i2", f"q-{number}")
            assert injector.remaining == 0, f"{task} was not called"
            await _assert_serves(fleet, "i2", f"r-{number}")
            # What a peer was not answered is counted and logged there.
            assert _failures(metrics) > before or method == "_answer", task


def _failures(metrics):
    return sum(
        value
        for (name, _), value in metrics._counters.items()
        if name == "task_failures"
    )


async def test_an_instance_starts_whatever_a_row_does(tmp_path, monkeypatch):
    """A row that raised at each start kept the instance from ever serving."""
    decode = discovery.decode_endpoint

    def decode_or_fail(key, value):
        if key == "odd":
            raise InjectedError
        return decode(key, value)

    def fail(*args, **kwargs):
        raise InjectedError

    apply = Registry.apply

    def apply_or_fail(self, row):
        if row.key == "member/odd":
            raise InjectedError
        apply(self, row)

    monkeypatch.setattr(discovery, "decode_endpoint", decode_or_fail)
    monkeypatch.setattr(Registry, "apply", apply_or_fail)
    monkeypatch.setattr(Fleet, "update_budgets", fail)
    injector = _Injector(monkeypatch, Follower, "apply_registration")
    injector.remaining = 1
    async with proxy_fleet(tmp_path, instances=1) as fleet:
        fleet.store.put("servers", "odd", b"{}")
        fleet.store.put("lagoonstair", "member/odd", b"{}")
        async with _instance(fleet, "i2") as (_, metrics):
            await _assert_serves(fleet, "i2", "q")
            assert _failures(metrics)


async def test_a_statement_that_fails_unexpectedly_is_answered(
    tmp_path, monkeypatch
):
    """Its session ends, but not without an answer, which is true."""
    injector = _Injector(monkeypatch, CallerServer, "_execute")
    async with (
        proxy_fleet(tmp_path, instances=1) as fleet,
        _instance(fleet, "i2"),
    ):
        for text, code in (("READ a", "ABORTED"), ("WRITE a 1", "INDOUBT")):
            caller = await fleet.caller(instance="i2")
            injector.remaining = 1
            answer = await caller.ask("q", text)
            assert answer[0].startswith(f"ERROR {code}"), answer
            assert answer[-1] == "READY I -"


@pytest.mark.parametrize(
    ("owner", "method"),
    [
        (PromotionEffects, "unresolved"),
        (PromotionEffects, "_conclude"),
        (Promoter, "_candidates"),
        (Promoter, "_wait_released"),
    ],
)
async def test_a_promotion_that_fails_unexpectedly_is_run_again(
    tmp_path, monkeypatch, owner, method
):
    injector = _Injector(monkeypatch, owner, method)
    async with (
        proxy_fleet(tmp_path, instances=1) as fleet,
        # Its name sorts first, so it is the one that promotes.
        _instance(fleet, "a2") as (_, metrics),
    ):
        await _assert_serves(fleet, "a2", "q")
        injector.remaining = 1
        old = fleet.group.primary
        old.crash()
        await fleet.until(lambda: fleet.group.primary is not old, START_SECONDS)
        assert injector.remaining == 0
        assert _failures(metrics)
        await _assert_serves(fleet, "a2", "r")


async def test_an_endpoint_that_raises_counts_as_unreachable(monkeypatch):
    """The probe once ended the process."""
    metrics = Metrics()
    endpoint = discovery.decode_endpoint(
        "d1",
        msgspec.json.encode(
            {
                "service": "g",
                "address": "127.0.0.1:1",
                "zone": "a",
                "slots": 1,
                "state": "ready",
                "db_role": "primary",
                "seq_no": 1,
            }
        ),
    )
    pool = EndpointPool(endpoint, 4, supervisor=Supervisor(metrics))

    def fail(*args):
        raise UnicodeError

    monkeypatch.setattr(trio, "open_tcp_stream", fail)
    with pytest.raises(LinkError):
        await pool.open_link("w")
    with trio.move_on_after(1):
        await pool.probe("w")
    assert pool.unreachable_since is not None
    assert not pool.is_probing
    assert _failures(metrics) == 2


async def test_a_peer_connection_that_raises_ends_alone(monkeypatch):
    """The callers that wait on it are told, and it is opened again."""
    injector = _Injector(monkeypatch, _Connection, "_read")
    injector.remaining = 1
    stream, _ = await _pair()
    conn = _Connection(stream, None)
    await conn.run()
    assert conn.closed


async def test_a_home_that_raises_is_skipped(monkeypatch):
    fleet = Fleet("i1", "a", Metrics())

    def fail(*args):
        raise InjectedError

    async def reach(name):
        raise InjectedError

    monkeypatch.setattr(RelayedSession, "open", fail)
    router = HomeRouter(fleet, Metrics(), lambda name: ("h", 1), reach)
    caller, _ = await _pair()
    assert await router._open("i2", caller, b"") is None
    await router._check_home("i2")
    assert _failures(fleet._metrics) == 2


async def test_a_reconciler_that_fails_starts_again(autojump_clock):
    """A failure is followed by a backoff that grows up to a bound."""
    metrics = Metrics()
    started = []

    async def serve():
        started.append(trio.current_time())
        await Reconciler(None, None, None).run()

    with trio.move_on_after(10):
        await Supervisor(metrics).run("reconciler", serve)
    pauses = [b - a for a, b in itertools.pairwise(started)]
    assert all(b > a - 0.01 for a, b in itertools.pairwise(pauses))
    assert max(pauses) < MAX_RESTART_SECONDS * 1.5
    assert len(started) > 5
    assert _failures(metrics) == len(started)


async def test_a_failure_beside_a_cancellation_is_contained():
    """The rest of the group still cancels."""
    metrics = Metrics()
    supervisor = Supervisor(metrics)
    with trio.CancelScope() as scope:
        with supervisor.contain("task"):
            async with trio.open_nursery() as nursery:

                async def fail():
                    try:
                        await trio.sleep_forever()
                    finally:
                        raise InjectedError

                nursery.start_soon(fail)
                await trio.lowlevel.checkpoint()
                scope.cancel()
        await trio.lowlevel.checkpoint()
    assert scope.cancelled_caught
    assert _failures(metrics) == 1
