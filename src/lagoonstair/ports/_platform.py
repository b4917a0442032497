"""Interface to the platform: table service, object store and listing."""

import enum
from collections.abc import Mapping, Sequence
from typing import Protocol

import msgspec

from lagoonstair._types import Address


class PlatformUnavailableError(Exception):
    """The platform did not answer.

    Attributes:
        may_have_applied: Whether the change may have taken effect anyway.
    """

    def __init__(self, message: str, *, may_have_applied: bool) -> None:
        super().__init__(message)
        self.may_have_applied = may_have_applied


class ListingState(enum.StrEnum):
    """Whether a listed instance or endpoint may receive new work.

    Attributes:
        LIVE: It may receive new work.
        LEAVING: It is being removed and must not receive new work.
    """

    LIVE = "live"
    LEAVING = "leaving"


class Row(msgspec.Struct, frozen=True):
    """One row of the table service.

    Attributes:
        version: The number of the row's latest change, counted from 1; 0 if
            there is no row.
        value: The content of the row.
    """

    version: int
    value: bytes


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes that are applied atomically if every condition holds.

    Attributes:
        conditions: The version that each row must have, by key.
        writes: The new content of each row by key; ``None`` deletes the row.
    """

    conditions: Mapping[str, int]
    writes: Mapping[str, bytes | None]


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """An instance of the system in the platform's listing.

    Attributes:
        name: The name of the instance.
        failure_domain: The failure domain in which it runs.
        peers: The address on which it listens for other instances.
        state: Whether it may receive new work.
    """

    name: str
    failure_domain: str
    peers: Address
    state: ListingState = ListingState.LIVE


class ListedEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """A database in the platform's listing.

    Attributes:
        name: The name of the endpoint.
        failure_domain: The failure domain in which it runs.
        address: The address on which it listens.
        slots: The maximum number of calls that it runs concurrently.
        connections: The maximum number of connections that it accepts.
        state: Whether it may receive new work.
    """

    name: str
    failure_domain: str
    address: Address
    slots: int
    connections: int
    state: ListingState = ListingState.LIVE


class ListedGroup(msgspec.Struct, frozen=True, kw_only=True):
    """A database group in the platform's listing.

    Attributes:
        name: The name of the group.
        members: The databases of the group.
    """

    name: str
    members: tuple[ListedEndpoint, ...]


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's listing, which may be out of date.

    Attributes:
        version: The version, which increases with every change. A listing
            that is older than the known one is ignored.
        instances: The instances of the system.
        groups: The database groups.
    """

    version: int
    instances: tuple[ListedInstance, ...]
    groups: tuple[ListedGroup, ...]


class Platform(Protocol):
    """The services of the platform.

    Every method may raise ``PlatformUnavailableError``.
    """

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Reads rows from a single snapshot; a missing row has version 0."""
        ...

    async def scan(
        self, prefix: str, *, after: str, limit: int
    ) -> list[tuple[str, Row]]:
        """Reads rows whose key starts with ``prefix``, in key order.

        Args:
            prefix: The prefix of the keys.
            after: The key after which to start.
            limit: The maximum number of rows to return.
        """
        ...

    async def transact(self, transaction: Transaction) -> bool:
        """Applies a transaction.

        Returns:
            Whether it was applied, which means that every condition held.
        """
        ...

    async def put_object(self, name: str, content: bytes) -> None:
        """Stores a complete object."""
        ...

    async def get_object(self, name: str) -> bytes | None:
        """Reads a complete object; ``None`` if it does not exist."""
        ...

    async def listing(self) -> Listing:
        """Reads the listing of instances and database groups."""
        ...
