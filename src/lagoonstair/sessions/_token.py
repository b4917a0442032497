"""Signs and verifies the tokens that callers carry."""

import hashlib
from collections.abc import Sequence
from typing import TypeVar

import itsdangerous
import msgspec
from itsdangerous.encoding import base64_decode, base64_encode

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.sessions._state import SessionState

MAX_TOKEN_CHARACTERS = 4096
"""Maximum length of a token, in characters."""

PayloadT = TypeVar("PayloadT")


class TransactionToken(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies an open transaction.

    Attributes:
        workspace: The workspace that the transaction belongs to.
        group: The group in which it runs.
        owner: The instance that holds its connection.
        transaction_id: The transaction's ID at the owner.
    """

    workspace: str
    group: str
    owner: str
    transaction_id: str


class TokenCodec:
    """Encodes tokens that callers treat as opaque and can't alter.

    The payload is signed but not encrypted: it holds positions and names only.
    """

    def __init__(self, secrets: Sequence[str]) -> None:
        self._session = _signer(secrets, b"lagoonstair.session")
        self._transaction = _signer(secrets, b"lagoonstair.transaction")

    def encode_session(self, state: SessionState) -> str:
        """Encodes the state of a session."""
        return _encode(self._session, state)

    def decode_session(self, token: str | None, workspace: str) -> SessionState:
        """Decodes a session token; ``None`` starts a new session.

        Raises:
            LagoonstairError: ``SESSION_INVALID`` if the token is invalid, or
                ``FORBIDDEN`` if it belongs to another workspace.
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
        """Encodes the token of an open transaction."""
        return _encode(self._transaction, token)

    def decode_transaction(
        self, token: str, workspace: str
    ) -> TransactionToken:
        """Decodes the token of an open transaction.

        Raises:
            LagoonstairError: ``SESSION_INVALID`` if the token is invalid, or
                ``FORBIDDEN`` if it belongs to another workspace.
        """
        named = _decode(self._transaction, token, TransactionToken)
        if named.workspace != workspace:
            raise LagoonstairError(
                ErrorKind.FORBIDDEN,
                "the transaction is of another workspace",
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
            ErrorKind.SESSION_INVALID,
            "the token is broken",
        ) from None
