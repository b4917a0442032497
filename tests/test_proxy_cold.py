"""Statements to endpoints that have just started, with small fakes."""

import dataclasses
from types import SimpleNamespace

import msgspec
import pytest
import trio

from lagoonstair._types import Address, Position
from lagoonstair.cold import ColdReport
from lagoonstair.evacuation import Evacuations, EvacuationSet
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.features import ColdLimits, Features
from lagoonstair.platform import discovery
from lagoonstair.proxy import _cold
from lagoonstair.proxy._cold_gate import COLD_MESSAGE, ColdGate
from lagoonstair.proxy._executor import Executor
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._link import Link
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._tables import KnownVersions, Tables, Update
from lagoonstair.proxy._targets import Caller, TargetSelector
from lagoonstair.proxy._transactions import Transaction, TransactionManager
from lagoonstair.routing import Consistency, Endpoint
from lagoonstair.statements import ErrorCode, Run, Session, Success
from proxy_fleet import ROUTE, one_endpoint
from test_cold_decisions import GROUP, endpoint, entry

READ = Run(False, "READ a", autocommit=True)
WRITE = Run(True, "WRITE a 1", autocommit=False)
BOUNDED = dataclasses.replace(
    ROUTE, consistency=Consistency.BOUNDED, max_staleness=2.0
)


class _Tokens:
    """A number of tokens that does not grow."""

    def __init__(self, tokens):
        self.tokens = tokens
        self.waits = 0

    def has_token(self, key):
        return self.tokens >= 1

    def try_take(self, key):
        taken = self.tokens >= 1
        self.tokens -= taken
        return taken

    async def admit(self, key):
        self.waits += 1
        raise LagoonstairError(
            ErrorKind.RATE_LIMITED, "over its rate", retry_after=0.7
        )


class _AllCold:
    """Tells that the given endpoints are cold."""

    def __init__(self, *names):
        self._names = names

    def is_cold(self, endpoint):
        return endpoint.name in self._names


def _targets(fleet, tokens, *names):
    gate = ColdGate(_AllCold(*names), tokens, Metrics())
    return TargetSelector(fleet, Metrics(), gate)


def _caller():
    return Caller(workspace="w", session=Session())


def _transaction(*, read_only=False, route=ROUTE):
    return Transaction(
        route=route, read_only=read_only, began=trio.current_time()
    )


async def test_a_statement_of_a_cold_primary_waits_and_is_refused():
    async with one_endpoint() as (fleet, database):
        tokens = _Tokens(1)
        executor = Executor(_targets(fleet, tokens, "d1"), Metrics())
        done = await executor.run(_caller(), ROUTE, READ, "q1")
        assert isinstance(done, Success)
        assert not tokens.waits
        refused = await executor.run(_caller(), ROUTE, READ, "q2")
        assert refused.code is ErrorCode.BUSY
        assert refused.message == f"{COLD_MESSAGE}; retry_after_ms=700"
        # One wait, as for an operation over its rate; nothing was sent.
        assert tokens.waits == 1
        assert "q2" not in database.received_ids


# Guards against: statements of a transaction that are not counted, and a
# transaction that stays open after a refusal.
@pytest.mark.parametrize(
    ("tokens", "outcome"),
    [(0, "begin"), (1, "write"), (2, "commit"), (3, "done")],
)
async def test_each_statement_of_a_transaction_takes_a_token(tokens, outcome):
    async with one_endpoint() as (fleet, database):
        manager = TransactionManager(
            fleet, _targets(fleet, _Tokens(tokens), "d1")
        )
        caller, tx = _caller(), _transaction()
        result = await manager.run(caller, tx, WRITE, "q1")
        if outcome in ("begin", "write"):
            assert result.code is ErrorCode.BUSY
            assert COLD_MESSAGE in result.message
        else:
            assert isinstance(result, Success)
            result = await manager.commit(caller, tx, "q2")
            assert (outcome == "done") is isinstance(result, Success)
            if outcome == "commit":
                assert result.code is ErrorCode.ABORTED
        assert len(database.log) == (outcome == "done")
        assert not manager._open


async def test_values_of_a_session_take_tokens_too():
    async with one_endpoint() as (fleet, database):
        executor = Executor(_targets(fleet, _Tokens(2), "d1"), Metrics())
        caller = _caller()
        caller.session.values.update(zone="high", color="red")
        refused = await executor.run(caller, ROUTE, READ, "q1")
        assert COLD_MESSAGE in refused.message
        assert "q1" not in database.received_ids


async def test_no_values_are_sent_to_a_domain_evacuated_during_the_wait():
    """The wait for a token may last beyond the hard stop of the domain."""
    async with one_endpoint() as (fleet, database):
        domain = fleet.endpoints["d1"].failure_domain
        evacuation = fleet.evacuation = Evacuations(1.0)
        tokens = _Tokens(0)

        async def admit(key):
            now = trio.current_time()
            evacuation.apply(
                EvacuationSet(1, 1, (domain,)), now, current_at=now - 1
            )

        tokens.admit = admit
        executor = Executor(_targets(fleet, tokens, "d1"), Metrics())
        caller = _caller()
        caller.session.values.update(zone="high")
        sent = []
        original = Link.apply_session

        async def apply_session(link, values, shape):
            sent.append(values)
            return await original(link, values, shape)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Link, "apply_session", apply_session)
            refused = await executor.run(caller, ROUTE, READ, "q1")
        assert refused.code is ErrorCode.BUSY
        assert not sent
        assert "q1" not in database.received_ids


async def test_a_rollback_without_a_token_closes_the_connection():
    async with one_endpoint() as (fleet, database):
        manager = TransactionManager(fleet, _targets(fleet, _Tokens(2), "d1"))
        caller, tx = _caller(), _transaction()
        assert isinstance(await manager.run(caller, tx, WRITE, "q1"), Success)
        await manager.roll_back(tx)
        assert not manager._open
        assert not tx.link.is_usable
        assert database.log == []


def _add_replica(fleet, name):
    fleet.set_endpoint(
        Endpoint(
            name=name,
            group="g",
            address=Address("10.0.0.1", 1),
            failure_domain="a",
            slots=4,
            leaving=False,
            says_primary=False,
            started=1,
        )
    )


@pytest.mark.parametrize(
    ("cold", "tokens", "pins", "chosen"),
    [
        ((), 0, False, "r1"),
        (("r1",), 1, False, "r1"),
        # Without a token, the next endpoint is used.
        (("r1",), 0, False, "d1"),
        # A transaction begins elsewhere, even if there is a token.
        (("r1",), 9, True, "d1"),
        (("r1", "d1"), 9, True, "r1"),
    ],
)
async def test_reads_leave_cold_replicas_without_a_token(
    cold, tokens, pins, chosen
):
    async with one_endpoint() as (fleet, _):
        _add_replica(fleet, "r1")
        fleet.note_position("g", trio.current_time(), Position(1, 0))
        now = trio.current_time()
        targets = _targets(fleet, _Tokens(tokens), *cold)
        target = await targets.choose(
            _caller(),
            BOUNDED,
            False,
            now,
            now + 1,
            set(),
            begins_transaction=pins,
        )
        assert target.pool.endpoint.name == chosen


async def test_a_refused_read_goes_on_to_the_next_endpoint():
    async with one_endpoint() as (fleet, _):
        tokens = _Tokens(1)
        # Another statement takes the token between the choice and the send.
        tokens.try_take = lambda key: False
        _add_replica(fleet, "r1")
        fleet.note_position("g", trio.current_time(), Position(1, 0))
        targets = _targets(fleet, tokens, "r1")
        with trio.fail_after(3):
            result = await Executor(targets, Metrics()).run(
                _caller(), BOUNDED, READ, "q1"
            )
        assert isinstance(result, Success)
        assert not tokens.waits


def _cold_fleet(monkeypatch, limits):
    events = []
    monkeypatch.setattr(
        _cold, "log_event", lambda event, **fields: events.append(event)
    )
    fleet = Fleet("i1", "a", Metrics(), Features(cold_limits=limits))
    fleet.cold.apply({"g": GROUP})
    return fleet, events


@pytest.mark.parametrize("limits", [None, ColdLimits(1.5, 5)])
async def test_endpoints_are_limited_only_where_the_settings_say_so(
    monkeypatch, limits, autojump_clock
):
    fleet, events = _cold_fleet(monkeypatch, limits)
    applied = []
    fleet.cold.listeners.append(lambda: applied.append(dict(fleet.cold.shares)))
    fleet.set_endpoint(endpoint(cold_left=3.0))
    if limits is None:
        assert not fleet.cold.is_cold(endpoint())
        assert fleet.cold.reports(trio.current_time()) == ()
        assert not events
        assert not applied
        return
    assert fleet.cold.is_cold(endpoint())
    assert [*applied[0]] == ["endpoint:d1:1"]
    # The endpoint has been up for 7 of its group's 10 s.
    assert applied[0]["endpoint:d1:1"].started_before == pytest.approx(7)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.cold.run)
        await trio.sleep(3.5)
        nursery.cancel_scope.cancel()
    assert not fleet.cold.is_cold(endpoint())
    assert applied[-1] == {}
    assert events == ["endpoint cold", "endpoint warm"]


async def test_an_invalid_time_is_logged_once_and_limits_nothing(monkeypatch):
    fleet, events = _cold_fleet(monkeypatch, ColdLimits(1.5, 5))
    for _ in range(3):
        fleet.set_endpoint(endpoint(cold_left=float("nan")))
    assert not fleet.cold.is_cold(endpoint())
    assert events == ["cold time invalid"]


# Guards against: a peer that keeps the first cold time of an endpoint because
# entries reach it only when another field changes.
async def test_peers_learn_a_corrected_time_by_gossip(monkeypatch):
    limits = ColdLimits(1.5, 5)
    voter, _ = _cold_fleet(monkeypatch, limits)
    other, _ = _cold_fleet(monkeypatch, limits)
    for left, sequence in ((2.0, 1), (9.0, 2), (0.0, 3)):
        voter.set_endpoint(
            dataclasses.replace(endpoint(cold_left=left), sequence=sequence)
        )
        if sequence == 1:
            other.set_endpoint(endpoint(cold_left=left))
        reports = voter.cold.reports(trio.current_time())
        sent = msgspec.json.encode(Update(None, (), 0, (), 1e6, cold=reports))
        update = msgspec.json.decode(sent, type=Update)
        other.cold.apply_reports(other.endpoints, update.cold)
        assert other.cold.is_cold(endpoint()) is (left > 0)
        assert [r.left for r in other.cold.reports(trio.current_time())] == (
            pytest.approx([left], abs=0.1)
        )
    # Another process of the endpoint is another matter.
    other.set_endpoint(endpoint(started=2))
    other.cold.apply_reports(other.endpoints, [ColdReport("d1", 1, 9, 5.0)])
    assert not other.cold.is_cold(endpoint(started=2))


# Guards against: a new instance that reads the last cold entry of an endpoint
# that is warm, and refuses its statements for as long as that entry says.
async def test_a_new_instance_is_not_sent_the_entry_of_an_ended_cold_time():
    tables = Tables(
        Fleet("i1", "a", Metrics()),
        SimpleNamespace(
            version=0, era=0, changes_since=lambda era, version: ()
        ),
        Metrics(),
    )
    for number, left in enumerate((5000, 4000, 0, 0)):
        value = entry(cold_left_ms=left, seq_no=number)
        tables.apply_endpoint_change("d1", value)
        sent = dict(tables.update_for(KnownVersions(0, 0, 0)).endpoints)
        assert discovery.decode_endpoint("d1", sent["d1"]).cold_left == (
            left / 1000
        )
