"""The registry: the system's own store table.

It holds the registered instances, the groups' primaries, the holder of the
promotion duty and the secret that the instances share.
"""

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
"""The store table of the registry."""

FOUNDING_KEY = "founding"
"""The key of the row written at the system's first start."""

DUTY_KEY = "duty"
"""The key of the row with the holder of the promotion duty."""

MEMBER_PREFIX = "member/"
"""Prefix of the keys of registered instances; the instance's name follows."""

GROUP_PREFIX = "group/"
"""Prefix of the keys of group records; the group's name follows."""

SECRET_BYTES = 16
"""Length (bytes) of the secret that the instances share."""

RETRY_SECONDS = 0.2
"""Greatest interval (s) between attempts to register; a transaction takes
8 ms."""

VOTER_COUNT = 7
"""Number of instances whose reports prove primaries. Their majority survives
three simultaneous failures, and their mutual traffic does not grow with the
number of instances."""

FOUNDING_WINDOW_SECONDS = 15.0
"""Time (s) after the founding within which newly registered instances hold
their shares at once. Until then, the system does not serve yet or has only just
started to."""


class Founding(msgspec.Struct, frozen=True, kw_only=True):
    """The row written at the system's first start.

    Attributes:
        secret: The secret that authenticates instances to each other, in
            hexadecimal digits.
        at: When the row was written, in seconds on the store's clock.
    """

    secret: str
    at: float


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A registered instance.

    Attributes:
        host: The IP address at which other instances call it.
        port: The port at which other instances call it.
        failure_domain: The failure domain in which it runs.
        since: When it registered, in seconds on the store's clock.
        capacity: Its processor time per second, in seconds of the reference
            processor.
        suspected: When it was last suspected to be gone, in seconds on the
            store's clock; 0 while it is not suspected.
    """

    host: str
    port: int
    failure_domain: str
    since: float
    capacity: float = 1.0
    suspected: float = 0.0

    @property
    def address(self) -> Address:
        """Address at which other instances call it."""
        return Address(self.host, self.port)


RowValue = Founding | Member | GroupRecord | Duty

_RowT = TypeVar("_RowT", Founding, Member, GroupRecord, Duty)


class Registry:
    """Local copy of the system's own store table.

    Attributes:
        members: The registered instances, by name.
        founding: The founding row; ``None`` before it is known.
        duty: The holder of the promotion duty; ``None`` before the first.
        groups: The records of the groups' primaries, by group.
        members_version: The newest version among the rows of instances.
        version: The store version up to which every change is known. A row
            that this instance wrote may be newer.
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
        """Replaces the local copy with the whole table as of a version."""
        rows = tuple(rows)
        present = {row.key for row in rows}
        for key in [key for key in self._values if key not in present]:
            self.apply(StoredRow(key, None, version))
        self.apply_changes(rows)

    def apply_changes(self, rows: Iterable[StoredRow]) -> None:
        """Applies all changes since the known version."""
        for row in rows:
            self.apply(row)
            self.version = max(self.version, row.version)

    def changes_since(self, version: int) -> tuple[StoredRow, ...]:
        """Returns the rows changed after a version, for another instance."""
        return tuple(
            StoredRow(key, self._values.get(key), changed)
            for key, changed in self._versions.items()
            if changed > version
        )

    def voters(self) -> tuple[str, ...]:
        """Returns the instances that registered first, in that order."""
        by_age = sorted(
            self.members, key=lambda name: (self.members[name].since, name)
        )
        return tuple(by_age[:VOTER_COUNT])

    def apply(self, row: StoredRow) -> None:
        """Applies a row if it is newer than the known one."""
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
        """Returns the precondition that a row is unchanged in the store."""
        present = key in self._values
        return Precondition(TABLE, key, self._versions[key] if present else 0)

    async def write(
        self, values: dict[str, RowValue], *, unchanged: Iterable[str] = ()
    ) -> Committed | None:
        """Writes rows if none of them has changed in the store.

        Args:
            values: The rows to write, by key.
            unchanged: Keys of further rows that must not have changed. Several
                transactions that only require a row do not conflict.

        Returns:
            The applied transaction, or ``None`` if a row has changed.

        Raises:
            StoreError: The store did not answer or refused the call.
        """
        puts = [
            PutRow(TABLE, key, msgspec.json.encode(value))
            for key, value in values.items()
        ]
        conditions = [
            self.unchanged_condition(key) for key in (*values, *unchanged)
        ]
        committed = await self._store.transact(conditions=conditions, puts=puts)
        if committed is None:
            log_event(
                "registry write refused",
                era=self._store.era,
                rows={row.key: row.version for row in conditions},
            )
        else:
            for put in puts:
                self.apply(StoredRow(put.key, put.value, committed.version))
        return committed

    async def remove_member(self, name: str) -> None:
        """Removes an instance's row if it has not changed in the store.

        Raises:
            StoreError: The store did not answer or refused the call.
        """
        key = MEMBER_PREFIX + name
        await self._store.transact(
            conditions=[self.unchanged_condition(key)], removals=[(TABLE, key)]
        )

    async def register(self, settings: InstanceSettings) -> Rows:
        """Registers this instance, and retries until it succeeds.

        Returns:
            The table as last read, which includes this instance.
        """
        is_loss_logged = False
        while True:
            try:
                rows = await self._store.read_table(TABLE)
                self.load(rows.rows, rows.version)
                missing = self._missing_rows(settings, rows.now)
                if not missing:
                    return rows
                await self.write(missing)
            except StoreError as exc:
                if not is_loss_logged:
                    log_event("store lost", cause=str(exc), during="start")
                is_loss_logged = True
            await trio.sleep(RETRY_SECONDS * random.uniform(0.1, 1))

    def member_address(self, name: str) -> Address | None:
        """Returns the address of an instance; ``None`` if not registered."""
        member = self.members.get(name)
        return None if member is None else member.address

    def has_settled_share(self, name: str, now: float, settled: float) -> bool:
        """Returns whether every instance knows an instance's shares.

        An instance that has been registered for long may use its shares as
        soon as it restarts. Instances that do not know of newer ones attribute
        a larger share to it, never a smaller one, and an instance is removed
        only after it has certainly stopped.

        Args:
            name: The name of the instance.
            now: The current time in seconds on the store's clock.
            settled: Seconds after which every instance knows of a change.
        """
        member = self.members.get(name)
        if self.founding is None or member is None:
            return False
        is_founder = member.since - self.founding.at < FOUNDING_WINDOW_SECONDS
        return is_founder or now - member.since > settled

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
