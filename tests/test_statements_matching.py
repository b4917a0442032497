"""Answers that a statement can't have led to: found, counted and explained."""

import io
import json

import pytest
import trio

from lagoonstair._types import Address, Position
from lagoonstair.cli._explain import explain_request, read_events
from lagoonstair.proxy._link import Link
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._supervisor import Supervisor
from lagoonstair.routing import Endpoint
from lagoonstair.statements import (
    AnswerMatcher,
    ErrorCode,
    Expected,
    Failure,
    Mismatch,
    Reply,
    Success,
    TransactionState,
)

HOST = "127.0.0.1"
IDLE, OPEN, FAILED = TransactionState

GREETING = Success(signature="")
UNSIGNED = Success()
SIGNED = Success(signature="d1.1")
STATUS = Success((b"ROW primary 1 1.0",))


@pytest.mark.parametrize(
    ("expected", "before", "result", "state", "mismatch"),
    [
        (Expected.GREETING, IDLE, GREETING, IDLE, None),
        (Expected.GREETING, IDLE, UNSIGNED, IDLE, Mismatch.GREETING),
        (Expected.SIGNED, IDLE, SIGNED, IDLE, None),
        (Expected.SIGNED, OPEN, SIGNED, OPEN, None),
        (Expected.SIGNED, IDLE, GREETING, IDLE, Mismatch.GREETING),
        (Expected.SIGNED, IDLE, UNSIGNED, IDLE, Mismatch.UNSIGNED),
        (Expected.SIGNED, OPEN, SIGNED, IDLE, Mismatch.STATE),
        (Expected.COMMITTED, OPEN, SIGNED, IDLE, None),
        (Expected.COMMITTED, OPEN, SIGNED, OPEN, Mismatch.STATE),
        (Expected.COMMITTED, OPEN, UNSIGNED, IDLE, Mismatch.UNSIGNED),
        (Expected.UNCHANGED, IDLE, UNSIGNED, IDLE, None),
        (Expected.UNCHANGED, OPEN, UNSIGNED, OPEN, None),
        (Expected.UNCHANGED, IDLE, STATUS, IDLE, None),
        (Expected.UNCHANGED, IDLE, SIGNED, IDLE, Mismatch.SIGNED),
        (Expected.UNCHANGED, IDLE, UNSIGNED, OPEN, Mismatch.STATE),
        (Expected.BEGUN, IDLE, UNSIGNED, OPEN, None),
        (Expected.BEGUN, IDLE, UNSIGNED, IDLE, Mismatch.STATE),
        (Expected.BEGUN, IDLE, STATUS, OPEN, Mismatch.ROWS),
        (Expected.ENDED, OPEN, UNSIGNED, IDLE, None),
        (Expected.ENDED, FAILED, UNSIGNED, IDLE, None),
        (Expected.ENDED, OPEN, UNSIGNED, OPEN, Mismatch.STATE),
        (Expected.SIGNED, OPEN, Failure(ErrorCode.BUSY, ""), FAILED, None),
    ],
)
def test_answers_are_matched_by_kind_and_state(
    expected, before, result, state, mismatch
):
    matcher = AnswerMatcher()
    assert matcher.check(expected, before, Reply(result, state, None)) is (
        mismatch
    )


@pytest.mark.parametrize(
    ("first", "second", "is_certain"),
    [
        (Position(3, 7), Position(3, 8), True),
        (Position(3, 7), Position(4, 1), True),
        (Position(3, 7), Position(3, 7), False),
        (Position(3, 8), Position(3, 7), False),
        (None, Position(3, 8), False),
        (Position(3, 7), None, False),
    ],
)
# Guards against a copy of a refusal that is taken for that of a later write.
def test_a_second_refusal_is_told_from_the_first_by_the_position(
    first, second, is_certain
):
    matcher = AnswerMatcher()
    failure = Failure(ErrorCode.BUSY, "d1")

    def check(position):
        return matcher.check(
            Expected.SIGNED, IDLE, Reply(failure, IDLE, position)
        )

    assert matcher.can_refuse(first)
    assert check(first) is None
    assert matcher.can_refuse(second) is is_certain
    assert check(second) is (None if is_certain else Mismatch.DOUBTFUL)


def test_a_signature_answers_one_statement_only():
    matcher = AnswerMatcher()
    reply = Reply(SIGNED, IDLE, None)
    assert matcher.check(Expected.SIGNED, IDLE, reply) is None
    for expected in (Expected.SIGNED, Expected.COMMITTED, Expected.UNCHANGED):
        assert matcher.check(expected, IDLE, reply) is Mismatch.REPEATED


OLDER, NEWER = Position(3, 7), Position(3, 8)


# Guards against the copy of a BEGIN's answer that hides the refusal of another.
@pytest.mark.parametrize(
    ("first", "second", "mismatch"),
    [
        (OLDER, NEWER, None),
        (OLDER, OLDER, Mismatch.DOUBTFUL),
        (NEWER, OLDER, Mismatch.DOUBTFUL),
        (None, NEWER, Mismatch.DOUBTFUL),
        (OLDER, None, Mismatch.DOUBTFUL),
    ],
)
def test_a_second_begin_is_told_from_the_first_by_the_position(
    first, second, mismatch
):
    matcher = AnswerMatcher()

    def check(expected, before, result, state, position):
        return matcher.check(expected, before, Reply(result, state, position))

    assert check(Expected.BEGUN, IDLE, UNSIGNED, OPEN, first) is None
    assert check(Expected.COMMITTED, OPEN, SIGNED, IDLE, NEWER) is None
    assert matcher.can_begin(second) is (mismatch is None)
    assert check(Expected.BEGUN, IDLE, UNSIGNED, OPEN, second) is mismatch


async def _serve_copies(stream):
    """Greets, and answers each statement twice at once."""
    await stream.receive_some(1000)
    await stream.send_all(b"READY I 1.0\r\n")
    for number in range(3):
        if not await stream.receive_some(1000):
            return
        answer = f"COMPLETE s{number}\r\nREADY I 1.0\r\n".encode()
        await stream.send_all(answer * 2)


# Guards against answers that nobody asked for and that nothing shows.
async def test_an_unexpected_answer_is_counted():
    metrics = Metrics()
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, _serve_copies, 0)
        port = listeners[0].socket.getsockname()[1]
        endpoint = Endpoint(
            name="d1",
            group="g",
            address=Address(HOST, port),
            failure_domain="a",
            slots=1,
            leaving=False,
            says_primary=True,
            started=1,
        )
        link = await Link.open(endpoint, "w1", Supervisor(metrics))
        replies = [await link.run(name, "READ a") for name in ("q1", "q2")]
        assert [r.result.signature for r in replies] == ["s0", "s1"]
        assert link.reuse_obstacle == "out of step"
        nursery.cancel_scope.cancel()
    page = metrics.render()
    sample = 'answers_unexpected_total{endpoint="d1",reason="repeated"} 1'
    assert sample in page


def test_a_request_that_met_an_unexpected_answer_is_explained():
    event = {
        "time": 1.0,
        "event": "answer unexpected",
        "instance": "i1",
        "request": "q2",
        "endpoint": "d1",
        "cause": "repeated",
    }
    log = io.StringIO(json.dumps(event) + "\n")
    explanation = explain_request("q2", read_events([log]))
    assert "d1 sent an answer" in explanation.cause
    assert "(repeated)" in explanation.cause
