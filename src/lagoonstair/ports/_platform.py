"""The port to the platform: table service, object store, listing."""

import enum
from collections.abc import Mapping, Sequence
from typing import Protocol

import msgspec

from lagoonstair._types import Address


class PlatformUnavailableError(Exception):
    """The platform gave no answer.

    Attributes:
        may_have_applied: Whether the change may have taken effect all the same.
    """

    def __init__(self, message: str, *, may_have_applied: bool) -> None:
        super().__init__(message)
        self.may_have_applied = may_have_applied


class ListingState(enum.StrEnum):
    """Whether a listed instance or endpoint may get new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Row(msgspec.Struct, frozen=True):
    """One row of the table service.

    Attributes:
        version: Counts the row's changes from 1; 0 stands for no row.
        value: The row's content.
    """

    version: int
    value: bytes


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes that take effect together if every condition holds.

    Attributes:
        conditions: The version that each named row must have.
        writes: The new content of each named row; ``None`` deletes the row.
    """

    conditions: Mapping[str, int]
    writes: Mapping[str, bytes | None]


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance of the system as the platform lists it.

    Attributes:
        name: The instance's name.
        failure_domain: The failure domain it runs in.
        peers: The address at which it listens for other instances.
        state: Whether it may get new work.
    """

    name: str
    failure_domain: str
    peers: Address
    state: ListingState = ListingState.LIVE


class ListedEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """One database as the platform lists it.

    Attributes:
        name: The endpoint's name.
        failure_domain: The failure domain it runs in.
        address: Where it listens.
        slots: How many calls it runs at once.
        connections: How many connections it accepts.
        state: Whether it may get new work.
    """

    name: str
    failure_domain: str
    address: Address
    slots: int
    connections: int
    state: ListingState = ListingState.LIVE


class ListedGroup(msgspec.Struct, frozen=True, kw_only=True):
    """One database group.

    Attributes:
        name: The group's name.
        members: Its databases.
    """

    name: str
    members: tuple[ListedEndpoint, ...]


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list, which may lag behind.

    Attributes:
        version: Grows with every change; an older list is ignored.
        instances: The instances of the system.
        groups: The database groups.
    """

    version: int
    instances: tuple[ListedInstance, ...]
    groups: tuple[ListedGroup, ...]


class Platform(Protocol):
    """What the platform offers.

    Every method may raise ``PlatformUnavailableError``.
    """

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Reads rows in one snapshot; a missing row has version 0."""
        ...

    async def scan(
        self, prefix: str, *, after: str, limit: int
    ) -> list[tuple[str, Row]]:
        """Reads rows whose key has the prefix, in key order, past ``after``."""
        ...

    async def transact(self, transaction: Transaction) -> bool:
        """Applies the transaction; false when a condition does not hold."""
        ...

    async def put_object(self, name: str, content: bytes) -> None:
        """Stores an object whole."""
        ...

    async def get_object(self, name: str) -> bytes | None:
        """Reads an object whole; ``None`` when there is none."""
        ...

    async def listing(self) -> Listing:
        """Reads the list of instances and database groups."""
        ...
