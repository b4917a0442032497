"""Makes a change durable, and waits until it is in force."""

from random import Random
from typing import NamedTuple

import trio
from loguru import logger

from lagoonstair.config._changes import Change
from lagoonstair.config._local import Local
from lagoonstair.config._log import Entry
from lagoonstair.config._parse import UnreadableError
from lagoonstair.config._store import SNAPSHOT_EVERY, Head, LogStore
from lagoonstair.config._timing import SyncTiming
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.ports import PlatformUnavailableError

SNAPSHOT_GAP = 256
"""Versions behind the head from which a snapshot is read."""


class Accepted(NamedTuple):
    """The answer to a change that is durable.

    Attributes:
        version: The version that has the change.
        in_force: Whether it is accepted: no instance serves an older version
            once the freshness bound has passed.
        pending: The instances that have not confirmed it.
        repeated: Whether an earlier run of the same operation made it.
    """

    version: int
    in_force: bool
    pending: tuple[str, ...]
    repeated: bool = False


class Durable(NamedTuple):
    """A change that is in the log.

    Attributes:
        version: The version that has the change.
        repeated: Whether an earlier run of the same operation made it.
    """

    version: int
    repeated: bool


class _Attempt:
    """One operation on its way into the log.

    Attributes:
        expected: The version that the edit is based on, once known.
        unknown: The version of a commit that was sent and may yet be made.
    """

    def __init__(
        self, change: Change, operation_id: str, expected: int | None
    ) -> None:
        self.change = change
        self.operation_id = operation_id
        self.expected = expected
        self.unknown: int | None = None


class Submitter:
    """Writes changes to the log in the store."""

    def __init__(
        self, local: Local, store: LogStore, timing: SyncTiming, rng: Random
    ) -> None:
        self._local = local
        self._rng = rng
        self._snapshot = 0
        self._store = store
        self._timing = timing

    async def read_head(self) -> Head:
        """Reads the head, puts all up to it in force, and takes the proof.

        Raises:
            PlatformUnavailableError: The store does not answer.
        """
        asked_at = trio.current_time()
        head = await self._store.read_head()
        core = self._local.core
        if head.version - core.version > SNAPSHOT_GAP:
            self._local.load(await self._store.load_snapshot())
        if head.version > core.version:
            after = core.version
            entries = await self._store.read_after(after, head.version)
            self._local.learn(entries)
        self._local.prove_by_store(head.version, asked_at)
        return head

    async def make_durable(
        self, change: Change, *, expected: int | None, operation_id: str
    ) -> Durable:
        """Commits a change; edits of other items don't hinder it.

        Raises:
            InvalidInputError: The change doesn't fit; nothing was changed.
            LagoonstairError: ``CONFLICT`` after another edit of its items;
                ``REQUEST_ID_REUSED``; ``UNAVAILABLE`` when the store does not
                answer; ``OUTCOME_UNKNOWN`` when it may be in the log.
        """
        attempt = _Attempt(change, operation_id, expected)
        with trio.move_on_after(self._timing.submit):
            while (durable := await self._try(attempt)) is None:
                await trio.sleep(self._rng.uniform(0, self._timing.retry))
            return durable
        if attempt.unknown is not None:
            raise LagoonstairError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the store did not say whether the change was made; repeat "
                "it with the same operation id",
            )
        raise LagoonstairError(
            ErrorKind.UNAVAILABLE, "the store does not answer"
        )

    async def _try(self, attempt: _Attempt) -> Durable | None:
        """Tries once; ``None`` asks for another try."""
        try:
            with trio.fail_after(self._timing.store):
                head = await self.read_head()
            found = self._find(attempt, head)
            if found is not None:
                return found
            return await self._commit(attempt, head)
        except (PlatformUnavailableError, trio.TooSlowError):
            return None
        except UnreadableError as exc:
            logger.error("the log can't be read: {}", exc)
            return None

    def _find(self, attempt: _Attempt, head: Head) -> Durable | None:
        history = self._local.core.history
        operation = history.find_operation(attempt.operation_id, attempt.change)
        if operation is not None:
            ours = attempt.unknown == operation.version
            return Durable(operation.version, repeated=not ours)
        # A late commit can only be ruled out once its version is taken.
        if attempt.unknown is not None and attempt.unknown <= head.version:
            attempt.unknown = None
        if attempt.expected is None:
            attempt.expected = head.version
        history.check_edit(attempt.change, attempt.expected)
        return None

    async def _commit(self, attempt: _Attempt, head: Head) -> Durable | None:
        core = self._local.core
        if core.version != head.version:
            return None
        entry = Entry(
            version=head.version + 1,
            operation_id=attempt.operation_id,
            accepted=core.accepted,
            change=attempt.change,
        )
        core.history.append(entry)
        before, attempt.unknown = attempt.unknown, entry.version
        try:
            with trio.fail_after(self._timing.store):
                done = await self._store.commit(entry, head)
        except PlatformUnavailableError as exc:
            if not exc.may_have_applied:
                attempt.unknown = before
            raise
        if not done:
            attempt.unknown = before
            return None
        self._local.learn([entry])
        return Durable(entry.version, repeated=False)

    async def save_snapshot(self) -> None:
        """Stores a snapshot if it is time for one."""
        history = self._local.core.history
        if history.version - self._snapshot < SNAPSHOT_EVERY:
            return
        try:
            with trio.fail_after(self._timing.store):
                self._snapshot = await self._store.save_snapshot(
                    history, every=SNAPSHOT_EVERY
                )
        except (PlatformUnavailableError, trio.TooSlowError) as exc:
            logger.warning("no snapshot: {}", type(exc).__name__)

    async def wait_in_force(self, durable: Durable) -> Accepted:
        """Waits until a majority confirms a version, or the time is over.

        The other members get a moment more, so that a new key usually works
        at once wherever it is used.
        """
        core = self._local.core
        version = durable.version
        with trio.move_on_after(self._timing.accept):
            await self._local.wait_until(lambda: core.in_force(version))
        with trio.move_on_after(self._timing.settle):
            await self._local.wait_until(lambda: not core.pending(version))
        return Accepted(
            version,
            core.in_force(version),
            core.pending(version),
            durable.repeated,
        )
