"""Values that several slices share."""

from typing import NamedTuple


class Position(NamedTuple):
    """A place in a database group's log.

    Positions order by term first, then by offset, which is the order in which
    a promotion compares two logs.

    Attributes:
        term: The term in which the entry was written.
        offset: The number of the entry, counted from 1; 0 is the empty log.
    """

    term: int
    offset: int


EMPTY_LOG_POSITION = Position(0, 0)
"""The position before the first entry."""


class Address(NamedTuple):
    """A TCP address.

    Attributes:
        host: An IP number.
        port: A TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
