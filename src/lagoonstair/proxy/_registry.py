"""The system's own table: instances, primaries and the shared secret."""

import random
import secrets
from collections.abc import Iterable
from typing import TypeVar

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.platform.store import (
    Committed,
    Precondition,
    PutRow,
    Rows,
    Store,
    StoredRow,
    StoreError,
)
from lagoonstair.primacy import Duty, GroupRecord
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._settings import InstanceSettings

TABLE = "lagoonstair"
FOUNDING_KEY = "founding"
DUTY_KEY = "duty"
MEMBER_PREFIX = "member/"
GROUP_PREFIX = "group/"

SECRET_BYTES = 16

RETRY_SECONDS = 0.2
"""Between two tries to register; a transaction takes 8 ms."""

VOTER_COUNT = 7
"""Instances whose words prove primaries: most may fail three at a time, and
what they exchange does not grow with the number of instances."""

FOUNDING_WINDOW_SECONDS = 15.0
"""Instances that register this soon after the first hold their shares at
once: the system has not begun to serve, or all of it has just begun."""


class Founding(msgspec.Struct, frozen=True, kw_only=True):
    """When the system first started, and what proves its instances.

    Attributes:
        secret: Shared by all instances, in hexadecimal digits.
        at: When it was written, by the store's clock (s).
    """

    secret: str
    at: float


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """An instance.

    Attributes:
        host: Where others call it.
        port: Where others call it.
        failure_domain: Where it runs.
        since: When it registered, by the store's clock (s).
        capacity: What it can do in a second, in seconds of a usual processor.
        suspected: When it was last suspected to be gone; 0 if it is not.
    """

    host: str
    port: int
    failure_domain: str
    since: float
    capacity: float = 1.0
    suspected: float = 0.0

    @property
    def address(self) -> Address:
        """Where others call it."""
        return Address(self.host, self.port)


RowValue = Founding | Member | GroupRecord | Duty

_RowT = TypeVar("_RowT", Founding, Member, GroupRecord, Duty)


class Registry:
    """The rows of the system's own table, as last seen.

    Attributes:
        members: The registered instances.
        founding: The founding row.
        duty: Who may promote.
        groups: The groups' records.
        members_version: The newest version among the members' rows.
        version: The store's version up to which every change is known; a
            row that this instance wrote may be newer.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._versions: dict[str, int] = {}
        self._values: dict[str, bytes] = {}
        self.version = 0
        self.members: dict[str, Member] = {}
        self.founding: Founding | None = None
        self.duty: Duty | None = None
        self.groups: dict[str, GroupRecord] = {}
        self.members_version = 0

    def load(self, rows: Iterable[StoredRow], version: int) -> None:
        """Takes the whole table as of a version."""
        rows = tuple(rows)
        present = {row.key for row in rows}
        for key in [key for key in self._values if key not in present]:
            self.apply(StoredRow(key, None, version))
        self.apply_changes(rows)

    def apply_changes(self, rows: Iterable[StoredRow]) -> None:
        """Takes all changes since the version known."""
        for row in rows:
            self.apply(row)
            self.version = max(self.version, row.version)

    def changes_since(self, version: int) -> tuple[StoredRow, ...]:
        """What has changed since a version, for another instance."""
        return tuple(
            StoredRow(key, self._values.get(key), changed)
            for key, changed in self._versions.items()
            if changed > version
        )

    def voters(self) -> tuple[str, ...]:
        """The instances that registered first, in order."""
        order = sorted(
            self.members, key=lambda name: (self.members[name].since, name)
        )
        return tuple(order[:VOTER_COUNT])

    def apply(self, row: StoredRow) -> None:
        """Takes a row that is newer than the one known."""
        if row.version <= self._versions.get(row.key, 0):
            return
        self._versions[row.key] = row.version
        if row.value is None:
            self._values.pop(row.key, None)
        else:
            self._values[row.key] = row.value
        if row.key.startswith(MEMBER_PREFIX):
            self._apply_member(row)
        elif row.value is None:
            return
        elif row.key.startswith(GROUP_PREFIX):
            group = row.key.removeprefix(GROUP_PREFIX)
            self.groups[group] = _decode(row.value, GroupRecord)
        elif row.key == DUTY_KEY:
            self.duty = _decode(row.value, Duty)
        elif row.key == FOUNDING_KEY:
            self.founding = _decode(row.value, Founding)

    def unchanged_condition(self, key: str) -> Precondition:
        """That a row is still the one known."""
        present = key in self._values
        return Precondition(TABLE, key, self._versions[key] if present else 0)

    async def write(self, values: dict[str, RowValue]) -> Committed | None:
        """Writes rows if all of them are still those known.

        Raises:
            StoreError: The store did not answer, or refused.
        """
        puts = [
            PutRow(TABLE, key, msgspec.json.encode(value))
            for key, value in values.items()
        ]
        done = await self._store.transact(
            conditions=[self.unchanged_condition(key) for key in values],
            puts=puts,
        )
        if done is not None:
            for put in puts:
                self.apply(StoredRow(put.key, put.value, done.version))
        return done

    async def remove_member(self, name: str) -> None:
        """Drops an instance's row if it is still the one known.

        Raises:
            StoreError: The store did not answer, or refused.
        """
        key = MEMBER_PREFIX + name
        await self._store.transact(
            conditions=[self.unchanged_condition(key)], removals=[(TABLE, key)]
        )

    async def register(self, settings: InstanceSettings) -> Rows:
        """Reads the table and has this instance in it, however long it takes.

        Returns:
            The table as it was read last.
        """
        told = False
        while True:
            try:
                rows = await self._store.read_table(TABLE)
                self.load(rows.rows, rows.version)
                missing = self._missing_rows(settings, rows.now)
                if not missing:
                    return rows
                await self.write(missing)
            except StoreError as exc:
                if not told:
                    log_event("store lost", cause=str(exc), during="start")
                told = True
            await trio.sleep(RETRY_SECONDS * random.uniform(0.1, 1))

    def member_address(self, name: str) -> Address | None:
        """Where an instance is called."""
        member = self.members.get(name)
        return None if member is None else member.address

    def has_settled_share(self, name: str, now: float, settled: float) -> bool:
        """Whether an instance has held its shares since some time ago.

        An instance that has been registered for long may use its shares as
        soon as it starts again: those that have not heard of newer instances
        count with more of its part, never with less, and nobody is removed
        before it has certainly stopped.

        Args:
            name: The instance.
            now: The store's clock (s).
            settled: After how many seconds every instance knows of a change.
        """
        member = self.members.get(name)
        if self.founding is None or member is None:
            return False
        founded = member.since - self.founding.at < FOUNDING_WINDOW_SECONDS
        return founded or now - member.since > settled

    def _missing_rows(
        self, settings: InstanceSettings, now: float
    ) -> dict[str, RowValue]:
        missing: dict[str, RowValue] = {}
        if self.founding is None:
            secret = secrets.token_hex(SECRET_BYTES)
            missing[FOUNDING_KEY] = Founding(secret=secret, at=now)
        key = MEMBER_PREFIX + settings.instance
        known = self.members.get(settings.instance)
        if known is None or known.address != settings.peer_address:
            missing[key] = Member(
                host=settings.host,
                port=settings.peer_ports[0],
                failure_domain=settings.failure_domain,
                since=now,
                capacity=settings.capacity,
            )
        elif known.capacity != settings.capacity:
            missing[key] = msgspec.structs.replace(
                known, capacity=settings.capacity
            )
        return missing

    def _apply_member(self, row: StoredRow) -> None:
        name = row.key.removeprefix(MEMBER_PREFIX)
        self.members_version = max(self.members_version, row.version)
        if row.value is None:
            self.members.pop(name, None)
        else:
            self.members[name] = _decode(row.value, Member)


def _decode(value: bytes, kind: type[_RowT]) -> _RowT:
    return msgspec.json.decode(value, type=kind)
