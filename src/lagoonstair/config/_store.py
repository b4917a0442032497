"""The log and its snapshots in the platform's service."""

import json
from typing import NamedTuple

from lagoonstair.config._log import Entry, LogState
from lagoonstair.ports import Platform, Row, Transaction

HEAD_KEY = "config/head"
LOG_PREFIX = "config/log/"
SNAPSHOT_KEY = "config/snapshot"
SNAPSHOT_INTERVAL = 64
"""Versions between two snapshots."""
LOG_PAGE_SIZE = 100
"""Entries read at once."""


class Head(NamedTuple):
    """The newest version in the store.

    Attributes:
        version: The version; 0 when the log is empty.
        row_version: The row's version, on which the next commit depends.
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
    """Reads and writes the log.

    Every method raises ``PlatformUnavailableError`` like the platform.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def read_head(self) -> Head:
        """Reads the newest version."""
        rows = await self._platform.read([HEAD_KEY])
        return Head(_version_in(rows[HEAD_KEY]), rows[HEAD_KEY].version)

    async def read_after(self, version: int, head: int) -> list[Entry]:
        """Reads the entries after a version, up to the head."""
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
        """Appends an entry; false when the head has moved."""
        transaction = Transaction(
            conditions={HEAD_KEY: head.row_version, _log_key(entry.version): 0},
            writes={
                HEAD_KEY: _with_version(entry.version),
                _log_key(entry.version): entry.to_bytes(),
            },
        )
        return await self._platform.transact(transaction)

    async def save_snapshot(self, log_state: LogState, *, every: int) -> int:
        """Stores a state whole, then points to it.

        Args:
            log_state: The state.
            every: How many versions must lie between two snapshots.

        Returns:
            The version of the snapshot that was found or stored.
        """
        rows = await self._platform.read([SNAPSHOT_KEY])
        row = rows[SNAPSHOT_KEY]
        kept = _version_in(row)
        if log_state.version - kept < every:
            return kept
        name = f"{SNAPSHOT_KEY}/{log_state.version:012d}"
        await self._platform.put_object(name, log_state.to_snapshot())
        transaction = Transaction(
            conditions={SNAPSHOT_KEY: row.version},
            writes={SNAPSHOT_KEY: _with_version(log_state.version)},
        )
        stored = await self._platform.transact(transaction)
        return log_state.version if stored else kept

    async def load_snapshot(self) -> LogState:
        """Reads the latest state that was stored; an empty one at first."""
        rows = await self._platform.read([SNAPSHOT_KEY])
        version = _version_in(rows[SNAPSHOT_KEY])
        content = None
        if version:
            name = f"{SNAPSHOT_KEY}/{version:012d}"
            content = await self._platform.get_object(name)
        return (
            LogState() if content is None else LogState.from_snapshot(content)
        )
