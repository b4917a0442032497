"""Follows the store's tables."""

from collections.abc import Callable

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
from lagoonstair.proxy._registry import TABLE, Registry
from lagoonstair.proxy._tables import Tables

FEED_WAIT_SECONDS = 20.0
"""How long a call of the feed waits; each one is priced."""

RETRY_SECONDS = 0.25
"""Before the store is called again after a failure; doubles up to the next."""

MAX_RETRY_SECONDS = 1.0
"""An outage must be over for no longer than this before it is noticed."""

ENDPOINTS_PERIOD_SECONDS = 1.0
"""Least time between two calls for the endpoints' entries, which change with
each heartbeat."""

MISSING_SECONDS = 2.5
"""How long an endpoint whose entry is missing stays in use; entries are back
within two seconds after an outage of the store."""


ENDPOINT_READERS = 2
"""Instances that follow the endpoints' entries; the others ask them."""

LEARN_SECONDS = 1.5
"""How long an instance that has just started waits for the others to tell it
what the store holds."""

SILENT_SECONDS = 2.0
"""An instance that has heard from no voter for so long asks the store."""

STALE_SECONDS = 2.5
"""A voter whose endpoints are older than this reads them itself."""

IDLE_SECONDS = 0.3
"""Between two looks at whether the store must be asked."""


class Follower:
    """Keeps what the store holds in force here.

    The voters follow the store, and the other instances learn from them.

    Attributes:
        reached_at: When the last answered call was asked, in seconds.
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
        self._lost = False
        self._began = 0.0
        self._store_now = 0.0
        self._answered_at = 0.0
        self.reached_at = float("-inf")

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follows all tables; reports once each is known."""
        with trio.move_on_after(LEARN_SECONDS):
            while not (self._reads_store() or self._tables.is_complete):
                await self._fleet.wait_change(IDLE_SECONDS)
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
                needed = (
                    self._reads_endpoints
                    if table == discovery.TABLE
                    else self._reads_store
                )
                await nursery.start(self._follow, table, apply, needed, period)
            nursery.start_soon(self._expire_endpoints)
            task_status.started()

    def apply_registration(self, rows: Rows) -> None:
        """Takes the own table over from the registration."""
        self._began = trio.current_time()
        self._note_answer(rows)
        self._fleet.primacy.note_store_read(rows.asked_at)
        self._tables.apply_registry()

    async def read_registry(self) -> None:
        """Reads the system's own table now.

        Raises:
            StoreError: The store did not answer, or refused.
        """
        rows = await self._store.read_table(TABLE)
        self._note_answer(rows)
        self._apply_registry(rows, True)

    @property
    def endpoints_age(self) -> float:
        """Seconds since the endpoints' entries were read, here or elsewhere."""
        return trio.current_time() - self._tables.endpoints_asked_at

    @property
    def store_now(self) -> float:
        """The store's clock, as estimated (s)."""
        return self._store_now + trio.current_time() - self._answered_at

    async def _follow(
        self,
        table: str,
        apply: Callable[[Rows, bool], None],
        needed: Callable[[], bool],
        period: float,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        version = 0
        pause = RETRY_SECONDS
        started = self._tables.is_complete
        if started:
            task_status.started()
        while True:
            if started and not needed():
                await trio.sleep(IDLE_SECONDS)
                version = 0
                continue
            whole = version == 0
            try:
                if whole:
                    rows = await self._store.read_table(table)
                else:
                    rows = await self._store.follow(
                        table, version, FEED_WAIT_SECONDS
                    )
            except HistoryLostError:
                log_event("store history lost", table=table, version=version)
                version = 0
                continue
            except StoreError as exc:
                self._note_loss(table, exc)
                await trio.sleep(jittered(pause))
                pause = min(MAX_RETRY_SECONDS, pause * 2)
                continue
            pause = RETRY_SECONDS
            if rows.version < version:
                # An answer from before what is known; nothing to learn.
                await trio.sleep(jittered(RETRY_SECONDS))
                continue
            self._note_answer(rows)
            apply(rows, whole)
            version = rows.version
            if not started:
                started = True
                task_status.started()
            left = rows.asked_at + period - trio.current_time()
            if left > 0:
                await trio.sleep(left)

    def _note_answer(self, rows: Rows) -> None:
        self.reached_at = max(self.reached_at, rows.asked_at)
        self._store_now = rows.now
        self._answered_at = trio.current_time()
        self._metrics.set("store_calls", self._store.calls)
        if self._lost:
            self._lost = False
            log_event("store regained")
            now = trio.current_time()
            for name in self._fleet.missing_since:
                self._fleet.missing_since[name] = now

    def _note_loss(self, table: str, exc: StoreError) -> None:
        self._metrics.count("store_failures")
        if not self._lost:
            self._lost = True
            log_event("store lost", table=table, cause=str(exc))

    def _apply_registry(self, rows: Rows, whole: bool) -> None:
        if whole:
            self._registry.load(rows.rows, rows.version)
        else:
            self._registry.apply_changes(rows.rows)
        self._fleet.primacy.note_store_read(rows.asked_at)
        if whole or rows.rows:
            self._tables.apply_registry()

    def _apply_config(self, rows: Rows, whole: bool) -> None:
        for row in rows.rows:
            if row.key == operator.KEY and row.value is not None:
                self._tables.apply_config(row.value)

    def _apply_endpoints(self, rows: Rows, whole: bool) -> None:
        self._tables.endpoints_asked_at = rows.asked_at
        if whole:
            self._tables.apply_endpoints(
                {row.key: row.value or b"" for row in rows.rows}
            )
            return
        for row in rows.rows:
            self._tables.apply_endpoint_change(row.key, row.value)

    def _reads_store(self) -> bool:
        voters = self._registry.voters()
        if self._fleet.name in voters:
            return True
        now = trio.current_time()
        heard = self._tables.last_asked_at
        return all(
            now - heard.get(name, self._began) > SILENT_SECONDS
            for name in voters
        )

    def _reads_endpoints(self) -> bool:
        voters = self._registry.voters()
        if self._fleet.name in voters[:ENDPOINT_READERS]:
            return True
        age = trio.current_time() - self._tables.endpoints_asked_at
        if self._fleet.name in voters:
            return age > STALE_SECONDS
        return age > STALE_SECONDS and self._reads_store()

    async def _expire_endpoints(self) -> None:
        """Drops endpoints whose entry has been missing with the store up."""
        while True:
            await trio.sleep(RETRY_SECONDS)
            if self._lost:
                continue
            now = trio.current_time()
            for name, since in [*self._fleet.missing_since.items()]:
                if now - since > MISSING_SECONDS:
                    self._fleet.drop_endpoint(name)
