"""Notifies listeners and waiting tasks of changes to the replica."""

import contextlib
from collections.abc import Callable, Iterable, Iterator

import trio
from loguru import logger

from lagoonstair.config._core import ConfigUpdate, ReplicaCore
from lagoonstair.config._faults import InvalidInputError
from lagoonstair.config._log import Entry, LogState
from lagoonstair.config._messages import Delta, VersionReport
from lagoonstair.config._parse import UnreadableError

Listener = Callable[[ConfigUpdate], None]


class LocalReplica:
    """Passes events to the core and notifies of the changes they cause.

    Attributes:
        core: The core, which makes the decisions without I/O.
    """

    def __init__(self, core: ReplicaCore) -> None:
        self.core = core
        self._listeners: list[Listener] = []
        self._changed = trio.Event()

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener after each change to a newer version."""
        self._listeners.append(listener)

    def apply_entries(self, entries: Iterable[Entry]) -> None:
        """Puts committed entries in force; notifies listeners of each."""
        for entry in entries:
            with self._notifying_listeners():
                self.core.apply_entries([entry])

    def install_state(self, log_state: LogState) -> None:
        """Puts a committed state in force."""
        with self._notifying_listeners():
            self.core.install_state(log_state)

    def apply_delta(self, delta: Delta) -> None:
        """Puts a peer's versions in force; notifies listeners of each."""
        if delta.snapshot is not None:
            with self._notifying_listeners():
                self.core.install_state(LogState.from_snapshot(delta.snapshot))
        for content in delta.entries:
            with self._notifying_listeners():
                self.core.apply_entries([Entry.from_bytes(content)])
        self.core.record_accepted(delta.accepted)

    def record_report(self, report: VersionReport) -> None:
        """Records a peer's version."""
        self.core.record_report(report)
        self._notify_waiters()

    def add_store_proof(self, head: int, asked_at: float) -> None:
        """Adds the proof given by the head's version in the store."""
        self.core.add_store_proof(head, asked_at)
        self._notify_waiters()

    def add_relayed_proof(self, report: VersionReport, asked_at: float) -> None:
        """Adds the proof in a peer's report, if there is one."""
        self.core.add_relayed_proof(report, asked_at)
        self._notify_waiters()

    def add_majority_proof(
        self, reports: Iterable[VersionReport], asked_at: float
    ) -> bool:
        """Adds the proof by a majority; returns whether there is one."""
        now = trio.current_time()
        proved = self.core.add_majority_proof(reports, asked_at, now)
        self._notify_waiters()
        return proved

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition on the core is true."""
        while not condition():
            await self._changed.wait()

    @contextlib.contextmanager
    def _notifying_listeners(self) -> Iterator[None]:
        """Notifies listeners of the version that a block puts in force.

        At an entry that this program version can't read, the replica stays at
        the version before it, which it serves only while its proof is valid.
        """
        old = self.core.log_state.configuration
        try:
            yield
        except (InvalidInputError, UnreadableError) as exc:
            logger.error("can't apply the configuration log: {}", exc)
        new = self.core.log_state.configuration
        if new is not old:
            for listener in self._listeners:
                listener(ConfigUpdate(old, new))
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
