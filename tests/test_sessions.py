"""Session tokens are authenticated, bound to a workspace, and rotatable."""

import pytest

from lagoonstair._types import Position
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.sessions import (
    GroupMark,
    SessionState,
    TokenCodec,
    TransactionToken,
)

STATE = SessionState(workspace="w").with_mark(
    "g", GroupMark(Position(2, 7), Position(2, 9))
)
TRANSACTION = TransactionToken(
    workspace="w", group="g", owner="i1", transaction_id="t"
)


def _fails(kind, call, *args):
    with pytest.raises(LagoonstairError) as caught:
        call(*args)
    assert caught.value.kind is kind


def test_tokens_round_trip():
    codec = TokenCodec(["one"])
    assert codec.decode_session(codec.encode_session(STATE), "w") == STATE
    token = codec.encode_transaction(TRANSACTION)
    assert codec.decode_transaction(token, "w") == TRANSACTION


def test_rotation_accepts_tokens_of_the_old_secret():
    token = TokenCodec(["one"]).encode_session(STATE)
    assert TokenCodec(["one", "two"]).decode_session(token, "w") == STATE
    _fails(
        ErrorKind.SESSION_INVALID,
        TokenCodec(["two"]).decode_session,
        token,
        "w",
    )


def test_another_workspace_may_not_use_a_token():
    codec = TokenCodec(["one"])
    token = codec.encode_session(STATE)
    _fails(ErrorKind.FORBIDDEN, codec.decode_session, token, "v")
    named = codec.encode_transaction(TRANSACTION)
    _fails(ErrorKind.FORBIDDEN, codec.decode_transaction, named, "v")


@pytest.mark.parametrize("token", ["", "x", "a.b", "é", "x" * 5000])
def test_invalid_tokens_are_refused(token):
    codec = TokenCodec(["one"])
    _fails(ErrorKind.SESSION_INVALID, codec.decode_session, token, "w")
    _fails(ErrorKind.SESSION_INVALID, codec.decode_transaction, token, "w")


def test_a_session_token_is_no_transaction_token():
    codec = TokenCodec(["one"])
    token = codec.encode_session(STATE)
    _fails(ErrorKind.SESSION_INVALID, codec.decode_transaction, token, "w")


def test_the_next_read_must_cover_both_marks():
    assert STATE.mark("g").min_read_position == Position(2, 9)
    assert STATE.mark("other").min_read_position == Position(0, 0)
