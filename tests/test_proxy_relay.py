"""Tests of relayed sessions between two socket pairs, and of home routing."""

import pytest
import trio
import trio.testing
from loguru import logger

from lagoonstair.features import Features
from lagoonstair.platform import lines
from lagoonstair.platform.lines import MAX_LINE_BYTES
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._relay import READ_BYTES, HomeLostError, RelayedSession
from lagoonstair.proxy._relays import (
    HOME_SEARCH_PAUSE_SECONDS,
    LOST_HOME_SKIP_SECONDS,
    REFUSED_HOME_SKIP_SECONDS,
    HomeRouter,
)
from lagoonstair.statements import ErrorCode, Read, TransactionState

GREETING = b"READY I -\r\n"
REFUSED = "home answer refused"
TIMEOUT_SECONDS = 5
"""Time limit of a test, in seconds."""


async def _pair():
    return [trio.SocketStream(sock) for sock in trio.socket.socketpair()]


class _Ends:
    """The caller's and the home's ends of a relayed session."""

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
        received = b""
        while received != text:
            received += await self.home.receive_some(100)


async def _ends(greeting=GREETING):
    (caller, relay_caller_side), (home, relay_home_side) = (
        await _pair(),
        await _pair(),
    )
    return _Ends(
        caller,
        home,
        RelayedSession(relay_caller_side, relay_home_side, greeting),
    )


async def _lose_home(statement, partial_answer=b"", greeting=GREETING):
    """Returns the failure when the home closes after a part of an answer."""
    ends = await _ends(greeting)
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            await ends.caller.receive_some(100)
            await ends.ask(statement)
            if partial_answer:
                await ends.home.send_all(partial_answer)
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
    """A statement may arrive before the send of the last answer returns.

    It must not be marked as answered by that answer.
    """
    ends = await _ends()
    statement = b"QUERY q2 READ 1a4\r\n"
    send_all = ends.session._caller.send_all

    async def send_and_be_asked(data):
        await send_all(data)
        if data != GREETING:
            await ends.ask(statement)

    ends.session._caller.send_all = send_and_be_asked
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            await ends.ask(b"QUERY q1 READ 1a4\r\n")
            await ends.home.send_all(b"ROW a\r\nCOMPLETE s\r\n" + GREETING)
            await trio.testing.wait_all_tasks_blocked()
            assert ends.session.has_outstanding
            assert ends.session.outstanding_query() == lines.Query(
                "q2", Read("READ 1a4")
            )
            await ends.home.aclose()
    assert ends.failure.code is ErrorCode.ABORTED


async def test_a_session_without_an_open_question_ends_silently():
    ends = await _ends()
    with trio.fail_after(TIMEOUT_SECONDS):
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
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            assert ends.session.waiting_seconds(trio.current_time()) == 0
            await ends.ask(b"QUERY q1 READ 1a4\r\n")
            started_at = trio.current_time()
            assert ends.session.waiting_seconds(started_at + 1) >= 1
            ends.session.cancel()
    assert ends.failure.code is ErrorCode.ABORTED


# Guards against: a silent home that is not noticed while its caller sends on.
async def test_a_later_statement_does_not_begin_the_wait_anew():
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            ends = await _running(nursery)
            await ends.ask(b"QUERY q1 READ 1a4\r\n")
            waiting_since = ends.session.waiting_since
            await ends.ask(b"QUERY q2 READ 1a4\r\n")
            assert ends.session.waiting_since == waiting_since
            ends.session.cancel()


class _Homes:
    """A fixed list of candidate homes."""

    is_direct = False

    def __init__(self, candidates):
        self._candidates = candidates

    def candidates_from(self, workspace, name):
        return self._candidates


class _Fleet:
    name = "entry"
    config = None
    features = Features()

    def __init__(self, candidates):
        self.homes = _Homes(candidates)


class _Session:
    """A session that a home has opened."""

    def __init__(self, home, greeting):
        self.home = home
        self.greeting = greeting

    def close(self):
        self.home = None


async def _open(router, is_authorized=lambda: True):
    """Returns the name of the home that opens a session."""
    found = await router.open_session("w", None, b"", is_authorized)
    if found is None:
        return None
    name, session = found
    assert session.home == name
    return name


def _router(monkeypatch, up, candidates=("h1", "h2"), greetings=None):
    """Returns a router whose homes open sessions from the given times on.

    Args:
        monkeypatch: Replaces the opening of sessions.
        up: When each home starts to open sessions; now by default.
        candidates: The homes, in order.
        greetings: Returns a home's present greeting, by home.
    """
    greetings = greetings or {}

    async def open_session(caller, address, start):
        if trio.current_time() < up.get(address, 0.0):
            raise HomeLostError("refused", is_refused=True)
        return _Session(address, greetings.get(address, lambda: GREETING)())

    async def reaches(name):
        return True

    monkeypatch.setattr(RelayedSession, "open", open_session)
    return HomeRouter(_Fleet(candidates), Metrics(), lambda name: name, reaches)


async def test_load_pattern_callers_return_before_their_homes(
    monkeypatch, autojump_clock
):
    """All instances restart; the entry instance is up before the homes."""
    started_at = trio.current_time()
    router = _router(
        monkeypatch, {"h1": started_at + 0.5, "h2": started_at + 0.8}
    )
    assert await _open(router) == "h1"
    # A home that refused the connection is tried again soon.
    waited = trio.current_time() - started_at
    assert waited <= 0.5 + REFUSED_HOME_SKIP_SECONDS + HOME_SEARCH_PAUSE_SECONDS


async def test_a_caller_without_a_home_is_refused_while_it_still_waits(
    monkeypatch, autojump_clock
):
    never = trio.current_time() + 1e6
    router = _router(monkeypatch, {"h1": never, "h2": never})
    started_at = trio.current_time()
    assert await _open(router) is None
    assert trio.current_time() - started_at < 2.0


async def test_the_next_home_in_line_is_taken_at_once(
    monkeypatch, autojump_clock
):
    started_at = trio.current_time()
    router = _router(monkeypatch, {"h1": started_at + 0.5})
    assert await _open(router) == "h2"
    assert trio.current_time() == started_at


NO_DATABASE = b"ERROR NODB no route has this name\r\n"


async def test_a_home_that_was_cut_off_refuses_no_new_route(
    monkeypatch, autojump_clock
):
    """A home is back in reach before it has heard of the newest routes."""
    knows_at = trio.current_time() + 0.3

    def greet():
        return GREETING if trio.current_time() >= knows_at else NO_DATABASE

    router = _router(monkeypatch, {}, greetings={"h1": greet})
    assert await _open(router) == "h2"
    assert trio.current_time() < knows_at
    alone = _router(monkeypatch, {}, ("h1",), greetings={"h1": greet})
    assert await _open(alone) == "h1"
    assert trio.current_time() >= knows_at


async def test_a_home_that_knows_of_a_removed_route_first_is_right(
    monkeypatch, autojump_clock
):
    knows_at = trio.current_time() + 0.3
    router = _router(
        monkeypatch,
        {},
        greetings=dict.fromkeys(("h1", "h2"), lambda: NO_DATABASE),
    )
    found = await _open(router, lambda: trio.current_time() < knows_at)
    assert found is None
    assert trio.current_time() < knows_at + 2 * HOME_SEARCH_PAUSE_SECONDS


async def test_a_busy_session_is_ended_after_its_answer():
    """Its key is withdrawn while its home is cut off from the store."""
    ends = await _ends()
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            await ends.caller.receive_some(100)
            await ends.ask(b"QUERY q1 READ 1a4\r\n")
            ends.session.cancel_when_idle()
            answer = b"ROW a\r\nCOMPLETE s\r\n" + GREETING
            await ends.home.send_all(answer)
            assert await ends.caller.receive_some(100) == answer
    assert ends.failure is None


READ_AND_COMMIT = b"QUERY q1 READ 1a4\r\nQUERY q2 COMMIT\r\n"
ANSWER = b"ROW a\r\nCOMPLETE s\r\nREADY T -\r\n"


async def _receive(stream, size):
    received = b""
    while len(received) < size:
        received += await stream.receive_some(size - len(received))
    return received


async def _running(nursery, greeting=GREETING):
    """Returns a session that runs and has forwarded its greeting."""
    ends = await _ends(greeting)
    await nursery.start(ends.run)
    assert await _receive(ends.caller, len(greeting)) == greeting
    return ends


# Guards against: a session that is closed as idle while a statement runs,
# because data of a row was read as the end of the answer.
@pytest.mark.parametrize(
    "row",
    [
        b"ROW x\nREADY I -\n",
        b"ROW x\n\rREADY I -\n\r\r",
        b"ROW x\nREADY I -" + b"\n" * 9,
        # The last 64 KiB begin with the word.
        b"ROW x" + b"READY I -".ljust(64 * 1024 - 1, b"x") + b"\n",
    ],
    ids=["lf", "cr", "lfs", "64-kib"],
)
async def test_data_that_looks_like_the_end_of_an_answer_ends_none(row):
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            ends = await _running(nursery)
            await ends.ask(b"QUERY q1 WRITE 1a4 x\r\n")
            await ends.home.send_all(row)
            assert await _receive(ends.caller, len(row)) == row
            assert not ends.session.is_idle
            assert ends.session.outstanding_query().request_id == "q1"
            rest = b"\r\nCOMPLETE s\r\n" + GREETING
            await ends.home.send_all(rest)
            assert await _receive(ends.caller, len(rest)) == rest
            await trio.testing.wait_all_tasks_blocked()
            assert ends.session.is_idle
            ends.session.cancel()
    assert ends.failure is None


# Guards against: a statement with an LF in its data that counts as several.
async def test_a_statement_that_holds_an_lf_is_one_statement():
    failure = await _lose_home(
        b"QUERY q1 WRITE 1a4 x\ny\r\n", b"", b"READY T -\r\n"
    )
    assert failure.code is ErrorCode.ABORTED


# Guards against: a session that is closed as idle while the second of two
# statements runs, because the first answer ended both.
async def test_an_answer_ends_one_of_several_statements():
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            ends = await _running(nursery)
            await ends.ask(
                b"QUERY q1 READ 1a4\r\nQUERY q2 WRITE 1a4 x\r\n"
                b"QUERY q3 READ 1a4\r\n"
            )
            asked_at = ends.session.waiting_since
            answer = b"ROW a\r\nCOMPLETE s\r\n" + GREETING
            await ends.home.send_all(answer)
            assert await _receive(ends.caller, len(answer)) == answer
            await trio.testing.wait_all_tasks_blocked()
            # The home has begun the second statement just now.
            assert ends.session.waiting_since > asked_at
            assert not ends.session.is_idle
            assert ends.session.waiting_seconds(trio.current_time() + 1) >= 1
            await ends.home.send_all(answer + answer)
            assert await _receive(ends.caller, 2 * len(answer)) == 2 * answer
            await trio.testing.wait_all_tasks_blocked()
            assert ends.session.is_idle
            ends.session.cancel()
    assert ends.failure is None


# Guards against: a lost COMMIT whose caller gets no answer, or a promise made
# for the statement before it.
async def test_the_failure_is_that_of_the_first_unanswered_statement():
    failure = await _lose_home(READ_AND_COMMIT, ANSWER)
    assert failure.code is ErrorCode.IN_DOUBT
    failure = await _lose_home(READ_AND_COMMIT)
    assert failure.code is ErrorCode.IN_DOUBT
    failure = await _lose_home(
        b"QUERY q1 WRITE 1a4 x\r\nQUERY q2 WRITE 1a4 y\r\n", ANSWER
    )
    assert failure.code is ErrorCode.ABORTED


# Guards against: an ERROR behind a part of an answer, when the home is lost
# within a row, behind COMPLETE or between CR and LF.
@pytest.mark.parametrize("cut", range(1, len(ANSWER)))
async def test_nothing_follows_an_answer_that_was_cut_anywhere(cut):
    failure = await _lose_home(READ_AND_COMMIT, ANSWER[:cut])
    assert failure is None


class _SlowCaller:
    """A caller's stream that accepts a part of an answer, then waits."""

    def __init__(self, stream):
        self._stream = stream
        self.may_continue = trio.Event()
        self.is_blocked = trio.Event()

    async def send_all(self, data):
        if data == GREETING:
            await self._stream.send_all(data)
            return
        await self._stream.send_all(data[:4])
        self.is_blocked.set()
        await self.may_continue.wait()
        await self._stream.send_all(data[4:])

    def __getattr__(self, name):
        return getattr(self._stream, name)


async def _blocked(nursery, statements, answer):
    """Returns a session that has sent the first bytes of an answer."""
    ends = await _ends()
    slow = ends.session._caller = _SlowCaller(ends.session._caller)
    await nursery.start(ends.run)
    await _receive(ends.caller, len(GREETING))
    await ends.ask(statements)
    await ends.home.send_all(answer)
    await slow.is_blocked.wait()
    return ends, slow


# Guards against: a failure behind a part of an answer that a slow caller had
# not received when its session was ended.
async def test_nothing_follows_an_answer_that_was_not_sent_whole():
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            ends, _ = await _blocked(nursery, READ_AND_COMMIT, ANSWER)
            ends.session.cut()
    assert ends.failure is None
    assert ends.session.is_answer_cut
    assert ends.session.cut_query().request_id == "q1"


# Guards against: an answer that is cut off because its session counted as idle
# while a slow caller had not received it.
@pytest.mark.parametrize("end", ["cancel_when_idle", "cancel_when_answered"])
async def test_a_session_is_not_idle_while_its_answer_is_sent(end):
    answer = b"ROW a\r\nCOMPLETE s\r\n" + GREETING
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            ends, slow = await _blocked(
                nursery, b"QUERY q1 READ 1a4\r\n", answer
            )
            assert not ends.session.is_idle
            getattr(ends.session, end)()
            slow.may_continue.set()
            assert await _receive(ends.caller, len(answer)) == answer
    assert ends.failure is None


class _Listener:
    """A home that sends parts of a greeting, each when told to."""

    def __init__(self, parts):
        self._parts = parts
        self.address = None

    async def serve(self, *, task_status=trio.TASK_STATUS_IGNORED):
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = listener.socket.getsockname()[:2]
        async with listener:
            task_status.started()
            async with await listener.accept() as stream:
                for part in self._parts:
                    await stream.send_all(part)
                    await trio.testing.wait_all_tasks_blocked(0.01)
                await stream.receive_some(100)


async def _open_at(parts):
    """Returns a router's session at a home that greets in parts."""
    home = _Listener(parts)
    metrics = Metrics()
    async with trio.open_nursery() as nursery:
        await nursery.start(home.serve)
        router = HomeRouter(
            _Fleet(["h1"]), metrics, lambda name: home.address, None
        )
        caller, _ = await _pair()
        session = await router._open("h1", caller, b"START d k\r\n")
        if session is not None:
            session.close()
        nursery.cancel_scope.cancel()
    return session, metrics.render()


# Guards against: a home's refusal that is passed on to an authorized caller,
# because its first bytes alone were judged.
@pytest.mark.parametrize("cut", range(1, len(NO_DATABASE)))
async def test_a_refusal_is_judged_when_its_line_is_whole(cut):
    session, metrics = await _open_at([NO_DATABASE[:cut], NO_DATABASE[cut:]])
    assert session is None
    assert "homes_outdated_total 1" in metrics


async def test_a_greeting_in_parts_opens_a_session():
    session, _ = await _open_at([b"REA", b"DY I -\r", b"\n"])
    assert session.greeting == GREETING


# Guards against: a session that is opened at a home without a whole or valid
# greeting, although another home could be tried.
@pytest.mark.parametrize(
    "parts",
    [[b"READY I -\r"], [b"REA", b""], [b"ROW x\r\n"], [b"READY Q -\r\n"]],
)
async def test_a_home_without_a_valid_greeting_opens_no_session(parts):
    session, metrics = await _open_at(parts)
    assert session is None
    assert "homes_lost_total 1" in metrics


async def _relay(asked, answer, received, *, closes=False, features=None):
    """Relays a session whose home sends invalid data, or closes behind it.

    Returns:
        The failure, the metrics and the events logged, after the caller has
        received the given bytes and nothing else.
    """
    ends = await _ends()
    metrics = Metrics()
    fleet = _Fleet(["h1", "h2"])
    fleet.features = features or fleet.features
    router = HomeRouter(fleet, metrics, lambda name: None, None)
    events = []
    sink = logger.add(
        lambda message: events.append(
            (message.record["message"], message.record["extra"])
        )
    )
    failure = None

    async def run():
        nonlocal failure
        failure = await router.relay(ends.session, "h1", "d", b"")
        await ends.session._caller.aclose()

    try:
        with trio.fail_after(TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run)
                await _receive(ends.caller, len(GREETING))
                if asked:
                    await ends.ask(asked)
                await ends.home.send_all(answer)
                if closes:
                    await ends.home.aclose()
                got = b"".join([chunk async for chunk in ends.caller])
    finally:
        logger.remove(sink)
    assert got == received
    return failure, metrics.render(), events


# Guards against: a home that is avoided for seconds by everyone, because it
# closed an idle session just when a statement arrived.
@pytest.mark.parametrize(
    ("features", "seconds"),
    [
        (Features(), LOST_HOME_SKIP_SECONDS),
        (Features(overload_control=True), REFUSED_HOME_SKIP_SECONDS),
    ],
)
async def test_a_home_that_breaks_off_is_skipped(
    monkeypatch, features, seconds
):
    skipped = []
    monkeypatch.setattr(
        HomeRouter,
        "mark_lost",
        lambda self, name, cause, seconds: skipped.append((name, seconds)),
    )
    await _relay(READ, b"", b"", closes=True, features=features)
    assert skipped == [("h1", seconds)]


WRITE = b"QUERY q1 WRITE 1a4 x\r\n"
READ = b"QUERY q1 READ 1a4\r\n"
READ_ANSWER = b"ROW a\r\nCOMPLETE s\r\n" + GREETING


# Guards against: data of a home that no statement of the caller led to, or
# that is no answer, in the hands of the caller; and an ERROR behind a part.
@pytest.mark.parametrize(
    ("asked", "answer", "received", "code"),
    [
        (b"", READ_ANSWER, b"", None),
        (b"", b"RE", b"", None),
        (READ, READ_ANSWER + READ_ANSWER, READ_ANSWER, None),
        (READ, b"HELLO\r\n", b"", ErrorCode.ABORTED),
        (WRITE, b"HELLO\r\n", b"", ErrorCode.IN_DOUBT),
        (WRITE, GREETING, b"", ErrorCode.IN_DOUBT),
        (WRITE, b"COMPLETE s\r\nROW a\r\n", b"", ErrorCode.IN_DOUBT),
        (WRITE, b"COMPLETE s\r\nREADY Q -\r\n", b"", ErrorCode.IN_DOUBT),
        (WRITE, b"COMPLETE s\r\nREADY\r\n", b"", ErrorCode.IN_DOUBT),
        (
            READ + b"QUERY q2 WRITE 1a4 x\r\n",
            READ_ANSWER + b"ROW a\r\nHELLO\r\n",
            READ_ANSWER,
            ErrorCode.IN_DOUBT,
        ),
    ],
)
async def test_a_home_that_breaks_the_protocol_ends_the_session(
    asked, answer, received, code
):
    failure, metrics, events = await _relay(asked, answer, received)
    assert (failure and failure.code) == code
    assert "home_answers_refused_total{" in metrics
    (fields,) = [extra for event, extra in events if event == REFUSED]
    assert fields["peer"] == "h1"
    assert fields["cause"]
    statement = asked.removeprefix(READ) if received else asked
    assert (
        fields["request"] == (statement.split(b" ")[1:2] or [b""])[0].decode()
    )


# Guards against: a message without an end that fills the memory.
async def test_a_message_of_a_home_that_is_too_long_ends_the_session():
    """What was forwarded of it can be followed by nothing."""
    ends = await _ends()
    received = 0
    row = b"ROW " + b"x" * (2 * MAX_LINE_BYTES)

    async def send():
        with pytest.raises(trio.BrokenResourceError):
            await ends.home.send_all(row)

    async def run():
        await ends.run()
        await ends.session._caller.aclose()

    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await _receive(ends.caller, len(GREETING))
            await ends.ask(READ)
            nursery.start_soon(send)
            async for chunk in ends.caller:
                received += len(chunk)
    assert ends.failure is None
    assert received <= MAX_LINE_BYTES + 2
    assert ends.session.fault


# Guards against: a caller that sends on without an answer fills the memory.
async def test_a_caller_is_read_no_further_than_one_message_ahead():
    statement = WRITE.replace(b"x", b"x" * 10_000)
    ends = await _ends()
    forwarded = 0

    async def read_home():
        nonlocal forwarded
        async for chunk in ends.home:
            forwarded += len(chunk)

    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            nursery.start_soon(read_home)
            nursery.start_soon(ends.caller.send_all, statement * 1000)
            await trio.testing.wait_all_tasks_blocked(0.1)
            assert forwarded <= MAX_LINE_BYTES + 2 * READ_BYTES + 20_000
            before = forwarded
            await ends.home.send_all((b"COMPLETE s\r\n" + GREETING) * 50)
            await trio.testing.wait_all_tasks_blocked(0.1)
            assert forwarded > before + 400_000
            nursery.cancel_scope.cancel()


# Guards against: a home that is skipped because a caller released its session
# and waited for the end of the connection.
@pytest.mark.parametrize("release", [b"RELEASE\r\n", b"RELEASE \r\n"])
async def test_a_released_session_ends_without_a_failure(release):
    assert await _lose_home(release) is None


# Guards against: a home that counts as silent because a caller paused within
# its statement.
async def test_a_part_of_a_statement_waits_for_no_answer():
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            ends = await _running(nursery)
            await ends.ask(READ[:-1])
            assert ends.session.waiting_seconds(trio.current_time() + 9) == 0
            assert not ends.session.is_idle
            await ends.ask(READ[-1:])
            assert ends.session.waiting_seconds(trio.current_time() + 9) >= 9
            ends.session.cancel()
    assert ends.failure.code is ErrorCode.ABORTED


# Guards against: a request whose answer was cut off, and that no log names.
@pytest.mark.parametrize("cut", [1, len(ANSWER) - 1])
async def test_an_answer_that_is_cut_off_is_logged(cut):
    failure, metrics, events = await _relay(
        READ, ANSWER[:cut], ANSWER[:cut], closes=True
    )
    assert failure is None
    assert "home_answers_cut_total 1" in metrics
    (fields,) = [
        extra for event, extra in events if event == "home answer cut off"
    ]
    assert (fields["peer"], fields["request"]) == ("h1", "q1")


async def test_a_refusal_of_a_message_is_no_cut_answer():
    refusal = b"ERROR MALFORMED unknown message\r\n"
    failure, metrics, events = await _relay(
        b"HELLO\r\n", refusal, refusal, closes=True
    )
    assert failure is None
    assert not metrics.strip()
    assert not events
