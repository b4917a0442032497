"""The line protocol: parsing, split reads, malformed and oversized input."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonstair._types import Position
from lagoonstair.platform import lines
from lagoonstair.statements import (
    Begin,
    Commit,
    Deallocate,
    ErrorCode,
    Execute,
    Failure,
    Prepare,
    PreparedStatement,
    Read,
    Rollback,
    SetValue,
    Success,
    TransactionState,
    Write,
)
from soak import examples

REPLY = b"ROW qh zk\r\nROW second\r\nCOMPLETE 7.1f3\r\nREADY T 3.1207\r\n"


@pytest.mark.parametrize(
    ("text", "statement"),
    [
        ("READ 1a4", Read("READ 1a4")),
        ("WRITE 1a4 two words", Write("WRITE 1a4 two words")),
        ("BEGIN", Begin(read_only=False)),
        ("BEGIN READ", Begin(read_only=True)),
        ("COMMIT", Commit()),
        ("ROLLBACK", Rollback()),
        ("SET zone a b", SetValue("zone", "a b")),
        ("PREPARE s1 WRITE q2c", Prepare("s1", PreparedStatement(True, "q2c"))),
        ("PREPARE s1 READ q 2", Prepare("s1", PreparedStatement(False, "q 2"))),
        ("EXECUTE s1 1a4", Execute("s1", "1a4")),
        ("EXECUTE s1 1a4 x y", Execute("s1", "1a4 x y")),
        ("DEALLOC s1", Deallocate("s1")),
        ("", None),
        ("READ", None),
        ("READ a b", Read("READ a b")),
        ("READ  a", Read("READ  a")),
        ("READ ", None),
        ("DEALLOC s 1", Deallocate("s 1")),
        ("DEALLOC ", None),
        ("BEGIN READ x", None),
        ("COMMIT x", None),
        ("WRITE a", None),
        ("BEGIN WRITE", None),
        ("PREPARE s1 DANCE q", None),
        ("EXECUTE s1", None),
        ("AFTER 3.1 READ a", None),
        ("STATUS", None),
        ("DEMOTE 4", None),
    ],
)
def test_parse_statement(text, statement):
    assert lines.parse_statement(text) == statement


@pytest.mark.parametrize("cut", range(len(REPLY) + 1))
def test_a_reply_split_anywhere_is_returned_once_complete(cut):
    reader = lines.ReplyReader()
    reader.feed(REPLY[:cut])
    first = reader.next_reply()
    assert (first is None) == (cut < len(REPLY))
    reader.feed(REPLY[cut:])
    reply = first or reader.next_reply()
    assert reply.result == Success((b"ROW qh zk", b"ROW second"), "7.1f3")
    assert reply.state is TransactionState.OPEN
    assert reply.position == Position(3, 1207)


def test_two_replies_in_one_read_are_separated():
    reader = lines.ReplyReader()
    reader.feed(REPLY + b"ERROR LAGGING i-7\r\nREADY E 3.1209\r\n")
    assert isinstance(reader.next_reply().result, Success)
    reply = reader.next_reply()
    assert reply.result == Failure(ErrorCode.LAGGING, "i-7")
    assert reply.state is TransactionState.FAILED
    assert reader.next_reply() is None
    assert not reader.has_partial_reply


SIGNED = b"ROW qh zk\r\nCOMPLETE 7.1f3\r\nREADY I 3.1207\r\n"
REFUSED = b"ERROR BUSY i-7\r\nREADY I 3.1207\r\n"
UNSIGNED = b"COMPLETE -\r\nREADY I 3.1207\r\n"
ROW_BYTES = SIGNED.index(b"COMPLETE")
"""Length of the rows, which may be cut without any sign of it."""


# Guards against the start of a cut answer that becomes a part of the next one.
@pytest.mark.parametrize(
    "whole", [SIGNED, REFUSED, UNSIGNED, b"READY I 3.1\r\n"]
)
@pytest.mark.parametrize("answer", [SIGNED, REFUSED, UNSIGNED])
def test_a_cut_answer_is_not_completed_by_another_one(answer, whole):
    first = ROW_BYTES + 1 if answer is SIGNED else 1
    for cut in range(first, len(answer)):
        reader = lines.ReplyReader()
        reader.feed(answer[:cut] + whole)
        try:
            replies = list(iter(reader.next_reply, None))
        except lines.BadLineError:
            continue
        assert all(_is_true(reply, answer, whole) for reply in replies), cut


def _is_true(reply, answer, whole):
    """Returns whether a reply is one of the two, or promises nothing."""
    results = [_reply(data).result for data in (answer, whole)]
    match reply.result:
        case Failure(code):
            codes = [r.code for r in results if isinstance(r, Failure)]
            return code in (*codes, ErrorCode.FAILED)
        case Success():
            return reply.result in results


def _reply(data):
    reader = lines.ReplyReader()
    reader.feed(data)
    return reader.next_reply()


@pytest.mark.parametrize(
    "junk",
    [
        b"HELLO\r\n",
        b"\r\n",
        b"READY\r\n",
        b"READY X -\r\n",
        b"READY I 3\r\n",
        b"READY I a.b\r\n",
        b"COMPLETE s1\r\nROW a\r\n",
        b"COMPLETE s1\r\nCOMPLETE s1\r\n",
        b"COMPLETE s1\r\nERROR BUSY\r\n",
        b"ERROR FAILED\r\nCOMPLETE s1\r\n",
        b"ROW a\r\nREADY I -\r\n",
        b"COMPLETE \r\n",
        b"COMPLETE a b\r\n",
        b"COMPLETE s1\rROW a\r\n",
        b"COMPLETE s1\n\r\n",
        b"ERROR \r\n",
    ],
)
def test_a_malformed_reply_is_refused(junk):
    reader = lines.ReplyReader()
    reader.feed(junk)
    with pytest.raises(lines.BadLineError):
        reader.next_reply()


def test_a_line_over_the_limit_is_refused_before_it_is_complete():
    splitter = lines.LineSplitter()
    splitter.feed(b"x" * (lines.MAX_LINE_BYTES + 1))
    with pytest.raises(lines.BadLineError) as caught:
        splitter.next_line()
    assert caught.value.code is ErrorCode.TOO_LARGE


LINE_BYTES = st.text(
    st.sampled_from("\r\n\0 a\x85\xff") | st.characters(max_codepoint=255),
    max_size=40,
).map(lambda text: text.encode("latin-1"))
"""Lines in which a CR or an LF is frequent."""


@given(st.lists(LINE_BYTES, max_size=8), st.integers(1, 7))
@settings(max_examples=examples(100), deadline=None)
def test_lines_round_trip_for_any_chunk_size(texts, step):
    texts = [text for text in texts if b"\r\n" not in text]
    stream = b"".join(text + b"\r\n" for text in texts)
    splitter = lines.LineSplitter()
    found = []
    for start in range(0, len(stream), step):
        splitter.feed(stream[start : start + step])
        while (line := splitter.next_line()) is not None:
            found.append(line)
    assert found == texts


# Guards against a line that ends at an LF by itself, which is data.
@pytest.mark.parametrize(
    "data", [b"\n", b"\r", b"\n\n", b"\r\r", b"\n\r", b"\0"]
)
def test_only_a_cr_lf_ends_a_line(data):
    line = b"QUERY q1 WRITE a x" + data + b"QUERY q2 READ b" + data
    splitter = lines.LineSplitter()
    for byte in line + b"\r":
        splitter.feed(bytes([byte]))
        assert splitter.next_line() is None
    splitter.feed(b"\n")
    assert splitter.next_line() == line
    assert splitter.pending == 0


@pytest.mark.parametrize("extra", [0, 1])
def test_a_line_of_exactly_the_limit_is_returned(extra):
    line = b"x" * (lines.MAX_LINE_BYTES + extra)
    splitter = lines.LineSplitter()
    splitter.feed(line)
    if extra:
        with pytest.raises(lines.BadLineError):
            splitter.next_line()
        return
    for end in (b"\r", b"\n"):
        assert splitter.next_line() is None
        splitter.feed(end)
    assert splitter.next_line() == line


@given(st.binary(max_size=60))
@settings(max_examples=examples(300), deadline=None)
def test_any_caller_input_is_parsed_or_refused(line):
    try:
        message = lines.parse_caller_line(line)
    except lines.BadLineError:
        return
    assert isinstance(message, lines.Start | lines.Query | lines.Release)


def test_a_status_is_read():
    rows = (b"ROW replica 3 3.1209 0 12 2 17",)
    status = lines.parse_status(rows)
    assert status == lines.EndpointStatus(False, 3, Position(3, 1209))
    with pytest.raises(lines.BadLineError):
        lines.parse_status((b"ROW king 3 3.1209",))
    with pytest.raises(lines.BadLineError):
        lines.parse_status(())


@pytest.mark.parametrize(
    "encode",
    [
        lambda text: lines.encode_query("q1", f"WRITE a {text}"),
        lambda text: lines.encode_query(text, "READ a"),
        lambda text: lines.encode_query("-", lines.set_text("v", text)),
        lambda text: lines.encode_caller_start("db", text),
        lambda text: lines.encode_start("g", text, "d1"),
        lambda text: lines.encode_result(
            Success(signature=text), TransactionState.IDLE
        ),
        lambda text: lines.encode_result(
            Success((text.encode("latin-1"),), "s"), TransactionState.IDLE
        ),
    ],
)
# Guards against a field that becomes a message of its own.
def test_a_field_that_would_end_the_line_is_not_sent(encode):
    encode("x")
    with pytest.raises(lines.BadLineError):
        encode("x\r\nQUERY - RESET")


@given(st.text(max_size=40))
@settings(max_examples=examples(100), deadline=None)
def test_an_error_is_one_line_whatever_it_describes(message):
    failure = Failure(ErrorCode.BUSY, f"x\r\nREADY I -\n{message}")
    line = lines.encode_failure(failure)
    assert line.startswith(b"ERROR BUSY x ")
    assert line.endswith(b"\r\n")
    assert not {10, 13} & {*line[:-2]}


@pytest.mark.parametrize("verb", [b"WRITE", b"READ"])
def test_a_statement_of_the_limit_is_sent_on_unless_it_grows(verb):
    text = b"QUERY q1 %b a " % verb + b"x" * lines.MAX_LINE_BYTES
    query = lines.parse_caller_line(text[: lines.MAX_LINE_BYTES])
    sent = query.statement.text
    assert lines.fits_query("q1", sent)
    lines.encode_query("q1", sent)
    grown = lines.after_text(Position(3, 7), sent)
    assert not lines.fits_query("q1", grown)
    with pytest.raises(lines.BadLineError):
        lines.encode_query("q1", grown)


def test_a_caller_cannot_inject_a_line_through_a_statement():
    result = lines.encode_result(
        Failure(ErrorCode.BUSY, "why"), TransactionState.IDLE
    )
    assert result == b"ERROR BUSY why\r\nREADY I -\r\n"
    query = lines.encode_query("q1", lines.after_text(Position(3, 7), "READ a"))
    assert query == b"QUERY q1 AFTER 3.7 READ a\r\n"
