"""The envelopes of calls between instances."""

import hashlib
import hmac

import msgspec

from lagoonstair.exceptions import ErrorKind


class Challenge(msgspec.Struct, frozen=True):
    """The server's first frame: a nonce to sign."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, kw_only=True):
    """The client's first frame: who it is, signed over the server's nonce."""

    name: str
    nonce: bytes
    mac: bytes


class Welcome(msgspec.Struct, frozen=True):
    """The server's proof, signed over the client's nonce."""

    name: str
    mac: bytes


class Call(msgspec.Struct, frozen=True, array_like=True):
    """A call: its number on the connection, its type and its body."""

    call_id: int
    kind: str
    body: msgspec.Raw


class Ping(msgspec.Struct, frozen=True):
    """Asks whether the peer still answers; every instance does."""


class Failure(msgspec.Struct, frozen=True, array_like=True):
    """An error of the closed list, in transit."""

    kind: ErrorKind
    message: str
    retry_after: float | None


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a call: a body, which is nil beside a failure."""

    call_id: int
    body: msgspec.Raw
    failure: Failure | None


def compute_mac(secret: bytes, role: str, name: str, nonce: bytes) -> bytes:
    """Computes the proof that ``name`` holds the shared secret."""
    text = b"\0".join((role.encode(), name.encode(), nonce))
    return hmac.digest(secret, text, hashlib.sha256)


def verify_mac(
    secret: bytes, role: str, name: str, nonce: bytes, mac: bytes
) -> bool:
    """Checks a proof in constant time."""
    return hmac.compare_digest(compute_mac(secret, role, name, nonce), mac)
