"""Follows the store's tables through their change feeds."""

import functools
from collections.abc import Callable
from typing import NamedTuple

import trio

from lagoonstair.platform import discovery, operator
from lagoonstair.platform.store import (
    HistoryLostError,
    Rows,
    Store,
    StoreError,
)
from lagoonstair.proxy._fleet import Fleet, jittered
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._registry import Registry, UnreconciledError
from lagoonstair.proxy._registry_rows import TABLE
from lagoonstair.proxy._tables import Tables

FEED_WAIT_SECONDS = 20.0
"""Time (s) for which a feed call waits for a change; each call is charged
for."""

RETRY_SECONDS = 0.25
"""First delay (s) before a retry after a store failure; it doubles up to
``MAX_RETRY_SECONDS``."""

MAX_RETRY_SECONDS = 1.0
"""Upper bound (s) on the retry delay before jitter, so that the end of an
outage is noticed within about this time."""

ENDPOINTS_PERIOD_SECONDS = 1.0
"""Least interval (s) between calls for the endpoint entries, which change with
every heartbeat."""

MISSING_ENTRY_SECONDS = 2.5
"""Time (s) for which an endpoint whose entry is missing stays in use. After an
outage of the store, the entries return within 2 s."""


ENDPOINT_READERS = 2
"""Number of instances that follow the endpoint entries in the store; the others
get them from these instances."""

PEER_DATA_WAIT_SECONDS = 1.5
"""Time (s) for which a newly started instance waits for its peers to send it
the store data."""

VOTER_SILENCE_SECONDS = 2.0
"""Time (s) without an answer from any voter after which an instance reads the
store itself."""

STALE_ENDPOINTS_SECONDS = 2.5
"""Age (s) of the endpoint entries beyond which a voter reads them itself."""

CONFIG_REWRITE_SECONDS = 10.0
"""Time (s) after a restore of the store within which the operator writes a lost
configuration again."""

CONFIRMATION_CHECK_SECONDS = 0.02
"""Interval (s) between checks of whether a newly started instance's data is
confirmed."""

ROLE_CHECK_SECONDS = 0.3
"""Interval (s) between checks of whether this instance must read the store."""


class _Feed(NamedTuple):
    """A table that is followed.

    Attributes:
        table: The name of the table.
        apply: Applies rows; told whether they are the whole table.
        is_needed: Returns whether this instance is to read the table.
        period: Least interval between calls, in seconds.
        started: Set once the table is known, or could not be applied.
    """

    table: str
    apply: Callable[[Rows, bool], bool]
    is_needed: Callable[[], bool]
    period: float
    started: trio.Event


class Follower:
    """Keeps the local state up to date with the store.

    The voters follow the store, and the other instances get the changes from
    the voters by gossip.

    Attributes:
        reached_at: When the newest store call that was answered was sent, in
            seconds.
    """

    def __init__(
        self,
        store: Store,
        fleet: Fleet,
        registry: Registry,
        tables: Tables,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._registry = registry
        self._metrics = metrics
        self._tables = tables
        self._is_store_lost = False
        self._registered_at = 0.0
        self._store_now = 0.0
        self._answered_at = 0.0
        self._era = 0
        self._config_read_at: tuple[int, int] | None = None
        self.reached_at = float("-inf")

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follows all tables; reports as started once each is known."""
        with trio.move_on_after(PEER_DATA_WAIT_SECONDS):
            while not self._tables.is_confirmed and (
                self._is_store_behind() or not self._must_read_store()
            ):
                await trio.sleep(CONFIRMATION_CHECK_SECONDS)
        supervise = self._fleet.supervisor.run
        async with trio.open_nursery() as nursery:
            for table, apply, period in (
                (TABLE, self._apply_registry, 0.0),
                (operator.TABLE, self._apply_config, 0.0),
                (
                    discovery.TABLE,
                    self._apply_endpoints,
                    ENDPOINTS_PERIOD_SECONDS,
                ),
            ):
                is_needed = (
                    self._must_read_endpoints
                    if table == discovery.TABLE
                    else self._must_read_store
                )
                feed = _Feed(table, apply, is_needed, period, trio.Event())
                follow = functools.partial(self._follow_or_fail, feed)
                nursery.start_soon(supervise, f"follower of {table}", follow)
                await feed.started.wait()
            nursery.start_soon(
                supervise, "endpoint expiry", self._expire_endpoints
            )
            task_status.started()

    def apply_registration(self, rows: Rows) -> None:
        """Applies the registry rows that were read during registration."""
        self._registered_at = trio.current_time()
        self._note_answer(rows)
        self._tables.apply_registry()
        self._fleet.primacy.note_store_read(rows.asked_at)

    async def read_registry(self) -> None:
        """Reads the whole registry from the store now.

        Raises:
            StoreError: The store did not answer or refused the call.
            UnreconciledError: The table was restored from an older copy.
        """
        rows = await self._store.read_table(TABLE)
        self._note_answer(rows)
        if not self._apply_registry(rows, True):
            raise UnreconciledError

    async def read_config(self, timeout: float) -> None:
        """Reads the configuration from the store now.

        The rows, which may be large, are left out if nothing has been written
        since they were last read. The whole table is read where it also names
        the evacuated failure domains.

        Args:
            timeout: Seconds to wait for each answer.

        Raises:
            StoreError: The store did not answer or refused the call.
        """
        is_whole = False
        try:
            rows = await self._store.read_version(operator.TABLE, timeout)
            if (rows.era, rows.version) != self._config_read_at:
                rows = await self._read_config_rows(timeout)
                is_whole = self._fleet.evacuation.is_enabled
        except StoreError as exc:
            self._note_failure(operator.TABLE, exc)
            raise
        self._note_answer(rows)
        self._apply_config_read(rows, "check", is_whole=is_whole)

    async def _read_config_rows(self, timeout: float) -> Rows:
        if self._fleet.evacuation.is_enabled:
            return await self._store.read_table(operator.TABLE, timeout)
        return await self._store.read_row(operator.TABLE, operator.KEY, timeout)

    @property
    def endpoints_age(self) -> float:
        """Seconds since any instance read the known endpoint entries."""
        return trio.current_time() - self._tables.endpoints_asked_at

    @property
    def store_now(self) -> float:
        """Estimate of the store's clock, in seconds."""
        return self._store_now + trio.current_time() - self._answered_at

    async def _follow_or_fail(self, feed: _Feed) -> None:
        """Follows a table until cancelled or until it fails unexpectedly."""
        try:
            await self._follow(feed)
        finally:
            # What could be applied is in use. An instance that waited for the
            # rest would do so at each start.
            feed.started.set()

    async def _follow(self, feed: _Feed) -> None:
        table, apply, is_needed, period, started = feed
        version = era = 0
        pause = RETRY_SECONDS
        was_rewriting = False
        # A majority that is cut off from the store agrees on what is outdated.
        if self._tables.is_confirmed and (
            table != operator.TABLE
            or self._tables.config_age.is_current(trio.current_time())
        ):
            started.set()
        while True:
            if started.is_set() and not is_needed():
                await trio.sleep(ROLE_CHECK_SECONDS)
                version = 0
                continue
            # Entries that were left out as older than the known ones do not
            # come again with the feed.
            is_full_read = version == 0 or was_rewriting
            was_rewriting = (
                table == discovery.TABLE and self._tables.awaits_rewrites
            )
            try:
                if is_full_read:
                    rows = await self._store.read_table(table)
                else:
                    rows = await self._store.follow(
                        table, version, FEED_WAIT_SECONDS, era=era
                    )
            except HistoryLostError:
                log_event("store history lost", table=table, version=version)
                version = 0
                continue
            except StoreError as exc:
                self._note_failure(table, exc)
                if self._tables.is_confirmed:
                    started.set()
                await trio.sleep(jittered(pause))
                pause = min(MAX_RETRY_SECONDS, pause * 2)
                continue
            pause = RETRY_SECONDS
            is_outdated = (rows.era, rows.version) < (era, version)
            if not is_outdated:
                self._note_answer(rows)
            if is_outdated or not apply(rows, is_full_read):
                # Read again: the answer is older than the known state, or
                # nobody has reconciled the restored registry yet.
                version = version if is_outdated else 0
                await trio.sleep(jittered(RETRY_SECONDS))
                continue
            version, era = rows.version, rows.era
            started.set()
            remaining = rows.asked_at + period - trio.current_time()
            if remaining > 0:
                await trio.sleep(remaining)

    def _note_answer(self, rows: Rows) -> None:
        self.reached_at = max(self.reached_at, rows.asked_at)
        self._store_now = rows.now
        self._answered_at = trio.current_time()
        self._metrics.set("store_calls", self._store.calls)
        if rows.era > self._era:
            if self._era:
                log_event(
                    "store restored",
                    era=rows.era,
                    previous=self._era,
                    version=rows.version,
                )
                self._tables.note_restore()
            self._era = rows.era
            self._metrics.set("store_era", rows.era)
        if self._is_store_lost:
            self._is_store_lost = False
            log_event("store regained")
            now = trio.current_time()
            for name in self._fleet.missing_since:
                self._fleet.missing_since[name] = now

    def _note_failure(self, table: str, exc: StoreError) -> None:
        self._metrics.count("store_failures")
        if not self._is_store_lost:
            self._is_store_lost = True
            log_event("store lost", table=table, cause=str(exc))

    def _apply_registry(self, rows: Rows, is_full_read: bool) -> bool:
        apply = (
            self._registry.load
            if is_full_read
            else self._registry.apply_changes
        )
        if not apply(rows):
            return False
        if is_full_read or rows.rows:
            self._tables.apply_registry()
        # A proof of what has been applied; until then it may be older.
        self._fleet.primacy.note_store_read(rows.asked_at)
        return True

    def _apply_config(self, rows: Rows, is_full_read: bool) -> bool:
        if is_full_read:
            self._apply_config_read(rows, "read", is_whole=True)
        else:
            self._apply_config_rows(rows, "feed", is_whole=False)
        return True

    def _apply_config_read(
        self, rows: Rows, source: str, *, is_whole: bool
    ) -> None:
        """Applies a read, which shows what is newest; a feed does not."""
        if self._apply_config_rows(rows, source, is_whole=is_whole):
            self._config_read_at = rows.era, rows.version
            self._tables.config_age.note_read(rows.asked_at)

    def _apply_config_rows(
        self, rows: Rows, source: str, *, is_whole: bool
    ) -> bool:
        """Applies the operator's rows.

        Returns:
            Whether the configuration among them is valid.
        """
        is_valid = all(
            self._tables.apply_config(row.value, source=source)
            for row in rows.rows
            if row.key == operator.KEY and row.value is not None
        )
        self._tables.apply_evacuations(rows, is_whole=is_whole, source=source)
        return is_valid

    def _apply_endpoints(self, rows: Rows, is_full_read: bool) -> bool:
        self._tables.endpoints_asked_at = rows.asked_at
        if is_full_read:
            self._tables.apply_endpoints(
                {row.key: row.value or b"" for row in rows.rows}
            )
            return True
        for row in rows.rows:
            self._tables.apply_endpoint_change(row.key, row.value)
        return True

    def _is_store_behind(self) -> bool:
        """Returns whether other writers' rows may still be those of a copy.

        After a restore, peers may hold a newer configuration than the store.
        """
        age = self.store_now - self._registry.restored_at
        return age < CONFIG_REWRITE_SECONDS

    def _must_read_store(self) -> bool:
        voters = self._registry.voters()
        if self._fleet.name in voters:
            return True
        now = trio.current_time()
        asked_at = self._tables.last_asked_at
        return all(
            now - asked_at.get(name, self._registered_at)
            > VOTER_SILENCE_SECONDS
            for name in voters
        )

    def _must_read_endpoints(self) -> bool:
        voters = self._registry.voters()
        members = self._registry.members
        readers = [name for name in voters if not members[name].stops]
        if self._fleet.name in readers[:ENDPOINT_READERS]:
            return True
        age = trio.current_time() - self._tables.endpoints_asked_at
        if self._fleet.name in voters:
            return age > STALE_ENDPOINTS_SECONDS
        return age > STALE_ENDPOINTS_SECONDS and self._must_read_store()

    async def _expire_endpoints(self) -> None:
        """Removes endpoints whose entry has been missing for too long.

        Nothing is removed during an outage of the store.
        """
        while True:
            await trio.sleep(RETRY_SECONDS)
            if self._is_store_lost:
                continue
            now = trio.current_time()
            for name, since in [*self._fleet.missing_since.items()]:
                if now - since > MISSING_ENTRY_SECONDS:
                    self._fleet.drop_endpoint(name)
