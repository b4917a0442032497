"""Value types that several packages share."""

from typing import NamedTuple


class Position(NamedTuple):
    """A position in a database group's log.

    Positions are ordered by term, then by offset; a promotion compares two
    logs in this order.

    Attributes:
        term: The term in which the entry was written.
        offset: The number of the entry, counted from 1; 0 is the position in
            an empty log.
    """

    term: int
    offset: int


EMPTY_LOG_POSITION = Position(0, 0)
"""The position before the first entry."""


class Address(NamedTuple):
    """A TCP address.

    Attributes:
        host: An IP address.
        port: A TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
