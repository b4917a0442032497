"""The entries that endpoints write about themselves into the store."""

import msgspec

from lagoonstair._types import Address
from lagoonstair.routing import Endpoint

TABLE = "servers"
STATES = ("ready", "draining")
ROLES = ("primary", "replica")


class _WireServer(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    db_role: str
    slots: int
    seq_no: int
    # Not in every deployment; tells two lives of one id apart.
    born: int = 0


def decode_endpoint(key: str, value: bytes) -> Endpoint | None:
    """Decodes an entry; ``None`` for one that names no endpoint to use."""
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
    )


def parse_address(text: str) -> Address:
    """Parses ``IP:PORT``.

    Raises:
        ValueError: It is not an address.
    """
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal()):
        raise ValueError(f"not an address: {text!r}")
    return Address(host, int(port))
