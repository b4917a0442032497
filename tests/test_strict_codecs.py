"""Tests of the codecs of stand-ins and of tests, which are not the proxy's."""

import itertools
import random

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from lagoonstair.standins.statements._codec import (
    MAX_MESSAGE_BYTES,
    StrictError,
    parse_statement,
    split_query,
    split_start,
    take_messages,
)
from lagoonstair.standins.statements._database import cut_answer
from proxy_fleet import Caller
from soak import examples

FIELDS = st.text(st.characters(codec="latin-1"), min_size=1, max_size=6).filter(
    lambda text: "\r\n" not in f"{text}\n" and " " not in text
)


def test_a_message_of_the_greatest_size_may_be_split_before_its_lf():
    buffer = bytearray(b"x" * MAX_MESSAGE_BYTES + b"\r")
    assert take_messages(buffer) == []
    buffer += b"\n"
    assert take_messages(buffer) == [b"x" * MAX_MESSAGE_BYTES]


def test_a_longer_message_is_rejected_before_its_end():
    with pytest.raises(StrictError):
        take_messages(bytearray(b"x" * (MAX_MESSAGE_BYTES + 1)))


@given(st.lists(FIELDS, max_size=5), st.lists(st.integers(0, 60), max_size=3))
def test_messages_are_the_same_however_they_arrive(messages, places):
    stream = b"".join(text.encode("latin-1") + b"\r\n" for text in messages)
    bounds = [0, *sorted(min(p, len(stream)) for p in places), len(stream)]
    buffer, taken = bytearray(), []
    for start, end in itertools.pairwise(bounds):
        buffer += stream[start:end]
        taken += take_messages(buffer)
    assert [text.decode("latin-1") for text in taken] == messages
    assert not buffer


@pytest.mark.parametrize(
    "message",
    [
        b"",
        b"START",
        b"START g",
        b"START g ",
        b"START g t d1 x",
        b"QUERY 1 READ a",
    ],
)
def test_what_is_not_a_start_is_rejected(message):
    with pytest.raises(StrictError):
        split_start(message)


@pytest.mark.parametrize(
    "message", [b"", b"QUERY", b"QUERY 1", b"QUERY  READ a", b"WRITE a b c"]
)
def test_what_is_not_a_query_is_rejected(message):
    with pytest.raises(StrictError):
        split_query(message)


@pytest.mark.parametrize("position", ["", "3", "3.", ".4", "3.x", "-1.2"])
def test_a_prefix_without_a_position_is_rejected(position):
    with pytest.raises(StrictError):
        parse_statement(f"AFTER {position} READ a")


@given(st.integers(), st.lists(FIELDS, max_size=3))
def test_a_cut_answer_is_never_whole(seed, rows):
    texts = [*(f"ROW {row}" for row in rows), "COMPLETE d1.1", "READY I 1.1"]
    answer = b"".join(text.encode("latin-1") + b"\r\n" for text in texts)
    part = cut_answer(answer, random.Random(seed))
    assert answer.startswith(part)
    assert len(part) < len(answer)


def test_cuts_reach_each_kind_of_place():
    answer = b"ROW a\r\nCOMPLETE d1.1\r\nREADY I 1.1\r\n"
    rng = random.Random(1)
    parts = {cut_answer(answer, rng) for _ in range(examples(1000))}
    assert b"ROW a\r\nCOMPLETE d1.1\r\n" in parts
    assert {b"ROW a\r", answer[:-1], b"ROW a\r\nCOM", b""} <= parts


# Guards against a caller of the tests that ends a line at a lone LF, as the
# proxy once did, and so can't see that an answer is cut or joined.
async def test_a_caller_of_the_tests_ends_lines_at_cr_lf_alone():
    async def serve(stream):
        await stream.receive_some(100)
        await stream.send_all(b"READY I -\r\n")
        await stream.receive_some(100)
        await stream.send_all(b"ROW a\nREADY I -\r\xff\r")
        await stream.send_all(b"\nCOMPLETE d1.1\r\nREADY I -\r\n")

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        caller = await Caller.open(listeners[0].socket.getsockname()[1])
        answer = await caller.ask("1", "READ a")
        caller.close()
        nursery.cancel_scope.cancel()
    assert answer == [
        "ROW a\nREADY I -\r\xff",
        "COMPLETE d1.1",
        "READY I -",
    ]
