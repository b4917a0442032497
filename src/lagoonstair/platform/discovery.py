"""Decoding of the discovery entries that endpoints write into the store."""

import ipaddress
import math
from typing import Annotated, Literal

import msgspec

from lagoonstair._types import Address
from lagoonstair.platform.decoding import (
    Name,
    Number,
    UnreadableError,
    decode_json,
)
from lagoonstair.routing import Endpoint

TABLE = "servers"
"""The store table that holds the discovery entries, keyed by endpoint name."""

MAX_PORT = 65535
"""The highest TCP port."""

MAX_SLOTS = 1_000_000
"""Limit on the slots that an entry may claim; real ones have a few."""


class _WireName(msgspec.Struct):
    name: Name


class _WireServer(msgspec.Struct):
    service: Name
    address: str
    zone: Annotated[str, msgspec.Meta(max_length=200)]
    state: Literal["ready", "draining"]
    db_role: Literal["primary", "replica"]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    seq_no: Number
    # Distinguishes successive processes with the same id. Some deployments
    # lack it.
    born: Number = 0
    # Decoded apart, so that an invalid value costs nothing else of the entry.
    cold_left_ms: msgspec.Raw = msgspec.Raw(b"0")


def decode_endpoint(key: str, value: bytes) -> Endpoint | None:
    """Decodes a discovery entry.

    Any writer may have stored it, so nothing about it is taken for granted.

    Returns:
        The endpoint, or ``None`` if the entry is malformed or names no usable
        endpoint.
    """
    try:
        name = msgspec.convert({"name": key}, _WireName).name
        wire = decode_json(value, _WireServer)
        address = parse_address(wire.address)
    except (UnreadableError, msgspec.ValidationError, ValueError):
        return None
    return Endpoint(
        name=name,
        group=wire.service,
        address=address,
        failure_domain=wire.zone,
        slots=wire.slots,
        leaving=wire.state == "draining",
        says_primary=wire.db_role == "primary",
        started=wire.born,
        sequence=wire.seq_no,
        cold_left=_cold_left(wire.cold_left_ms),
    )


def _cold_left(value: msgspec.Raw) -> float:
    """Returns the rest of the cold time in seconds; NaN if it is invalid."""
    try:
        milliseconds = float(bytes(value))
    except ValueError:
        return math.nan
    return milliseconds / 1000 if milliseconds >= 0 else math.nan


def parse_address(text: str) -> Address:
    """Parses ``IP:PORT``.

    Returns:
        The address as the operating system takes it, so that no later use has
        to parse or resolve a text: the IP address is in canonical form.

    Raises:
        ValueError: The text is not of this form, the port is out of range, or
            the IP address has a scope, whose name only one host knows.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        raise ValueError(f"not an IP:PORT address: {text[:100]!r}")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return Address(parse_host(host), int(port))


def parse_host(text: str) -> str:
    """Returns an IP address in canonical form.

    Raises:
        ValueError: The text is no IP address, or one with a scope.
    """
    ip = ipaddress.ip_address(text)
    if isinstance(ip, ipaddress.IPv6Address) and ip.scope_id is not None:
        raise ValueError(f"an address with a scope: {text[:100]!r}")
    return str(ip)
