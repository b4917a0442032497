"""A stop cuts no statement: what was read whole is answered, and truly."""

import os
import signal
from contextlib import suppress

import pytest
import trio
import trio.testing

from lagoonstair.homes import HomeAssignment, InstanceResources
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._front import CallerServer
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.statements import (
    Begin,
    Commit,
    ErrorCode,
    Failure,
    Read,
    Rollback,
    Session,
    Success,
    TransactionState,
)
from proxy_fleet import ANSWER_SECONDS, config, proxy_fleet
from test_proxy_relay import _ends, _pair

GRACE_SECONDS = 6
"""The grace period of the instances in seconds, as in their settings."""

WORK_SECONDS = 0.12
"""How long a statement takes in seconds; it always runs when the second half
of the grace period begins."""

LONG_SECONDS = 30.0
"""How long a statement takes in seconds that outlasts the grace period."""

CALLERS = 8
MAX_CONNECTIONS = 6
"""Connections of an endpoint; too few for each of four instances."""


def _config(*, relayed=False):
    cfg = config()
    for route in cfg["routes"]:
        route["timeout_ms"] = 20_000
    if relayed:
        cfg["services"][0]["max_conns"] = MAX_CONNECTIONS
        cfg["tenants"] += [
            {"name": f"x{n}", "api_keys": [], "rate_per_s": 9, "burst": 9}
            for n in range(30)
        ]
    return cfg


def _home(fleet, cfg):
    homes = HomeAssignment(
        dict.fromkeys(fleet.processes, InstanceResources("a")),
        max_connections=MAX_CONNECTIONS,
        workspaces=len(cfg["tenants"]),
    )
    return homes.candidates("w1")[0]


def _set_statement_seconds(fleet, seconds):
    for database in fleet.group.databases.values():
        database.statement_seconds = seconds


def _received(fleet, request_id):
    return any(
        request_id in database.received_ids
        for database in fleet.group.databases.values()
    )


async def _run_transactions(fleet, name, number, cuts, answers):
    """Runs statements of transactions without a pause until cut off."""
    caller = await fleet.caller("b", instance=name)
    count = 0
    while True:
        for text in ("BEGIN READ", *["READ a"] * 200, "COMMIT"):
            request_id = f"{name}-{number}-{count}"
            count += 1
            answer = []
            with suppress(OSError, trio.BrokenResourceError):
                answer = await caller.ask(request_id, text)
            if not answer or not answer[-1].startswith("READY"):
                # Nobody may have read it, as the session has ended.
                if _received(fleet, request_id):
                    cuts.append((request_id, text, answer))
                return
            answers.append((request_id, text, answer))
            if answer[0].startswith("ERROR"):
                # The operation has ended outside of the idle state.
                caller.close()
                return


async def _stop(fleet, name):
    fleet.signal(name, signal.SIGTERM)
    assert await fleet.wait_ended(name) == 0


@pytest.mark.parametrize("relayed", [False, True])
async def test_a_stop_cuts_no_statement_of_an_open_transaction(
    tmp_path, relayed
):
    """One that ran at half of the grace period let its transaction go on."""
    cfg = _config(relayed=relayed)
    instances = 4 if relayed else 2
    async with proxy_fleet(tmp_path, instances=instances, cfg=cfg) as fleet:
        home = _home(fleet, cfg)
        entry = next(n for n in fleet.processes if n != home)
        _set_statement_seconds(fleet, WORK_SECONDS)
        cuts, answers = [], []
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                name = (home, entry)[number % 2]
                nursery.start_soon(
                    _run_transactions, fleet, name, number, cuts, answers
                )
            await trio.sleep(1)
            # The stops of both ends of the relayed sessions overlap.
            nursery.start_soon(_stop, fleet, entry)
            await trio.sleep(1.5)
            nursery.start_soon(_stop, fleet, home)
        assert not cuts
        for request_id, text, answer in answers:
            if answer[0].startswith(("ERROR BUSY", "ERROR ABORTED")):
                continue
            assert answer[0].startswith("COMPLETE"), (request_id, text, answer)
        for name in (home, entry):
            assert fleet.log(name)[-1]["event"] == "stopped"


@pytest.mark.parametrize("relayed", [False, True])
async def test_a_statement_that_outlasts_the_grace_is_answered(
    tmp_path, relayed
):
    """A commit or write in progress at the very end is in doubt."""
    cfg = _config(relayed=relayed)
    instances = 4 if relayed else 1
    async with proxy_fleet(tmp_path, instances=instances, cfg=cfg) as fleet:
        home = _home(fleet, cfg)
        name = next((n for n in fleet.processes if n != home), home)
        reader, writer, committer = [
            await fleet.caller("p", instance=name) for _ in range(3)
        ]
        await committer.ask("c1", "BEGIN")
        done = await committer.ask("c2", "WRITE c 1")
        assert done[0].startswith("COMPLETE"), done
        _set_statement_seconds(fleet, LONG_SECONDS)
        await reader.send(b"QUERY r1 READ a\r\n")
        await writer.send(b"QUERY w1 WRITE b 1\r\n")
        await committer.send(b"QUERY c3 COMMIT\r\n")
        await fleet.until(
            lambda: all(_received(fleet, i) for i in ("r1", "w1", "c3"))
        )
        fleet.signal(name, signal.SIGTERM)
        for caller, code in (
            (reader, "ABORTED"),
            (writer, "INDOUBT"),
            (committer, "INDOUBT"),
        ):
            answer = await caller.answer()
            assert answer[0].startswith(f"ERROR {code}"), answer
            assert answer[-1].startswith("READY"), answer
            assert await caller.answer() == []
        assert await fleet.wait_ended(name) == 0


async def test_pipelined_statements_are_answered_in_the_second_half(tmp_path):
    """They were read whole, so each is answered, and none of them runs."""
    async with proxy_fleet(tmp_path, cfg=_config()) as fleet:
        caller = await fleet.caller("p")
        await caller.ask("q1", "BEGIN")
        await caller.ask("q2", "WRITE a 1")
        _set_statement_seconds(fleet, GRACE_SECONDS * 0.7)
        await caller.send(
            b"QUERY q3 READ a\r\nQUERY q4 READ a\r\nQUERY q5 COMMIT\r\n"
        )
        await fleet.until(lambda: _received(fleet, "q3"))
        fleet.signal("i1", signal.SIGTERM)
        answers = [await caller.answer() for _ in range(4)]
        assert answers[0][-1] == "READY T -"
        assert answers[1][0].startswith("ERROR ABORTED")
        assert answers[1][-1] == "READY E -"
        assert answers[2][0].startswith("ERROR ABORTED")
        assert answers[2][-1] == "READY I -"
        assert answers[3] == []
        assert await fleet.wait_ended("i1") == 0
        assert not _received(fleet, "q4")
        assert not fleet.group.primary.log


@pytest.mark.parametrize(
    ("state", "statement", "code", "new_state"),
    [
        (TransactionState.IDLE, Read("READ a"), ErrorCode.BUSY, "IDLE"),
        (TransactionState.IDLE, Begin(read_only=True), ErrorCode.BUSY, "IDLE"),
        (TransactionState.OPEN, Read("READ a"), ErrorCode.ABORTED, "FAILED"),
        (TransactionState.OPEN, None, ErrorCode.ABORTED, "FAILED"),
        (TransactionState.OPEN, Commit(), ErrorCode.ABORTED, "IDLE"),
        (TransactionState.OPEN, Rollback(), None, "IDLE"),
        (TransactionState.FAILED, Commit(), ErrorCode.ABORTED, "IDLE"),
        (TransactionState.FAILED, Rollback(), None, "IDLE"),
        (TransactionState.FAILED, None, ErrorCode.MALFORMED, "FAILED"),
    ],
)
def test_a_refused_statement_leaves_a_true_state(
    state, statement, code, new_state
):
    session = Session(state=state)
    result = session.refuse(statement, "stopping")
    if code is None:
        assert isinstance(result, Success)
    else:
        assert isinstance(result, Failure)
        assert result.code is code
    assert session.state is TransactionState[new_state]


async def test_a_relayed_answer_is_forwarded_before_the_session_ends():
    """Its transaction then ends at the home, which begins nothing more."""
    ends = await _ends(b"READY T -\r\n")
    with trio.fail_after(ANSWER_SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            await ends.caller.receive_some(100)
            await ends.ask(b"QUERY q1 READ a\r\n")
            ends.session.cancel_when_answered()
            await trio.testing.wait_all_tasks_blocked()
            await ends.home.send_all(b"COMPLETE s\r\nREADY T -\r\n")
            assert b"COMPLETE" in await ends.caller.receive_some(100)
            assert await ends.home.receive_some(100) == b""
    assert ends.failure is None


@pytest.mark.parametrize("text", [b"QUERY q1 COMMIT\r\n", b"QUERY q1 READ a"])
async def test_a_relayed_statement_is_refused_during_a_stop(text):
    """It is not forwarded, so the answer may say that nothing is kept."""
    ends = await _ends(b"READY T -\r\n")
    with trio.fail_after(ANSWER_SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            await ends.caller.receive_some(100)
            # It arrives before the session notices it.
            os.write(ends.caller.socket.fileno(), text)
            ends.session.cancel_when_answered()
            assert await ends.home.receive_some(100) == b""
    assert ends.failure.code is ErrorCode.ABORTED


async def test_a_cut_relayed_commit_is_in_doubt():
    ends = await _ends(b"READY T -\r\n")
    with trio.fail_after(ANSWER_SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            await ends.caller.receive_some(100)
            await ends.ask(b"QUERY q1 COMMIT\r\n")
            ends.session.cut()
    assert ends.failure.code is ErrorCode.IN_DOUBT


async def test_a_home_that_stops_takes_no_more_sessions():
    """The relaying instance gets no greeting and tries the next home."""
    metrics = Metrics()
    fleet = Fleet("i1", "a", metrics)
    front = CallerServer(fleet, None, None, None, metrics, 1000, None)
    front.drain()
    here, there = await _pair()
    with trio.fail_after(ANSWER_SECONDS):
        await front.serve_relayed(here)
        assert await there.receive_some(100) == b""
    assert "relays_refused_total 1" in metrics.render()
