"""Per-group state of an owner: health watch, connections and slots."""

import random
from collections.abc import Callable

import trio

from lagoonstair.exceptions import LagoonstairError
from lagoonstair.groups import GroupWatch
from lagoonstair.pool import ConnectionPool, PinnedTransactions, PoolLimits
from lagoonstair.ports import Endpoint, ListedEndpoint, ListedGroup
from lagoonstair.queueing import SlotScheduler
from lagoonstair.retries import (
    AttemptFailure,
    Attempts,
    BudgetLimits,
    Decision,
    RetryBudget,
)
from lagoonstair.service._refusals import unavailable_error

Connect = Callable[[ListedEndpoint], Endpoint]
MakeWatch = Callable[[ListedGroup], GroupWatch]


class DatabaseRuntime:
    """The connections, slots and open transactions of one database.

    Attributes:
        listed: The database as the platform lists it.
        pool: The pool of connections to the database.
        slots: The scheduler of the database's slots.
        pinned: The open transactions. They may use all slots but one, so that
            they cannot block other requests entirely; a database with a single
            slot allows one transaction.
    """

    def __init__(
        self,
        listed: ListedEndpoint,
        endpoint: Endpoint,
        *,
        transaction_idle: float,
    ) -> None:
        self.listed = listed
        limits = PoolLimits(connections=listed.connections)
        self.pool = ConnectionPool(endpoint, limits)
        self.slots = SlotScheduler(listed.slots)
        self.pinned = PinnedTransactions(
            self.pool,
            limit=max(1, listed.slots - 1),
            idle_seconds=transaction_idle,
        )
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Keeps connections open until stopped or cancelled."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.pool.run)
                nursery.start_soon(self.pinned.run)

    def stop(self) -> None:
        """Rolls open transactions back and closes the connections."""
        self._scope.cancel()


class GroupRuntime:
    """The state of one group on an instance that executes its requests.

    Attributes:
        name: The name of the group.
        watch: Observes the group's health, primary and log positions.
    """

    def __init__(
        self,
        listed: ListedGroup,
        *,
        connect: Connect,
        make_watch: MakeWatch,
        transaction_idle: float,
        rng: random.Random,
    ) -> None:
        """Initializes the group; ``run`` starts it.

        Args:
            listed: The group as the platform lists it.
            connect: Creates the adapter to a member.
            make_watch: Creates the watch of the group.
            transaction_idle: Time without a request after which an open
                transaction is ended, in seconds.
            rng: Source of the jitter in retry delays.
        """
        self.name = listed.name
        self.watch = make_watch(listed)
        self._connect = connect
        self._transaction_idle = transaction_idle
        self._budget = RetryBudget(BudgetLimits(), trio.current_time())
        self._rng = rng
        self._nursery: trio.Nursery | None = None
        self._databases: dict[str, DatabaseRuntime] = {}
        for member in listed.members:
            self._add(member)

    async def run(self) -> None:
        """Watches the group until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for database in self._databases.values():
                nursery.start_soon(database.run)
            nursery.start_soon(self.watch.run)

    def database(self, name: str) -> DatabaseRuntime:
        """Returns the connections and slots of a member.

        Raises:
            LagoonstairError: ``UNAVAILABLE``; the platform no longer lists the
                member.
        """
        database = self._databases.get(name)
        if database is None:
            raise unavailable_error(f"database {name} is not listed any more")
        return database

    def decide_retry(
        self, attempts: Attempts, exc: LagoonstairError, retryable: bool
    ) -> Decision:
        """Decides whether to send a failed write to the primary again.

        Args:
            attempts: The attempts at the write so far.
            exc: The error of the last attempt.
            retryable: Whether another attempt may succeed.
        """
        return attempts.record_failure(
            AttemptFailure(exc.response.outcome, retryable=retryable),
            now=trio.current_time(),
            budget=self._budget,
            rng=self._rng,
        )

    @property
    def idle(self) -> bool:
        """Whether no request or open transaction uses the group here."""
        return all(
            database.slots.running == 0 and database.pinned.open_count == 0
            for database in self._databases.values()
        )

    def load(self) -> dict[str, float]:
        """Returns the fraction of each member's slots that is in use."""
        return {
            name: database.slots.running / max(1, database.listed.slots)
            for name, database in self._databases.items()
        }

    def update_listing(self, version: int, listed: ListedGroup) -> None:
        """Applies a newer listing of the group's members.

        A member whose address changed is treated as a new database.

        Args:
            version: The version of the platform's listing.
            listed: The group in that listing.
        """
        self.watch.update_listing(version, listed)
        current = {member.name: member for member in listed.members}
        for name in self._databases.keys() - current.keys():
            self._databases.pop(name).stop()
        for name, member in current.items():
            known = self._databases.get(name)
            if known is None:
                self._add(member)
            elif known.listed.address != member.address:
                known.stop()
                self._add(member)
            else:
                known.slots.resize(member.slots)

    def withdraw(self, key_id: str) -> None:
        """Rejects queued requests and ends transactions of a key."""
        for database in self._databases.values():
            database.slots.withdraw(key_id)
            database.pinned.close_key(key_id)

    def _add(self, member: ListedEndpoint) -> None:
        database = DatabaseRuntime(
            member,
            self._connect(member),
            transaction_idle=self._transaction_idle,
        )
        self._databases[member.name] = database
        if self._nursery is not None:
            self._nursery.start_soon(database.run)
