"""The configuration log and its snapshots in the platform's store."""

import json
from typing import NamedTuple

from lagoonstair.config._log import Entry, LogState
from lagoonstair.ports import Platform, Row, Transaction

HEAD_KEY = "config/head"
"""Key of the row that holds the newest version in the log."""
LOG_PREFIX = "config/log/"
"""Prefix of the keys of log entries; the zero-padded version follows."""
SNAPSHOT_KEY = "config/snapshot"
"""Key of the row that holds the version of the latest snapshot.

It is also the prefix of the names of the snapshot objects."""
SNAPSHOT_INTERVAL = 64
"""Least number of versions between two snapshots."""
LOG_PAGE_SIZE = 100
"""Log entries read by one scan."""


class Head(NamedTuple):
    """The newest version in the store.

    Attributes:
        version: The version; 0 if the log is empty.
        row_version: The version of the head's row, which is a condition of
            the next commit.
    """

    version: int
    row_version: int


def _log_key(version: int) -> str:
    return f"{LOG_PREFIX}{version:012d}"


def _version_in(row: Row) -> int:
    if not row.version:
        return 0
    version: int = json.loads(row.value)["version"]
    return version


def _with_version(version: int) -> bytes:
    return json.dumps({"version": version}).encode()


class LogStore:
    """Reads and writes the log and its snapshots.

    Every method raises ``PlatformUnavailableError`` if the platform's call
    does.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def read_head(self) -> Head:
        """Reads the newest version."""
        rows = await self._platform.read([HEAD_KEY])
        return Head(_version_in(rows[HEAD_KEY]), rows[HEAD_KEY].version)

    async def read_after(self, version: int, head: int) -> list[Entry]:
        """Reads the entries after a version, at least up to the head.

        The result is shorter if the store lacks entries.
        """
        entries: list[Entry] = []
        while version < head:
            rows = await self._platform.scan(
                LOG_PREFIX, after=_log_key(version), limit=LOG_PAGE_SIZE
            )
            if not rows:
                break
            entries += [Entry.from_bytes(row.value) for _, row in rows]
            version = entries[-1].version
        return entries

    async def commit(self, entry: Entry, head: Head) -> bool:
        """Appends an entry; returns false if the head has changed."""
        transaction = Transaction(
            conditions={HEAD_KEY: head.row_version, _log_key(entry.version): 0},
            writes={
                HEAD_KEY: _with_version(entry.version),
                _log_key(entry.version): entry.to_bytes(),
            },
        )
        return await self._platform.transact(transaction)

    async def save_snapshot(self, log_state: LogState, *, every: int) -> int:
        """Stores a complete snapshot, then updates the pointer to it.

        Args:
            log_state: The state.
            every: The least number of versions between two snapshots.

        Returns:
            The version of the snapshot that was found or stored.
        """
        rows = await self._platform.read([SNAPSHOT_KEY])
        row = rows[SNAPSHOT_KEY]
        stored_version = _version_in(row)
        if log_state.version - stored_version < every:
            return stored_version
        name = f"{SNAPSHOT_KEY}/{log_state.version:012d}"
        await self._platform.put_object(name, log_state.to_snapshot())
        transaction = Transaction(
            conditions={SNAPSHOT_KEY: row.version},
            writes={SNAPSHOT_KEY: _with_version(log_state.version)},
        )
        stored = await self._platform.transact(transaction)
        return log_state.version if stored else stored_version

    async def load_snapshot(self) -> LogState:
        """Reads the latest snapshot; returns an empty state without one."""
        rows = await self._platform.read([SNAPSHOT_KEY])
        version = _version_in(rows[SNAPSHOT_KEY])
        content = None
        if version:
            name = f"{SNAPSHOT_KEY}/{version:012d}"
            content = await self._platform.get_object(name)
        return (
            LogState() if content is None else LogState.from_snapshot(content)
        )
