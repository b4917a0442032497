"""The log and its snapshots in the platform's service."""

import json
from typing import NamedTuple

from lagoonstair.config._log import Entry, History
from lagoonstair.ports import Platform, Row, Transaction

HEAD = "config/head"
LOG = "config/log/"
SNAPSHOT = "config/snapshot"
SNAPSHOT_EVERY = 64
"""Versions between two snapshots."""
PAGE = 100
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
    return f"{LOG}{version:012d}"


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
        rows = await self._platform.read([HEAD])
        return Head(_version_in(rows[HEAD]), rows[HEAD].version)

    async def read_after(self, version: int, head: int) -> list[Entry]:
        """Reads the entries after a version, up to the head."""
        entries: list[Entry] = []
        while version < head:
            rows = await self._platform.scan(
                LOG, after=_log_key(version), limit=PAGE
            )
            if not rows:
                break
            entries += [Entry.from_bytes(row.value) for _, row in rows]
            version = entries[-1].version
        return entries

    async def commit(self, entry: Entry, head: Head) -> bool:
        """Appends an entry; false when the head has moved."""
        transaction = Transaction(
            conditions={HEAD: head.row_version, _log_key(entry.version): 0},
            writes={
                HEAD: _with_version(entry.version),
                _log_key(entry.version): entry.to_bytes(),
            },
        )
        return await self._platform.transact(transaction)

    async def save_snapshot(self, history: History, *, every: int) -> int:
        """Stores a state whole, then points to it.

        Args:
            history: The state.
            every: How many versions must lie between two snapshots.

        Returns:
            The version of the snapshot that was found or stored.
        """
        rows = await self._platform.read([SNAPSHOT])
        row = rows[SNAPSHOT]
        kept = _version_in(row)
        if history.version - kept < every:
            return kept
        name = f"{SNAPSHOT}/{history.version:012d}"
        await self._platform.put_object(name, history.to_snapshot())
        transaction = Transaction(
            conditions={SNAPSHOT: row.version},
            writes={SNAPSHOT: _with_version(history.version)},
        )
        stored = await self._platform.transact(transaction)
        return history.version if stored else kept

    async def load_snapshot(self) -> History:
        """Reads the latest state that was stored; an empty one at first."""
        rows = await self._platform.read([SNAPSHOT])
        version = _version_in(rows[SNAPSHOT])
        content = None
        if version:
            name = f"{SNAPSHOT}/{version:012d}"
            content = await self._platform.get_object(name)
        return History() if content is None else History.from_snapshot(content)
