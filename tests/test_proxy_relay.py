"""A session that another instance runs, between two socket pairs."""

import trio
import trio.testing

from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._relay import HomeLostError, RelayedSession
from lagoonstair.proxy._relays import (
    HOME_SEARCH_PAUSE_SECONDS,
    REFUSED_HOME_SKIP_SECONDS,
    HomeRouter,
)
from lagoonstair.statements import ErrorCode, TransactionState

GREETING = b"READY I -\r\n"
SECONDS = 5


async def _pair():
    return [trio.SocketStream(sock) for sock in trio.socket.socketpair()]


class _Ends:
    """The caller's and the home's end of a relayed session."""

    def __init__(self, caller, home, session):
        self.caller = caller
        self.home = home
        self.session = session
        self.failure = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        task_status.started()
        self.failure = await self.session.run(b"")

    async def ask(self, text):
        await self.caller.send_all(text)
        got = b""
        while got != text:
            got += await self.home.receive_some(100)


async def _ends(greeting=GREETING):
    (caller, ours), (home, theirs) = await _pair(), await _pair()
    return _Ends(caller, home, RelayedSession(ours, theirs, greeting))


async def _lose_home(asked, answered=b"", greeting=GREETING):
    """What a caller is told when the home closes after a part of an answer."""
    ends = await _ends(greeting)
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            await ends.caller.receive_some(100)
            await ends.ask(asked)
            if answered:
                await ends.home.send_all(answered)
                await ends.caller.receive_some(100)
            await ends.home.aclose()
    return ends.failure


async def test_a_read_whose_home_was_lost_may_be_asked_for_again():
    failure = await _lose_home(b"QUERY q1 READ 1a4\r\n")
    assert failure.code is ErrorCode.ABORTED


async def test_a_write_whose_home_was_lost_is_in_doubt():
    failure = await _lose_home(b"QUERY q1 WRITE 1a4 x\r\n")
    assert failure.code is ErrorCode.IN_DOUBT


async def test_an_open_transaction_whose_home_was_lost_keeps_nothing():
    in_transaction = b"READY T -\r\n"
    failure = await _lose_home(
        b"QUERY q1 WRITE 1a4 x\r\n", greeting=in_transaction
    )
    assert failure.code is ErrorCode.ABORTED
    failure = await _lose_home(b"QUERY q1 COMMIT\r\n", greeting=in_transaction)
    assert failure.code is ErrorCode.IN_DOUBT


async def test_of_several_statements_any_may_have_run():
    failure = await _lose_home(
        b"QUERY q1 COMMIT\r\nQUERY q2 BEGIN\r\n", greeting=b"READY T -\r\n"
    )
    assert failure.code is ErrorCode.IN_DOUBT
    failure = await _lose_home(b"QUERY q1 READ 1a")
    assert failure.code is ErrorCode.IN_DOUBT


async def test_nothing_is_said_after_a_part_of_an_answer():
    failure = await _lose_home(b"QUERY q1 READ 1a4\r\n", b"ROW ab")
    assert failure is None


async def test_a_question_right_after_an_answer_is_still_open():
    """The caller asks again before its answer's send has returned."""
    ends = await _ends()
    asked = b"QUERY q2 READ 1a4\r\n"
    send_all = ends.session._caller.send_all

    async def send_and_be_asked(data):
        await send_all(data)
        if data != GREETING:
            await ends.ask(asked)

    ends.session._caller.send_all = send_and_be_asked
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            await ends.ask(b"QUERY q1 READ 1a4\r\n")
            await ends.home.send_all(b"ROW a\r\nCOMPLETE s\r\n" + GREETING)
            await trio.testing.wait_all_tasks_blocked()
            assert ends.session.outstanding == asked
            await ends.home.aclose()
    assert ends.failure.code is ErrorCode.ABORTED


async def test_a_session_without_an_open_question_ends_silently():
    ends = await _ends()
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            await ends.ask(b"QUERY q1 READ 1a4\r\n")
            await ends.home.send_all(b"ROW a\r\nCOMPLETE s\r\n" + GREETING)
            await trio.testing.wait_all_tasks_blocked()
            assert ends.session.is_idle
            assert ends.session.state is TransactionState.IDLE
            ends.session.cancel()
    assert ends.failure is None


async def test_the_time_a_caller_waits_counts_from_its_question():
    ends = await _ends()
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            assert ends.session.waiting_seconds(trio.current_time()) == 0
            await ends.ask(b"QUERY q1 READ 1a4\r\n")
            began = trio.current_time()
            assert ends.session.waiting_seconds(began + 1) >= 1
            ends.session.cancel()
    assert ends.failure.code is ErrorCode.ABORTED


class _Homes:
    """Homes that come up one after the other, and who is asked meanwhile."""

    is_direct = False

    def __init__(self, line):
        self._line = line

    def candidates_from(self, workspace, name):
        return self._line


class _Fleet:
    name = "entry"
    config = None

    def __init__(self, line):
        self.homes = _Homes(line)


def _relays(monkeypatch, up, line=("h1", "h2")):
    """Relays whose homes open a session from a time on, by name."""

    async def open_session(caller, address, start):
        if trio.current_time() < up.get(address, 0.0):
            raise HomeLostError("refused", is_refused=True)
        return address

    async def reaches(name):
        return True

    monkeypatch.setattr(RelayedSession, "open", open_session)
    return HomeRouter(_Fleet(line), Metrics(), lambda name: name, reaches)


async def test_load_pattern_callers_return_before_their_homes(
    monkeypatch, autojump_clock
):
    """All instances restart; the entry is up some time before the homes."""
    began = trio.current_time()
    relays = _relays(monkeypatch, {"h1": began + 0.5, "h2": began + 0.8})
    assert await relays.open_session("w", None, b"") == ("h1", "h1")
    # A home that did not run is tried again soon.
    waited = trio.current_time() - began
    assert waited <= 0.5 + REFUSED_HOME_SKIP_SECONDS + HOME_SEARCH_PAUSE_SECONDS


async def test_a_caller_without_a_home_is_refused_while_it_still_waits(
    monkeypatch, autojump_clock
):
    never = trio.current_time() + 1e6
    relays = _relays(monkeypatch, {"h1": never, "h2": never})
    began = trio.current_time()
    assert await relays.open_session("w", None, b"") is None
    assert trio.current_time() - began < 2.0


async def test_the_next_home_in_line_is_taken_at_once(
    monkeypatch, autojump_clock
):
    began = trio.current_time()
    relays = _relays(monkeypatch, {"h1": began + 0.5})
    assert await relays.open_session("w", None, b"") == ("h2", "h2")
    assert trio.current_time() == began
