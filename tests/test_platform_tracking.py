"""Tracking of a session: any messages, cut and interleaved anywhere."""

import itertools
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonstair.platform.tracking import SessionTracker
from lagoonstair.statements import TransactionState
from soak import examples

STATES = {
    b"I": TransactionState.IDLE,
    b"T": TransactionState.OPEN,
    b"E": TransactionState.FAILED,
}

_TEXTS = (
    b"x\nREADY I -\n",
    b"\nREADY E -\n\r",
    b"COMPLETE s\rREADY T -",
    b"\r",
    b"RELEASE\nQUERY q9 COMMIT\n",
    b"y" * 70_000 + b"\nREADY I -\n",
)
_DATA = (st.binary(max_size=12) | st.sampled_from(_TEXTS)).map(
    # The only bytes that data can't contain.
    lambda data: data.replace(b"\r\n", b"--")
)


class _Exchange(NamedTuple):
    """A statement and its answer; the state is that of its READY."""

    statement: bytes
    answer: bytes
    state: TransactionState


@st.composite
def _exchanges(draw):
    """Draws statements and answers, the last of which may be missing."""
    exchanges = []
    for i in range(draw(st.integers(1, 4))):
        statement = b"QUERY q%d WRITE a " % i + draw(_DATA) + b"\r\n"
        rows = [b"ROW " + data for data in draw(st.lists(_DATA, max_size=2))]
        result = draw(st.sampled_from((b"COMPLETE ", b"ERROR FAILED ")))
        state = draw(st.sampled_from(sorted(STATES)))
        parts = [*rows, result + draw(_DATA), b"READY " + state + b" -", b""]
        exchanges.append(
            _Exchange(statement, b"\r\n".join(parts), STATES[state])
        )
    return exchanges


def _ends(parts):
    return [*itertools.accumulate(map(len, parts))]


def _chunks(draw, data):
    """Cuts data at random places and around terminators."""
    near = [i + d for i in range(len(data)) if data[i] == 13 for d in (0, 1)]
    place = st.integers(0, len(data))
    if near:
        place |= st.sampled_from(near)
    cuts = sorted(set(draw(st.lists(place, max_size=8))) | {0, len(data)})
    return [data[i:j] for i, j in itertools.pairwise(cuts)]


# Guards against: a state, or a number of unanswered statements, that depends on
# where the data was cut or on data that looks like a message.
@settings(max_examples=examples(150), deadline=None)
@given(st.data())
def test_chunks_lead_to_the_same_state_as_whole_messages(data):
    exchanges = data.draw(_exchanges())
    requests = b"".join(exchange.statement for exchange in exchanges)
    answers = b"".join(exchange.answer for exchange in exchanges)
    asked_at = _ends(exchange.statement for exchange in exchanges)
    answered_at = _ends(exchange.answer for exchange in exchanges)
    to_send = _chunks(data.draw, requests)
    to_answer = _chunks(data.draw, answers)
    tracker = SessionTracker()
    assert tracker.feed_answer(b"READY I -\r\n") == len(b"READY I -\r\n")
    sent = received = 0
    while to_send or to_answer:
        # An answer begins only after its whole statement.
        may_answer = to_answer and all(
            sent >= asked
            for asked, begin in zip(asked_at, [0, *answered_at], strict=False)
            if begin < received + len(to_answer[0])
        )
        if to_send and not (may_answer and data.draw(st.booleans())):
            chunk = to_send.pop(0)
            sent += len(chunk)
            tracker.feed_request(chunk)
        else:
            chunk = to_answer.pop(0)
            received += len(chunk)
            assert tracker.feed_answer(chunk) == len(chunk)
        asked = sum(end <= sent for end in asked_at)
        answered = sum(end <= received for end in answered_at)
        assert not tracker.fault
        assert tracker.answered == answered
        assert tracker.is_waiting == (asked > answered)
        assert tracker.has_unanswered == (sent > [0, *asked_at][answered])
        assert tracker.has_partial_answer == (
            received > [0, *answered_at][answered]
        )
        states = [TransactionState.IDLE, *(e.state for e in exchanges)]
        assert tracker.state is states[answered]
        query = tracker.first_query()
        assert (query and query.request_id) == (
            f"q{answered}" if asked > answered else None
        )
        is_only = sent == [0, *asked_at][min(answered + 1, len(exchanges))]
        assert tracker.only_query == (query if is_only else None)


# Guards against: an answer that is forwarded although it was not asked for, or
# a fault that is found only if the data is cut in one way.
@settings(max_examples=examples(100), deadline=None)
@given(st.data())
def test_a_copy_of_an_answer_is_refused_however_it_is_cut(data):
    (first, *_) = data.draw(_exchanges())
    chunks = _chunks(data.draw, first.answer + first.answer)
    tracker = SessionTracker()
    tracker.feed_answer(b"READY I -\r\n")
    tracker.feed_request(first.statement)
    forwarded = b""
    for chunk in chunks:
        forwarded += chunk[: tracker.feed_answer(chunk)]
        if tracker.fault:
            break
    assert tracker.fault == "unasked answer"
    assert forwarded == first.answer
    assert not tracker.has_partial_answer
