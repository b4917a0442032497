"""The registry: the system's own store table.

It holds the registered instances, the groups' primaries, the holder of the
promotion duty and the secret that the instances share.
"""

import math
import random
from collections.abc import Iterable, Mapping

import msgspec
import trio

from lagoonstair._faults import describe_exception
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
from lagoonstair.primacy import Duty, GroupRecord, Seat
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._reconcile import RegistryRows, reconcile
from lagoonstair.proxy._registration import (
    FOUNDING_WINDOW_SECONDS,
    registration_rows,
)
from lagoonstair.proxy._registry_rows import (
    GROUP_PREFIX,
    MEMBER_PREFIX,
    SEATS_KEY,
    TABLE,
    VERSION_BITS,
    Era,
    Founding,
    Member,
    RowValue,
    Seats,
    decode_row,
    era_key,
    line_of_voters,
    stood_down,
)
from lagoonstair.proxy._settings import InstanceSettings

RETRY_SECONDS = 0.2
"""Greatest interval (s) between attempts to register; a transaction takes
8 ms."""

VOTER_COUNT = 7
"""Number of instances whose reports prove primaries. Their majority survives
three simultaneous failures, and their mutual traffic does not grow with the
number of instances."""

RECONCILE_SECONDS = 3.0
"""Time (s) for which a newly started instance leaves it to the others, which
know what was lost, to reconcile a restored registry."""

ROWS_PER_TRANSACTION = 45
"""Changed rows in one transaction. The store takes 100 entries, and each row
needs a condition and a change."""


class UnreconciledError(StoreError):
    """The store was restored from an older copy that is not reconciled yet.

    What this instance knows of the registry belongs to a history that has
    ended, so nothing can be written on that condition.
    """

    def __init__(self) -> None:
        super().__init__("the restored store is not reconciled", refused=False)


class Registry:
    """Local copy of the system's own store table.

    Attributes:
        members: The registered instances, by name.
        founding: The founding row; ``None`` before it is known.
        duty: The holder of the promotion duty; ``None`` before the first.
        seats: The row of the places in the line of voters; ``None`` before the
            first instance has taken one after its registration.
        groups: The records of the groups' primaries, by group.
        members_version: The newest version among the rows of instances. It
            rises across restores of the store too.
        era: The number of the store's history that the copy belongs to; 0
            before the first.
        version: The store version up to which every change is known. A row
            that this instance wrote may be newer.
        unreconciled: The table as read after a restore, while no instance has
            reconciled it.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._versions: dict[str, int] = {}
        self._values: dict[str, bytes] = {}
        self._version_base = 0
        self.era = 0
        self.version = 0
        self.members: dict[str, Member] = {}
        self.founding: Founding | None = None
        self.duty: Duty | None = None
        self.seats: Seats | None = None
        self.groups: dict[str, GroupRecord] = {}
        self.members_version = 0
        self.unreconciled: Rows | None = None

    @property
    def restored_at(self) -> float:
        """When the restored registry was reconciled.

        It is in seconds on the store's clock, and negative infinity before the
        first restore.
        """
        mark = _decode_mark(self.era, self._values.get(era_key(self.era)))
        return mark.at if mark and mark.floor else float("-inf")

    def load(self, rows: Rows) -> bool:
        """Replaces the local copy with the whole table, unless it is older.

        A table that was restored from an older copy is not used before it is
        reconciled: it lacks what was written since.

        Returns:
            Whether the local copy is now the table as read.
        """
        if rows.era < self.era:
            return False
        present = {row.key: row for row in rows.rows}
        if rows.era > self.era:
            row = present.get(era_key(rows.era))
            mark = _decode_mark(rows.era, None if row is None else row.value)
            if mark is None and (present or self.era):
                self.unreconciled = rows
                return False
            self._start_era(rows.era, mark)
        self.unreconciled = None
        for key in self._values.keys() - present.keys():
            self.apply(StoredRow(key, None, rows.version))
        return self.apply_changes(rows)

    def apply_changes(self, rows: Rows) -> bool:
        """Applies all changes since the known version.

        Returns:
            Whether the changes belong to the history of the local copy.
        """
        if rows.era != self.era:
            return False
        for row in rows.rows:
            try:
                self.apply(row)
            except Exception as exc:
                # The other rows are used; an instance reads all of them at
                # each start.
                log_event(
                    "registry row unusable",
                    key=row.key,
                    fault=describe_exception(exc),
                )
            self.version = max(self.version, row.version)
        return True

    def _start_era(self, era: int, mark: Era | None) -> None:
        """Starts a history of the store, whose versions are compared anew."""
        self._store.note_era(era)
        self._versions.clear()
        self._version_base = 0
        if mark is not None and mark.floor:
            self._version_base = era << VERSION_BITS
        self.era = era
        self.version = 0
        self.members_version = max(self.members_version, self._version_base)

    def changes_since(self, era: int, version: int) -> tuple[StoredRow, ...]:
        """Returns the rows that another instance lacks.

        Args:
            era: The number of the store's history that its copy belongs to.
            version: The version up to which it knows the changes.
        """
        if era > self.era:
            return ()
        if era < self.era:
            version = -1
        return tuple(
            StoredRow(key, self._values.get(key), changed)
            for key, changed in self._versions.items()
            if changed > version
        )

    def voters(self) -> tuple[str, ...]:
        """Returns the first instances in the line of voters, in its order."""
        return tuple(line_of_voters(self.members)[:VOTER_COUNT])

    def voter_seats(self) -> frozenset[Seat]:
        """Returns the seats of the voters."""
        return frozenset(
            Seat(name, self.members[name].place) for name in self.voters()
        )

    def lacks_seat(self, name: str) -> bool:
        """Returns whether a registered instance is not in line as a voter."""
        member = self.members.get(name)
        return member is not None and member.resigned

    def seeks_voters(self, name: str) -> bool:
        """Returns whether an instance would add a voter by taking a seat.

        Without any voter it adds none to an existing majority.
        """
        length = len(line_of_voters(self.members))
        return self.lacks_seat(name) and 0 < length < VOTER_COUNT

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
            self._note_member_change(row)
        match decode_row(row.key, row.value):
            case Member() as member:
                self.members[row.key.removeprefix(MEMBER_PREFIX)] = member
            case GroupRecord() as record:
                self.groups[row.key.removeprefix(GROUP_PREFIX)] = record
            case Duty() as duty:
                self.duty = duty
            case Founding() as founding:
                self.founding = founding
            case Seats() as seats:
                self.seats = seats
            case _:
                # Removed, unreadable, or of a kind that is read elsewhere.
                return

    def _note_member_change(self, row: StoredRow) -> None:
        version = self._version_base + row.version
        self.members_version = max(self.members_version, version)
        if row.value is None:
            self.members.pop(row.key.removeprefix(MEMBER_PREFIX), None)

    def unchanged_condition(self, key: str) -> Precondition:
        """Returns the precondition that a row is unchanged in the store."""
        present = key in self._values
        return Precondition(TABLE, key, self._versions[key] if present else 0)

    async def write(
        self, values: dict[str, RowValue], *, unchanged: Iterable[str] = ()
    ) -> Committed | None:
        """Writes rows if none of them has changed in the store.

        Rows of instances are not changed in the local copy before they are
        read: whoever knows of such a change must know every promotion and every
        change of the instances that was recorded before.

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
        committed = await self._transact(
            conditions=[
                self.unchanged_condition(key) for key in (*values, *unchanged)
            ],
            puts=puts,
        )
        if committed is not None:
            for put in puts:
                if put.key.startswith(MEMBER_PREFIX):
                    continue
                self.apply(StoredRow(put.key, put.value, committed.version))
        return committed

    async def remove_member(self, name: str) -> None:
        """Removes an instance's row if it has not changed in the store.

        Raises:
            StoreError: The store did not answer or refused the call.
        """
        key = MEMBER_PREFIX + name
        await self._transact(
            conditions=[self.unchanged_condition(key)], removals=[(TABLE, key)]
        )

    async def announce_stop(self, name: str) -> bool:
        """Marks an instance as stopping.

        A process that starts under its name clears the mark, so that a write
        on its condition that is still under way changes nothing.

        Returns:
            Whether it was marked; its row may have changed in the store.

        Raises:
            StoreError: The store did not answer or refused the call.
        """
        return await self._put_member(name, None, stops=True)

    async def stand_down(self, name: str) -> bool:
        """Lets others give up the seat of an instance marked as stopping.

        Returns:
            Whether it was marked and the row has not changed in the store.

        Raises:
            StoreError: The store did not answer or refused the call.
        """
        return await self._put_stopped(name, stood_down=True)

    async def resign(self, name: str) -> bool:
        """Gives up the place of an instance that is marked as stopping.

        Returns:
            Whether it was marked and the row has not changed in the store.

        Raises:
            StoreError: The store did not answer or refused the call.
        """
        return await self._put_stopped(name, resigned=True)

    async def _put_stopped(self, name: str, **changes: bool) -> bool:
        """Changes the row of an instance that is marked as stopping."""
        member = self.members.get(name)
        if member is None or not member.stops:
            return False
        return await self._put_member(name, None, **changes)

    async def give_up_seats(self, names: Iterable[str]) -> bool:
        """Gives up the seats of instances that have stood down.

        Args:
            names: The instances; those that hold no such seat are left out.

        Returns:
            Whether it was done; none was given up if a row has changed.

        Raises:
            StoreError: The store did not answer or refused the call.
        """
        values: dict[str, RowValue] = {
            MEMBER_PREFIX + name: msgspec.structs.replace(
                self.members[name], resigned=True
            )
            for name in sorted(stood_down(self.members).intersection(names))
        }
        return bool(values) and await self.write(values) is not None

    async def take_seat(self, name: str, now: float) -> bool:
        """Puts an instance at the end of the line of voters.

        Args:
            name: The name of the instance.
            now: The current time in seconds on the store's clock.

        Returns:
            Whether it was done; another instance may have done so first.

        Raises:
            StoreError: The store did not answer or refused the call.
        """
        places = [
            self.members[other].place for other in line_of_voters(self.members)
        ]
        if self.seats is not None:
            places.append(self.seats.newest)
        # Places that exceed all others never displace a voter.
        place = max(now, math.nextafter(max(places, default=0.0), math.inf))
        return await self._put_member(
            name,
            {SEATS_KEY: Seats(newest=place)},
            resigned=False,
            seated=place,
        )

    async def _put_member(
        self,
        name: str,
        others: Mapping[str, RowValue] | None,
        /,
        **changes: bool | float,
    ) -> bool:
        """Changes an instance's row if it has not changed in the store.

        Raises:
            StoreError: The store did not answer or refused the call.
        """
        member = self.members.get(name)
        if member is None:
            return False
        changed = msgspec.structs.replace(member, **changes)
        values = {MEMBER_PREFIX + name: changed, **(others or {})}
        return await self.write(values) is not None

    async def _transact(
        self,
        *,
        conditions: list[Precondition],
        puts: list[PutRow] | None = None,
        removals: list[tuple[str, str]] | None = None,
    ) -> Committed | None:
        """Applies a transaction that relies on the local copy.

        A version that the local copy knows may have been given out again after
        a restore. The transaction therefore also requires that no later
        history is reconciled, and does not count if it was applied in one.

        Raises:
            UnreconciledError: The store has a later history.
        """
        if self._store.era > self.era:
            raise UnreconciledError
        committed = await self._store.transact(
            conditions=[
                *conditions,
                Precondition(TABLE, era_key(self.era + 1), 0),
            ],
            puts=puts or (),
            removals=removals or (),
        )
        if committed is None:
            log_event(
                "registry write refused",
                era=self._store.era,
                rows={row.key: row.version for row in conditions},
            )
        elif committed.era != self.era:
            raise UnreconciledError
        return committed

    async def reconcile(
        self,
        rows: Rows,
        *,
        name: str,
        epochs: Mapping[str, int],
        is_certain: bool,
    ) -> bool:
        """Brings a restored table up to date with what is known here.

        Args:
            rows: The whole table, as read from the store.
            name: The name of this instance.
            epochs: The newest epoch of each group that a peer has announced.
            is_certain: Whether a majority of the voters has told what it
                knows.

        Returns:
            Whether all changes were applied. Otherwise another instance has
            changed the table, and it must be read again.

        Raises:
            StoreError: The store did not answer or refused the call.
        """
        restored = RegistryRows.from_values(
            {row.key: row.value for row in rows.rows}
        )
        # A copy that was reconciled in a later history than this instance's
        # has rows that this instance has missed.
        newest_era = max(restored.marked_eras(), default=0)
        is_known = bool(self.era) and newest_era <= self.era
        known = RegistryRows.from_values(self._values) if is_known else None
        changes = reconcile(
            known,
            restored,
            era=rows.era,
            now=rows.now,
            name=name,
            epochs=epochs,
            is_certain=is_certain,
        )
        versions = {row.key: row.version for row in rows.rows}
        for batch in changes.batches(ROWS_PER_TRANSACTION):
            keys = batch.keys() | {era_key(rows.era)}
            committed = await self._store.transact(
                conditions=[
                    Precondition(TABLE, key, versions.get(key, 0))
                    for key in sorted(keys)
                ],
                puts=[
                    PutRow(TABLE, key, msgspec.json.encode(value))
                    for key, value in batch.items()
                    if value is not None
                ],
                removals=[
                    (TABLE, key)
                    for key, value in batch.items()
                    if value is None
                ],
            )
            if committed is None or committed.era != rows.era:
                return False
        log_event(
            "registry reconciled",
            era=rows.era,
            known_era=self.era,
            certain=is_certain and is_known,
            lost=[] if known is None else known.missing_from(restored),
            removed=changes.removals,
        )
        return True

    async def register(self, settings: InstanceSettings) -> Rows:
        """Registers this instance, and retries until it succeeds.

        Returns:
            The table as last read, which includes this instance.
        """
        is_loss_logged = False
        waiting_since: float | None = None
        while True:
            try:
                rows = await self._store.read_table(TABLE)
                # Only the first start of all finds a table that is rightly
                # empty.
                is_usable = settings.first_start or self.era or rows.rows
                if is_usable and self.load(rows):
                    missing = registration_rows(
                        settings,
                        members=self.members,
                        founding=self.founding,
                        era=self.era,
                        now=rows.now,
                    )
                    if not missing:
                        return rows
                    await self.write(missing)
                elif waiting_since is None:
                    waiting_since = trio.current_time()
                    log_event("waits for the restored registry", era=rows.era)
                elif trio.current_time() > waiting_since + RECONCILE_SECONDS:
                    await self.reconcile(
                        rows,
                        name=settings.instance,
                        epochs={},
                        is_certain=False,
                    )
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


def _decode_mark(era: int, value: bytes | None) -> Era | None:
    """Decodes the row that marks the registry as complete in a history."""
    row = decode_row(era_key(era), value)
    return row if isinstance(row, Era) else None
