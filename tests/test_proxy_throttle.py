"""Tests of refusals at the entry, on relayed sessions and real processes."""

import signal

import trio
import trio.testing

from lagoonstair.features import Features
from lagoonstair.limits import Limiter, LimitSettings, Refuse, WorkspaceLimit
from lagoonstair.platform.tracking import parse_query
from lagoonstair.proxy import _throttle as _throttle_module
from lagoonstair.proxy._entry import EntrySessions
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._throttle import EntryThrottle
from lagoonstair.statements import ErrorCode, Failure
from lagoonstair.throttling._throttle import WINDOW_SECONDS
from proxy_fleet import ANSWER_SECONDS, proxy_fleet
from test_proxy_path import (
    MAX_CONNECTIONS,
    _config_with_few_connections,
    _home_of,
)
from test_proxy_relay import GREETING, _ends, _receive

TIMEOUT_SECONDS = 5
"""Time limit of a test, in seconds."""

OVER_RATE = b"ERROR BUSY the workspace is over its rate; retry_after_ms=70\r\n"
REFUSED = OVER_RATE + GREETING
DONE = b"COMPLETE s\r\n" + GREETING


def _idle_throttle():
    return EntryThrottle(Fleet("i1", "a", Metrics()), Metrics())


def _throttle():
    """Returns a throttle that refuses nearly every operation."""
    throttle = _idle_throttle()
    for _ in range(100_000):
        throttle.record("w", OVER_RATE.decode().rstrip())
    return throttle


async def _throttled(nursery, throttle):
    """Returns a session whose first operation has been answered."""
    ends = await _ends()
    ends.session.set_gate(throttle.gate("w", "d"))
    await nursery.start(ends.run)
    assert await _receive(ends.caller, len(GREETING)) == GREETING
    await ends.ask(b"QUERY q1 READ a\r\n")
    await ends.home.send_all(DONE)
    assert await _receive(ends.caller, len(DONE)) == DONE
    return ends


# Guards against: an operation that is both refused and run, and statements
# whose answers come in another order than they were sent.
async def test_pipelined_operations_are_each_refused_or_forwarded():
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            ends = await _throttled(nursery, _throttle())
            # SET is no operation, so it and all behind it are forwarded.
            forwarded = b"QUERY q4 SET a b\r\nQUERY q5 READ a\r\nQUERY q6"
            await ends.caller.send_all(
                b"QUERY q2 WRITE a b\r\nQUERY q3 BEGIN\r\n" + forwarded
            )
            answers = await _receive(ends.caller, 2 * len(REFUSED))
            assert answers == 2 * REFUSED
            assert await _receive(ends.home, len(forwarded)) == forwarded
            await ends.ask(b" READ a\r\n")
            await ends.home.send_all(3 * DONE)
            answers = await _receive(ends.caller, 3 * len(DONE))
            assert answers == 3 * DONE
            await trio.testing.wait_all_tasks_blocked()
            assert ends.session.is_idle
            ends.session.cancel()
    assert ends.failure is None


# Guards against: a statement of an open transaction that is refused as if it
# began an operation, and one refused after a part of it was forwarded.
async def test_open_transactions_and_split_messages_are_forwarded():
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            throttle = _throttle()
            ends = await _throttled(nursery, throttle)
            await ends.ask(b"QUERY q2 BEG")
            await ends.ask(b"IN\r\n")
            opened = b"COMPLETE s\r\nREADY T -\r\n"
            await ends.home.send_all(opened)
            assert await _receive(ends.caller, len(opened)) == opened
            await ends.ask(b"QUERY q3 WRITE a b\r\n")
            await ends.home.send_all(opened)
            assert await _receive(ends.caller, len(opened)) == opened
            await ends.ask(b"QUERY q4 COMMIT\r\n")
            await ends.home.send_all(DONE)
            assert await _receive(ends.caller, len(DONE)) == DONE
            counts = throttle._throttler.counts(trio.current_time(), "w")
            # The first operation and the transaction.
            assert counts.accepts == 2
            ends.session.cancel()


# Guards against: processor time of the entry spent twice on each statement.
async def test_a_forwarded_statement_is_parsed_once(monkeypatch):
    parsed = []

    def parse(message):
        parsed.append(message)
        return parse_query(message)

    monkeypatch.setattr(_throttle_module, "parse_query", parse)
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            ends = await _throttled(nursery, _idle_throttle())
            assert parsed == [b"QUERY q1 READ a"]
            await ends.ask(b"QUERY q2 READ a\r\n")
            await ends.home.send_all(DONE)
            assert await _receive(ends.caller, len(DONE)) == DONE
            assert parsed == [b"QUERY q1 READ a", b"QUERY q2 READ a"]
            ends.session.cancel()


# Guards against: a drain that waits for a session whose operations are all
# refused here, or that cuts off such a refusal.
async def test_a_draining_session_ends_behind_a_refusal():
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            ends = await _throttled(nursery, _throttle())
            await ends.caller.send_all(b"QUERY q2 READ a\r\n")
            ends.session._ends_when_idle = True
            assert await _receive(ends.caller, len(REFUSED)) == REFUSED
            assert await ends.home.receive_some(100) == b""
    assert ends.failure is None


# Guards against: a statement without any answer because its session was ended,
# for example as idle, when the statement had just been read.
async def test_a_statement_read_while_its_session_ends_is_answered():
    class _Gate:
        def __init__(self, session):
            self.session = session

        def refuse(self, message):
            self.session.cancel()
            return Failure(ErrorCode.BUSY, "over its rate")

        def record(self, message, state, error):
            pass

    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            ends = await _ends()
            ends.session.set_gate(_Gate(ends.session))
            await nursery.start(ends.run)
            assert await _receive(ends.caller, len(GREETING)) == GREETING
            await ends.caller.send_all(b"QUERY q1 READ a\r\n")
            assert await ends.home.receive_some(100) == b""
    assert ends.failure.code is ErrorCode.ABORTED


def test_nothing_is_throttled_without_overload_control():
    for is_on in (False, True):
        features = Features(overload_control=is_on)
        fleet = Fleet("i1", "a", Metrics(), features)
        entry = EntrySessions(fleet, Metrics(), None)
        assert (entry._throttle is not None) is is_on
        if not is_on:
            # Without a router: no homes are determined for it either.
            assert entry._throttle_refusal("w", "d", None) is None


# Guards against: a wait for a token of a holder that has just reported that it
# has none, which ends in a refusal.
def test_a_request_waits_only_for_a_token_that_can_arrive():
    limit = WorkspaceLimit.from_config(rate=16, burst=2, holders=("a", "b"))
    for skips in (False, True):
        settings = LimitSettings(max_wait=0.04, skips_empty_holders=skips)
        limiter = Limiter("a", "a1", settings)
        limiter.apply(0.0, 1, {"w": limit})
        limiter.request(20.0, "w", 1, fresh=True)
        limiter._queues["w"].record_remaining(20.0, "b", 0)
        # As long as none has waited in vain, a request waits.
        assert limiter.request(20.03, "w", 2, fresh=True) == []
        limiter.tick(20.07, fresh=True)
        effects = limiter.request(20.07, "w", 3, fresh=True)
        assert [type(e) for e in effects] == ([Refuse] if skips else [])


CONTRACTS = ["base", "pressure"]


# Guards against: refusals at the entry that change a session's state or that
# go on when the home whose refusals they rest on has been lost.
async def test_an_entry_throttles_and_recovers_after_its_home_is_lost(tmp_path):
    cfg = _config_with_few_connections()
    cfg["tenants"][0].update(rate_per_s=6, burst=6)
    async with proxy_fleet(
        tmp_path,
        4,
        cfg,
        MAX_CONNECTIONS,
        settings={"contracts": CONTRACTS},
    ) as fleet:
        home = _home_of("w1", fleet, cfg)
        entry = next(n for n in fleet.processes if n != home)
        caller = await fleet.caller(instance=entry)
        # The shares of so small a rate hold no whole token at the start.
        with trio.fail_after(ANSWER_SECONDS):
            while (await caller.ask("q", "BEGIN"))[-1].startswith("READY I"):
                await trio.sleep(0.1)
        assert (await caller.ask("c", "COMMIT"))[-1].startswith("READY I")
        refused = 0
        for number in range(300):
            answer = await caller.ask(f"r{number}", "READ 1a4")
            assert answer[-1].startswith("READY I")
            refused += answer[0].startswith(OVER_RATE[:30].decode())
        assert refused > 200
        throttled = [
            e for e in fleet.log(entry) if e["event"] == "workspace throttled"
        ]
        assert throttled
        assert throttled[-1]["workspace"] == "w1"
        fleet.signal(home, signal.SIGKILL)
        await trio.sleep(2 * WINDOW_SECONDS)
        again = await fleet.caller(instance=entry)
        assert again.greeting[0].startswith("READY I")
        other = await fleet.caller(instance=entry, key="key-w2")
        answer = await other.ask("o1", "READ 1a4")
        assert answer[0].startswith("COMPLETE")
