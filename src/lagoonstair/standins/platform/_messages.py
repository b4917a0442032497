"""The JSON bodies of calls to the platform and of their answers."""

import msgspec

from lagoonstair.ports import Row

INSTANCE_HEADER = "x-instance"
"""The request header that holds the name of the calling instance."""


class ReadRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests rows by key, read in one snapshot."""

    keys: tuple[str, ...]


class ReadResponse(msgspec.Struct, frozen=True):
    """The requested rows, by key; a missing row has version 0."""

    rows: dict[str, Row]


class ScanRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests rows by key prefix, in key order.

    Attributes:
        prefix: The prefix of the rows' keys.
        after: Only rows with keys greater than this one are returned.
        limit: The maximum number of rows to return.
    """

    prefix: str
    after: str
    limit: int


class ScanResponse(msgspec.Struct, frozen=True):
    """The requested keys and rows, in key order."""

    rows: list[tuple[str, Row]]


class TransactResponse(msgspec.Struct, frozen=True):
    """The answer to a transaction.

    Attributes:
        applied: Whether all conditions held and the writes were applied.
    """

    applied: bool
