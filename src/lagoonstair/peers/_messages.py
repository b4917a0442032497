"""Handshake and envelope messages of calls between instances."""

import hashlib
import hmac

import msgspec

from lagoonstair.exceptions import ErrorKind


class Challenge(msgspec.Struct, frozen=True):
    """The server's first frame: the nonce that the client signs."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, kw_only=True):
    """The client's first frame: its name, a MAC and a nonce for the server.

    Attributes:
        name: The client instance's name.
        nonce: The nonce that the server signs.
        mac: The MAC of the role, the name and the server's nonce.
    """

    name: str
    nonce: bytes
    mac: bytes


class Welcome(msgspec.Struct, frozen=True):
    """The server's second frame: its name and its MAC.

    Attributes:
        name: The server instance's name.
        mac: The MAC of the role, the name and the client's nonce.
    """

    name: str
    mac: bytes


class Call(msgspec.Struct, frozen=True, array_like=True):
    """A call.

    Attributes:
        call_id: The call's number on the connection.
        kind: The name of the message's class.
        body: The encoded message.
    """

    call_id: int
    kind: str
    body: msgspec.Raw


class Ping(msgspec.Struct, frozen=True):
    """Checks that the peer still replies; every instance handles it."""


class Failure(msgspec.Struct, frozen=True, array_like=True):
    """A ``LagoonstairError`` in encoded form; ``retry_after`` is in seconds."""

    kind: ErrorKind
    message: str
    retry_after: float | None


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a call.

    Attributes:
        call_id: The number of the call.
        body: The encoded reply; nil if the call failed.
        failure: The error, if the call failed.
    """

    call_id: int
    body: msgspec.Raw
    failure: Failure | None


def compute_mac(secret: bytes, role: str, name: str, nonce: bytes) -> bytes:
    """Computes the HMAC-SHA-256 that proves knowledge of the secret.

    It covers the role, the name and the nonce.

    Args:
        secret: The secret that all instances share.
        role: ``client`` or ``server``.
        name: The name of the instance that computes the MAC.
        nonce: The nonce that the other side sent.
    """
    content = b"\0".join((role.encode(), name.encode(), nonce))
    return hmac.digest(secret, content, hashlib.sha256)


def verify_mac(
    secret: bytes, role: str, name: str, nonce: bytes, mac: bytes
) -> bool:
    """Checks a MAC of ``compute_mac`` in constant time."""
    return hmac.compare_digest(compute_mac(secret, role, name, nonce), mac)
