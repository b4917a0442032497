"""Commits changes to the log and waits until they are in force."""

from random import Random
from typing import NamedTuple

import trio
from loguru import logger

from lagoonstair.config._changes import Change
from lagoonstair.config._log import Entry
from lagoonstair.config._parse import UnreadableError
from lagoonstair.config._replica import LocalReplica
from lagoonstair.config._store import SNAPSHOT_INTERVAL, Head, LogStore
from lagoonstair.config._timing import SyncTiming
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.ports import PlatformUnavailableError

SNAPSHOT_LOAD_LAG = 256
"""Lag behind the head, in versions, above which a snapshot is loaded."""


class ChangeResult(NamedTuple):
    """The result of a durable change.

    Attributes:
        version: The version that contains the change.
        in_force: Whether the version is accepted: no instance serves an older
            one once the freshness bound has passed.
        pending: The names of instances that have not confirmed the version.
        repeated: Whether an earlier run of the same operation committed it.
    """

    version: int
    in_force: bool
    pending: tuple[str, ...]
    repeated: bool = False


class DurableChange(NamedTuple):
    """A change that is in the log.

    Attributes:
        version: The version that contains the change.
        repeated: Whether an earlier run of the same operation committed it.
    """

    version: int
    repeated: bool


class _CommitAttempt:
    """The state of one operation that is being committed.

    Attributes:
        change: The change.
        operation_id: Identifies the operation.
        expected_version: The version that the edit is based on, once known.
        unknown_version: The version of a commit whose outcome is unknown and
            which may still take effect.
    """

    def __init__(
        self, change: Change, operation_id: str, expected: int | None
    ) -> None:
        self.change = change
        self.operation_id = operation_id
        self.expected_version = expected
        self.unknown_version: int | None = None


class Submitter:
    """Writes changes to the log in the store."""

    def __init__(
        self,
        replica: LocalReplica,
        store: LogStore,
        timing: SyncTiming,
        rng: Random,
    ) -> None:
        self._replica = replica
        self._rng = rng
        self._snapshot = 0
        self._store = store
        self._timing = timing

    async def read_head(self) -> Head:
        """Reads the head, catches up to it and adds the proof it gives.

        Raises:
            PlatformUnavailableError: The store does not respond.
            UnreadableError: An entry or snapshot can't be decoded.
        """
        asked_at = trio.current_time()
        head = await self._store.read_head()
        core = self._replica.core
        if head.version - core.version > SNAPSHOT_LOAD_LAG:
            self._replica.install_state(await self._store.load_snapshot())
        if head.version > core.version:
            after = core.version
            entries = await self._store.read_after(after, head.version)
            self._replica.apply_entries(entries)
        self._replica.add_store_proof(head.version, asked_at)
        return head

    async def make_durable(
        self, change: Change, *, expected: int | None, operation_id: str
    ) -> DurableChange:
        """Commits a change; concurrent edits of other items don't conflict.

        Raises:
            InvalidInputError: The change is invalid; nothing was changed.
            LagoonstairError: ``CONFLICT`` after another edit of its items;
                ``REQUEST_ID_REUSED``; ``UNAVAILABLE`` if the store does not
                respond; ``OUTCOME_UNKNOWN`` if the change may be in the log.
        """
        attempt = _CommitAttempt(change, operation_id, expected)
        with trio.move_on_after(self._timing.submit_timeout):
            while (durable := await self._try_commit(attempt)) is None:
                await trio.sleep(self._rng.uniform(0, self._timing.retry_delay))
            return durable
        if attempt.unknown_version is not None:
            raise LagoonstairError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the store did not say whether the change was made; repeat "
                "it with the same operation id",
            )
        raise LagoonstairError(
            ErrorKind.UNAVAILABLE, "the store does not answer"
        )

    async def _try_commit(
        self, attempt: _CommitAttempt
    ) -> DurableChange | None:
        """Makes one attempt; ``None`` means that it should be retried."""
        try:
            with trio.fail_after(self._timing.store_timeout):
                head = await self.read_head()
            committed = self._find_committed(attempt, head)
            if committed is not None:
                return committed
            return await self._commit(attempt, head)
        except (PlatformUnavailableError, trio.TooSlowError):
            return None
        except UnreadableError as exc:
            logger.error("can't read the configuration log: {}", exc)
            return None

    def _find_committed(
        self, attempt: _CommitAttempt, head: Head
    ) -> DurableChange | None:
        log_state = self._replica.core.log_state
        operation = log_state.find_operation(
            attempt.operation_id, attempt.change
        )
        if operation is not None:
            own_commit = attempt.unknown_version == operation.version
            return DurableChange(operation.version, repeated=not own_commit)
        # A commit with an unknown outcome can still take effect until another
        # entry has its version.
        if (
            attempt.unknown_version is not None
            and attempt.unknown_version <= head.version
        ):
            attempt.unknown_version = None
        if attempt.expected_version is None:
            attempt.expected_version = head.version
        log_state.check_expected_version(
            attempt.change, attempt.expected_version
        )
        return None

    async def _commit(
        self, attempt: _CommitAttempt, head: Head
    ) -> DurableChange | None:
        core = self._replica.core
        if core.version != head.version:
            return None
        entry = Entry(
            version=head.version + 1,
            operation_id=attempt.operation_id,
            accepted=core.accepted,
            change=attempt.change,
        )
        core.log_state.append(entry)
        previous, attempt.unknown_version = (
            attempt.unknown_version,
            entry.version,
        )
        try:
            with trio.fail_after(self._timing.store_timeout):
                committed = await self._store.commit(entry, head)
        except PlatformUnavailableError as exc:
            if not exc.may_have_applied:
                attempt.unknown_version = previous
            raise
        if not committed:
            attempt.unknown_version = previous
            return None
        self._replica.apply_entries([entry])
        return DurableChange(entry.version, repeated=False)

    async def save_snapshot(self) -> None:
        """Stores a snapshot after every ``SNAPSHOT_INTERVAL`` versions."""
        log_state = self._replica.core.log_state
        if log_state.version - self._snapshot < SNAPSHOT_INTERVAL:
            return
        try:
            with trio.fail_after(self._timing.store_timeout):
                self._snapshot = await self._store.save_snapshot(
                    log_state, every=SNAPSHOT_INTERVAL
                )
        except (PlatformUnavailableError, trio.TooSlowError) as exc:
            logger.warning("can't save a snapshot: {}", type(exc).__name__)

    async def wait_in_force(self, durable: DurableChange) -> ChangeResult:
        """Waits until a majority confirms a version or the wait times out.

        It then waits up to ``settle_timeout`` for the remaining members, so
        that a new key usually works at once on every instance.
        """
        core = self._replica.core
        version = durable.version
        with trio.move_on_after(self._timing.accept_timeout):
            await self._replica.wait_until(lambda: core.is_accepted(version))
        with trio.move_on_after(self._timing.settle_timeout):
            await self._replica.wait_until(lambda: not core.pending(version))
        return ChangeResult(
            version,
            core.is_accepted(version),
            core.pending(version),
            durable.repeated,
        )
