"""Signs and checks the tokens that callers carry."""

import hashlib
from collections.abc import Sequence
from typing import TypeVar

import itsdangerous
import msgspec
from itsdangerous.encoding import base64_decode, base64_encode

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.sessions._state import SessionState

MAX_TOKEN_CHARACTERS = 4096

PayloadT = TypeVar("PayloadT")


class TransactionToken(msgspec.Struct, frozen=True, kw_only=True):
    """Names an open transaction.

    Attributes:
        workspace: The workspace that the transaction belongs to.
        group: The group that it runs in.
        owner: The instance that holds its connection.
        transaction_id: The transaction's number at the owner.
    """

    workspace: str
    group: str
    owner: str
    transaction_id: str


class TokenCodec:
    """Encodes tokens so that callers can neither read into nor change them.

    The payload is signed, not encrypted: it holds positions and names only.
    """

    def __init__(self, secrets: Sequence[str]) -> None:
        self._session = _signer(secrets, b"lagoonstair.session")
        self._transaction = _signer(secrets, b"lagoonstair.transaction")

    def encode_session(self, state: SessionState) -> str:
        """Encodes a session."""
        return _encode(self._session, state)

    def decode_session(self, token: str | None, workspace: str) -> SessionState:
        """Decodes a session's token, or starts a session without one.

        Raises:
            LagoonstairError: The token is broken or of another workspace.
        """
        if token is None:
            return SessionState(workspace=workspace)
        state = _decode(self._session, token, SessionState)
        if state.workspace != workspace:
            raise LagoonstairError(
                ErrorKind.FORBIDDEN, "the session is of another workspace"
            )
        return state

    def encode_transaction(self, token: TransactionToken) -> str:
        """Encodes the name of an open transaction."""
        return _encode(self._transaction, token)

    def decode_transaction(
        self, token: str, workspace: str
    ) -> TransactionToken:
        """Decodes the name of an open transaction.

        Raises:
            LagoonstairError: The token is broken or of another workspace.
        """
        named = _decode(self._transaction, token, TransactionToken)
        if named.workspace != workspace:
            raise LagoonstairError(
                ErrorKind.FORBIDDEN, "the transaction is of another workspace"
            )
        return named


def _signer(secrets: Sequence[str], salt: bytes) -> itsdangerous.Signer:
    return itsdangerous.Signer(
        list(secrets), salt=salt, digest_method=hashlib.sha256
    )


def _encode(signer: itsdangerous.Signer, payload: object) -> str:
    text = base64_encode(msgspec.msgpack.encode(payload))
    return signer.sign(text).decode("ascii")


def _decode(
    signer: itsdangerous.Signer, token: str, payload: type[PayloadT]
) -> PayloadT:
    if len(token) > MAX_TOKEN_CHARACTERS:
        raise LagoonstairError(
            ErrorKind.SESSION_INVALID,
            f"the token is over {MAX_TOKEN_CHARACTERS} characters",
        )
    try:
        text = signer.unsign(token)
        return msgspec.msgpack.decode(base64_decode(text), type=payload)
    except (itsdangerous.BadData, msgspec.MsgspecError, ValueError):
        raise LagoonstairError(
            ErrorKind.SESSION_INVALID, "the token is broken"
        ) from None
