"""The rows of the table service and the stored objects, in memory."""

from collections.abc import Sequence
from itertools import islice

from lagoonstair.ports import Row, Transaction

NO_ROW = Row(0, b"")
"""What a read returns for a key without a row."""


class Tables:
    """Versioned rows, and objects.

    A row that is deleted and written again continues with the next version,
    so that a condition on a version of the deleted row never holds.
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._deleted_versions: dict[str, int] = {}
        self._objects: dict[str, bytes] = {}

    def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Reads rows in one snapshot; a missing row has version 0."""
        return {key: self._rows.get(key, NO_ROW) for key in keys}

    def scan(
        self, prefix: str, after: str, limit: int
    ) -> list[tuple[str, Row]]:
        """Reads rows by key prefix, in key order, after the key ``after``.

        Returns:
            At most ``limit`` keys with their rows.
        """
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        return [(key, self._rows[key]) for key in islice(keys, limit)]

    def transact(self, transaction: Transaction) -> bool:
        """Applies the writes if all conditions hold; returns whether so."""
        conditions_hold = all(
            self._rows.get(key, NO_ROW).version == version
            for key, version in transaction.conditions.items()
        )
        if not conditions_hold:
            return False
        for key, value in transaction.writes.items():
            self._write(key, value)
        return True

    def put_object(self, name: str, content: bytes) -> None:
        """Stores an object, replacing one of the same name."""
        self._objects[name] = content

    def get_object(self, name: str) -> bytes | None:
        """Reads an object; returns ``None`` if it doesn't exist."""
        return self._objects.get(name)

    def _write(self, key: str, value: bytes | None) -> None:
        row = self._rows.pop(key, None)
        last = row.version if row else self._deleted_versions.get(key, 0)
        if value is None:
            self._deleted_versions[key] = last
            return
        self._rows[key] = Row(last + 1, value)
