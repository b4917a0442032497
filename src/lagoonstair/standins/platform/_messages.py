"""The JSON bodies of calls to the platform."""

import msgspec

from lagoonstair.ports import Row

INSTANCE_HEADER = "x-instance"
"""The header by which an instance announces its name."""


class ReadRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Asks for rows by key, in one snapshot."""

    keys: tuple[str, ...]


class ReadResponse(msgspec.Struct, frozen=True):
    """The rows that were asked for; a missing row has version 0."""

    rows: dict[str, Row]


class ScanRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Asks for rows in key order.

    Attributes:
        prefix: What each row's key begins with.
        after: Only keys greater than this one are returned.
        limit: The greatest number of rows to return.
    """

    prefix: str
    after: str
    limit: int


class ScanResponse(msgspec.Struct, frozen=True):
    """Keys and rows, in key order."""

    rows: list[tuple[str, Row]]


class TransactResponse(msgspec.Struct, frozen=True):
    """Whether the transaction's conditions held and it was applied."""

    applied: bool
