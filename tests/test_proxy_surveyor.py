"""No acknowledged commit of a group with synchronous replicas is lost."""

import itertools
import math

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from lagoonstair._types import Position
from lagoonstair.primacy import (
    PROOF_SECONDS,
    GroupRecord,
    LogSurvey,
    Primacy,
    choose_target,
)
from lagoonstair.proxy._departures import MEMORY_SECONDS
from lagoonstair.proxy._executor import Executor
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._targets import Caller, TargetSelector
from lagoonstair.proxy._transactions import Transaction, TransactionManager
from lagoonstair.routing import GroupConfig, RoutingConfig
from lagoonstair.statements import ErrorCode, Run, Session, Success
from proxy_fleet import (
    ANSWER_SECONDS,
    ROUTE,
    config,
    one_endpoint,
    proxy_fleet,
)

PROMOTION_SECONDS = 20
"""Time limit of a promotion in seconds, also on a busy machine."""

NO_PROMOTION_SECONDS = 4
"""Time in seconds in which a promotion that is possible takes place."""

SERVICES = [{"name": "g", "max_conns": 30, "sync_replicas": 1}]


async def _acknowledge(caller, ids):
    """Writes with each id; all of the writes are acknowledged."""
    for request_id in ids:
        answer = await caller.ask(request_id, f"WRITE a {request_id}")
        assert answer[0].startswith("COMPLETE"), answer


def _ids(database):
    return {write[0] for commit in database.log for write in commit.writes}


async def _wait_promoted(fleet, name, *, lacks=()):
    await fleet.until(
        lambda: fleet.group.primary.name == name, PROMOTION_SECONDS
    )
    lost = set(lacks) - _ids(fleet.group.databases[name])
    assert not lost, f"{name} lacks acknowledged commits: {lost}"


async def _sync_fleet_ready(fleet):
    """Returns a caller of a group with one synchronous replica."""
    fleet.group.synchronous = 1
    caller = await fleet.caller()
    await _acknowledge(caller, ["first"])
    return caller


@pytest.mark.parametrize("busy", ["busy", "slow"])
async def test_a_replica_that_lacks_commits_is_not_promoted(tmp_path, busy):
    """The one that holds them was left out, as it answered late or BUSY."""
    cfg = config(services=SERVICES)
    async with proxy_fleet(tmp_path, cfg=cfg) as fleet:
        caller = await _sync_fleet_ready(fleet)
        databases = fleet.group.databases
        databases["d3"].is_deaf = True
        ids = [f"q{number}" for number in range(5)]
        await _acknowledge(caller, ids)
        if busy == "busy":
            databases["d2"].busy_statuses = 20
        else:
            databases["d2"].status_seconds = 0.7
        databases["d1"].crash()
        await _wait_promoted(fleet, "d2", lacks=ids)


@pytest.mark.parametrize("returning", ["d1", "d2"])
async def test_a_promotion_waits_for_a_log_with_all_commits(
    tmp_path, returning
):
    """Either the only replica that holds them or the primary is awaited."""
    cfg = config(services=SERVICES)
    async with proxy_fleet(tmp_path, cfg=cfg) as fleet:
        caller = await _sync_fleet_ready(fleet)
        databases = fleet.group.databases
        databases["d3"].is_deaf = True
        ids = [f"q{number}" for number in range(5)]
        await _acknowledge(caller, ids)
        databases["d2"].crash()
        databases["d1"].crash()
        await trio.sleep(NO_PROMOTION_SECONDS)
        assert fleet.group.term == 1, "a replica was promoted too early"
        databases[returning].recover()
        await fleet.until(lambda: _serves(fleet), PROMOTION_SECONDS)
        assert fleet.group.primary.name == returning
        assert set(ids) <= _ids(fleet.group.primary)
        other = await fleet.caller()
        with trio.fail_after(PROMOTION_SECONDS):
            answer = ["ERROR"]
            databases["d3"].hear()
            while not answer[0].startswith("COMPLETE"):
                answer = await other.ask("last", "WRITE b 1")


def _serves(fleet):
    """Returns whether the group has a recorded primary again."""
    changes = [
        line
        for line in fleet.log("i1")
        if line["event"] == "primary record changed"
    ]
    return not changes[-1]["promoting"]


async def test_a_replica_that_is_not_registered_is_asked(tmp_path):
    """It is cut off from the store, and yet holds the last commits."""
    cfg = config(services=SERVICES)
    async with proxy_fleet(tmp_path, cfg=cfg) as fleet:
        caller = await _sync_fleet_ready(fleet)
        databases = fleet.group.databases
        fleet.store.delete("servers", "d2")
        await fleet.until(
            lambda: any(
                line["event"] == "endpoint gone" for line in fleet.log("i1")
            )
        )
        databases["d3"].is_deaf = True
        ids = [f"q{number}" for number in range(5)]
        await _acknowledge(caller, ids)
        databases["d1"].crash()
        await trio.sleep(NO_PROMOTION_SECONDS)
        assert fleet.group.term == 1, "a replica was promoted too early"
        fleet.group.publish_entry(databases["d2"])
        await _wait_promoted(fleet, "d2", lacks=ids)


async def test_a_handover_promotes_a_replica_with_all_commits(tmp_path):
    """A planned replacement waits for a replica to catch up, too."""
    cfg = config(services=SERVICES)
    async with proxy_fleet(tmp_path, cfg=cfg) as fleet:
        caller = await _sync_fleet_ready(fleet)
        databases = fleet.group.databases
        databases["d3"].is_deaf = True
        ids = [f"q{number}" for number in range(5)]
        await _acknowledge(caller, ids)
        databases["d2"].busy_statuses = 5
        databases["d1"].draining = True
        fleet.group.publish_entry(databases["d1"])
        await _wait_promoted(fleet, "d2", lacks=ids)
        # A suspended replica would receive nothing until it is resumed.
        for database in databases.values():
            texts = [text for _, text in database.statements]
            assert not any(text.startswith("SUSPEND") for text in texts)


async def test_a_group_that_is_not_synchronous_waits_for_no_quorum(tmp_path):
    """One replica is enough there, as before."""
    async with proxy_fleet(tmp_path) as fleet:
        caller = await fleet.caller()
        await _acknowledge(caller, ["first"])
        fleet.group.databases["d2"].crash()
        fleet.group.databases["d1"].crash()
        await _wait_promoted(fleet, "d3")


LOG = st.integers(min_value=0, max_value=6)


@given(
    replicas=st.integers(min_value=1, max_value=5),
    synchronous=st.integers(min_value=1, max_value=5),
    data=st.data(),
)
def test_a_complete_log_holds_each_acknowledged_commit(
    replicas, synchronous, data
):
    """Whichever replicas hold the commits, and whichever ones answer.

    Each log is a prefix of the primary's. A commit is acknowledged once enough
    replicas hold it. Replicas depart, and the primary's log may be known.
    """
    logs = data.draw(st.lists(LOG, min_size=replicas, max_size=replicas))
    committed = max(logs) + data.draw(LOG)
    holders = sorted(logs, reverse=True)
    acknowledged = holders[synchronous - 1] if synchronous <= replicas else 0
    names = [f"d{number}" for number in range(replicas)]
    answered = data.draw(st.sets(st.sampled_from(names)))
    departed = data.draw(st.sets(st.sampled_from(names))) - answered
    # What a departed replica holds was committed before it left, at 10.0.
    observed_at = data.draw(st.sampled_from([-math.inf, 5.0, 15.0]))
    least = max([logs[names.index(name)] for name in departed], default=0)
    observed = data.draw(st.integers(min_value=least, max_value=committed))
    survey = LogSurvey(
        received={
            name: Position(1, logs[names.index(name)]) for name in answered
        },
        registered=replicas - len(departed),
        departed_since=(10.0,) * len(departed),
        synchronous=synchronous,
        previous=data.draw(st.sampled_from([None, Position(1, committed)])),
        observed_at=observed_at,
        observed=None if observed_at < 0 else Position(1, observed),
    )
    if observed_at > 10.0:
        # Later commits were acknowledged by the replicas that stayed.
        stayed = sorted(
            (
                log
                for name, log in zip(names, logs, strict=True)
                if name not in departed
            ),
            reverse=True,
        )
        after = stayed[synchronous - 1] if synchronous <= len(stayed) else 0
        acknowledged = max(min(acknowledged, observed), after)
    required = survey.required_position()
    if required is not None:
        assert required >= Position(1, acknowledged)


def test_a_lost_replica_is_not_awaited_once_others_hold_its_commits():
    """What the primary held after the loss covers all that it held."""
    survey = LogSurvey(
        received={"d2": Position(1, 7)},
        registered=1,
        departed_since=(10.0,),
        synchronous=1,
    )
    assert survey.required_position() is None
    for at, observed, required in (
        (9.0, 7, None),
        (11.0, 8, None),
        (11.0, 7, Position(1, 7)),
    ):
        known = survey._replace(observed_at=at, observed=Position(1, observed))
        assert known.required_position() == required


@pytest.mark.parametrize("pending", [(), ("d2",), ("d3",)])
def test_a_pending_promotion_is_repeated_only_with_a_complete_log(pending):
    """Its endpoint may have been chosen before the logs were known."""
    survey = LogSurvey(
        received={"d2": Position(1, 3), "d3": Position(1, 5)},
        registered=2,
        departed_since=(),
        synchronous=1,
    )
    required = survey.required_position()
    complete = {n: p for n, p in survey.received.items() if p >= required}
    assert choose_target(complete, previous="d1", pending=pending) == "d3"


def test_a_departed_process_counts_until_it_returns(autojump_clock):
    async def check():
        async with one_endpoint() as (fleet, _):
            endpoint = fleet.endpoints["d1"]
            fleet.drop_endpoint("d1")
            assert [d.endpoint for d in fleet.departures.of_group("g")] == [
                endpoint
            ]
            assert fleet.departures.of_group("h") == []
            fleet.set_endpoint(endpoint)
            assert fleet.departures.of_group("g") == []
            # A new process under the same name does not have its log.
            fleet.set_endpoint(_with(endpoint, started=2))
            assert [
                d.endpoint.started for d in fleet.departures.of_group("g")
            ] == [1]
            await trio.sleep(MEMORY_SECONDS + 1)
            assert fleet.departures.of_group("g") == []

    trio.run(check, clock=autojump_clock)


def _with(value, **changes):
    fields = {name: getattr(value, name) for name in value.__dataclass_fields__}
    return type(value)(**{**fields, **changes})


def _config(version, synchronous):
    return RoutingConfig(
        version=version,
        routes={},
        groups={
            "g": GroupConfig(
                name="g", max_connections=9, synchronous_replicas=synchronous
            )
        },
        workspaces={},
        keys={},
        transaction_idle=1.0,
    )


async def test_a_change_of_the_synchronous_replicas_keeps_the_promise(
    autojump_clock,
):
    """What was acknowledged before may be on fewer replicas."""
    fleet = Fleet("i1", "a", Metrics())
    seen = []
    for version, synchronous in enumerate((0, 2, 1, 2, 0), 1):
        fleet.set_config(_config(version, synchronous))
        seen.append(fleet.synchronous_replicas.count("g"))
    assert seen == [0, 2, 1, 1, 1]
    await trio.sleep(MEMORY_SECONDS + 1)
    assert fleet.synchronous_replicas.count("g") == 0
    assert fleet.synchronous_replicas.count("unknown") == 0


@pytest.mark.parametrize("synchronous", [0, 1])
@pytest.mark.parametrize("pause", [0.0, PROOF_SECONDS])
@pytest.mark.parametrize("kind", ["write", "commit"])
async def test_a_late_confirmation_leaves_the_write_in_doubt(
    kind, pause, synchronous, monkeypatch
):
    """The logs may have been read before the primary confirmed it."""
    async with one_endpoint() as (fleet, _):
        fleet.set_config(_config(1, synchronous))
        # Two more voters, which have just reported.
        fleet.primacy.set_voters(["i1", "i2", "i3"], 1)
        for name in ("i2", "i3"):
            fleet.primacy.note_report(
                name,
                trio.current_time(),
                members_version=1,
                epochs={},
                proof_age=0.0,
            )
        targets = TargetSelector(fleet, Metrics())
        caller = Caller(workspace="w", session=Session())
        answered = targets.record_answer
        delay = itertools.chain([pause], itertools.repeat(0.0))

        def answer_late(*args):
            # The answer is read only after the instance was suspended.
            now = trio.current_time() + next(delay)
            monkeypatch.setattr(trio, "current_time", lambda: now)
            answered(*args)

        write = Run(True, "WRITE a 1", autocommit=kind == "write")
        with trio.fail_after(ANSWER_SECONDS):
            if kind == "write":
                targets.record_answer = answer_late
                executor = Executor(targets, Metrics())
                result = await executor.run(caller, ROUTE, write, "q")
            else:
                tx = Transaction(
                    route=ROUTE, read_only=False, began=trio.current_time()
                )
                manager = TransactionManager(fleet, targets)
                await manager.run(caller, tx, write, "q")
                targets.record_answer = answer_late
                result = await manager.commit(caller, tx, "c")
        if pause and synchronous:
            assert result.code is ErrorCode.IN_DOUBT
        else:
            assert isinstance(result, Success)


def test_an_answer_of_a_released_primary_is_held_back():
    """It may be passed on while the last proof before the release holds."""
    primacy = Primacy("i1")
    primacy.set_voters(["i1", "i2", "i3"], 1)
    primacy.apply("g", GroupRecord(epoch=1, primary="d1"))
    primacy.note_store_read(100.0)
    assert primacy.holds_until("g", 1) == 100.0 + PROOF_SECONDS
    # A proof that comes with the news of the promotion proves nothing.
    primacy.note_report(
        "i2", 101.0, members_version=1, epochs={"g": 2}, proof_age=0.0
    )
    primacy.note_store_read(102.0)
    assert primacy.holds_until("g", 1) == 100.0 + PROOF_SECONDS
    primacy.apply("g", GroupRecord(epoch=3, primary="d2"))
    assert primacy.holds_until("g", 1) == 100.0 + PROOF_SECONDS
    assert primacy.holds_until("g", 3) == 102.0 + PROOF_SECONDS
    assert primacy.holds_until("g", 2) == -math.inf


async def test_load_pattern_writes_during_a_promotion_that_waits(
    autojump_clock,
):
    """They are refused at once with a hint, as its end is not foreseeable.

    Each attempt of the promoter writes the record again, which once made the
    callers of every attempt wait as if it were the first.
    """
    fleet = Fleet("i1", "a", Metrics())
    estimates = []
    for epoch in range(2, 12):
        record = GroupRecord(epoch=epoch, primary="d1", promoting="i1")
        fleet.set_record("g", record)
        estimates.append(fleet.estimate_recovery("g"))
        await trio.sleep(1.0)
    assert estimates[0] == pytest.approx(1.4)
    assert max(estimates[1:4]) < 1.0
    assert set(estimates[5:]) == {3.0}
    fleet.set_record("g", GroupRecord(epoch=12, primary="d2"))
    fleet.set_record("g", GroupRecord(epoch=13, primary="d2", promoting="i1"))
    assert fleet.estimate_recovery("g") == pytest.approx(1.4)
