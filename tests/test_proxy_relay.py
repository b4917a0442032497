"""A session that another instance runs, between two socket pairs."""

import trio
import trio.testing

from lagoonstair.proxy._relay import RelayedSession
from lagoonstair.statements import Code, State

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
    assert failure.code is Code.ABORTED


async def test_a_write_whose_home_was_lost_is_in_doubt():
    failure = await _lose_home(b"QUERY q1 WRITE 1a4 x\r\n")
    assert failure.code is Code.IN_DOUBT


async def test_an_open_transaction_whose_home_was_lost_keeps_nothing():
    in_transaction = b"READY T -\r\n"
    failure = await _lose_home(
        b"QUERY q1 WRITE 1a4 x\r\n", greeting=in_transaction
    )
    assert failure.code is Code.ABORTED
    failure = await _lose_home(b"QUERY q1 COMMIT\r\n", greeting=in_transaction)
    assert failure.code is Code.IN_DOUBT


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
    assert ends.failure.code is Code.ABORTED


async def test_a_session_without_an_open_question_ends_silently():
    ends = await _ends()
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            await ends.ask(b"QUERY q1 READ 1a4\r\n")
            await ends.home.send_all(b"ROW a\r\nCOMPLETE s\r\n" + GREETING)
            await trio.testing.wait_all_tasks_blocked()
            assert ends.session.is_idle
            assert ends.session.state is State.IDLE
            ends.session.cancel()
    assert ends.failure is None


async def test_the_time_a_caller_waits_counts_from_its_question():
    ends = await _ends()
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(ends.run)
            assert ends.session.waits_for(trio.current_time()) == 0
            await ends.ask(b"QUERY q1 READ 1a4\r\n")
            began = trio.current_time()
            assert ends.session.waits_for(began + 1) >= 1
            ends.session.cancel()
    assert ends.failure.code is Code.ABORTED
