"""Decoding of the discovery entries that endpoints write into the store."""

import msgspec

from lagoonstair._types import Address
from lagoonstair.routing import Endpoint

TABLE = "servers"
"""The store table that holds the discovery entries, keyed by endpoint name."""

STATES = ("ready", "draining")
"""The states of usable endpoints; entries in any other state are ignored."""

ROLES = ("primary", "replica")
"""The roles of usable endpoints; entries with any other role are ignored."""


class _WireServer(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    db_role: str
    slots: int
    seq_no: int
    # Distinguishes successive processes with the same id. Some deployments
    # lack it.
    born: int = 0


def decode_endpoint(key: str, value: bytes) -> Endpoint | None:
    """Decodes a discovery entry.

    Returns:
        The endpoint, or ``None`` if the entry is malformed or names no usable
        endpoint.
    """
    try:
        wire = msgspec.json.decode(value, type=_WireServer)
        address = parse_address(wire.address)
    except (msgspec.MsgspecError, ValueError):
        return None
    if wire.state not in STATES or wire.db_role not in ROLES or wire.slots < 1:
        return None
    return Endpoint(
        name=key,
        group=wire.service,
        address=address,
        failure_domain=wire.zone,
        slots=wire.slots,
        leaving=wire.state == "draining",
        says_primary=wire.db_role == "primary",
        started=wire.born,
        sequence=wire.seq_no,
    )


def parse_address(text: str) -> Address:
    """Parses ``IP:PORT``.

    Raises:
        ValueError: The text is not of this form.
    """
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal()):
        raise ValueError(f"not an IP:PORT address: {text!r}")
    return Address(host, int(port))
