"""Pure decisions on the registry after a restore of the store.

The store comes back from an older copy. Rows written since then are gone, and
their versions are given out again. The instances still know the lost rows. One
of them compares what it knows with the copy and puts back what is missing,
together with a row that marks the registry as complete in the new history.
Until that row is there, nobody uses the registry as read from the store.

Epochs and fencing tokens that were given out in the lost stretch may be unknown
to the instance that reconciles. All of a history's exceed its floor, and so all
of earlier histories.
"""

import itertools
from collections.abc import Iterator, Mapping
from typing import NamedTuple

import msgspec

from lagoonstair.primacy import Duty, GroupRecord
from lagoonstair.proxy._registry_rows import (
    DUTY_KEY,
    ERA_PREFIX,
    GROUP_PREFIX,
    Era,
    RowValue,
    decode_row,
    era_key,
    floor_of,
)


class RegistryRows(NamedTuple):
    """Decoded rows of the registry, by key."""

    rows: Mapping[str, RowValue]

    @classmethod
    def from_values(cls, values: Mapping[str, bytes | None]) -> "RegistryRows":
        """Decodes rows; removed and unreadable ones are left out."""
        rows = {key: decode_row(key, value) for key, value in values.items()}
        return cls({key: row for key, row in rows.items() if row is not None})

    def group(self, key: str) -> GroupRecord | None:
        """Returns a group's record by its key."""
        row = self.rows.get(key)
        return row if isinstance(row, GroupRecord) else None

    @property
    def duty(self) -> Duty | None:
        """The holder of the promotion duty."""
        row = self.rows.get(DUTY_KEY)
        return row if isinstance(row, Duty) else None

    def marked_eras(self) -> list[int]:
        """Returns the numbers of the histories in which rows were complete."""
        return [
            int(key.removeprefix(ERA_PREFIX))
            for key in self.rows
            if key.startswith(ERA_PREFIX)
        ]

    def missing_from(self, other: "RegistryRows") -> list[str]:
        """Returns the keys of the rows that other rows lack or contradict."""
        return sorted(
            key for key, row in self.rows.items() if other.rows.get(key) != row
        )


class Changes(NamedTuple):
    """Changes to the restored table.

    Attributes:
        puts: The rows to write, by key.
        removals: The keys of the rows to remove.
        last: The rows to write with the last transaction, which makes the
            registry usable.
    """

    puts: dict[str, RowValue]
    removals: tuple[str, ...]
    last: dict[str, RowValue]

    def batches(self, size: int) -> Iterator[dict[str, RowValue | None]]:
        """Splits the changes into transactions, in their order.

        Args:
            size: The number of rows that a transaction may change.

        Yields:
            The new row by key; ``None`` for a row to remove.
        """
        changes = {**self.puts, **dict.fromkeys(self.removals)}
        remaining = iter(changes.items())
        while batch := dict(itertools.islice(remaining, size)):
            yield batch
        yield {**self.last}


def reconcile(
    known: RegistryRows | None,
    restored: RegistryRows,
    *,
    era: int,
    now: float,
    name: str,
    epochs: Mapping[str, int],
    is_certain: bool,
) -> Changes:
    """Returns the changes that bring a restored registry up to date.

    Args:
        known: The rows that this instance knew before the restore; ``None`` if
            it has started since.
        restored: The rows that the store has now.
        era: The number of the store's present history.
        now: The time on the store's clock, in seconds.
        name: The name of this instance.
        epochs: The newest epoch of each group that a peer has announced.
        is_certain: Whether a majority of the voters that ran before the
            restore has told what it knows. Otherwise a promotion may have
            happened unnoticed, so every group's primary is verified by running
            a promotion.
    """
    floor = floor_of(era)
    is_certain = is_certain and known is not None
    puts: dict[str, RowValue] = {}
    for key in sorted(_group_keys(known) | _group_keys(restored)):
        record = _newest(known, restored, key)
        epoch = epochs.get(key.removeprefix(GROUP_PREFIX), 0)
        is_doubtful = epoch > record.epoch or not is_certain
        puts[key] = msgspec.structs.replace(
            record,
            epoch=max(record.epoch, epoch, floor) + 1,
            promoting=record.promoting or (name if is_doubtful else ""),
        )
    removals: tuple[str, ...] = ()
    if known is not None:
        ordinary = {
            key: row for key, row in known.rows.items() if _is_plain(key)
        }
        puts |= {
            key: row
            for key, row in ordinary.items()
            if restored.rows.get(key) != row
        }
        removals = tuple(
            key
            for key in restored.rows
            if _is_plain(key) and key not in ordinary
        )
    duties = filter(None, (known and known.duty, restored.duty))
    duty = max(
        duties, key=lambda duty: duty.fence, default=Duty(holder="", fence=0)
    )
    fence = max(duty.fence, floor) + 1
    last: dict[str, RowValue] = {
        DUTY_KEY: msgspec.structs.replace(duty, fence=fence)
    }
    last |= {
        era_key(number): Era(at=now, floor=floor)
        for number in _unmarked_eras(restored, era)
    }
    return Changes(puts, removals, last)


def _unmarked_eras(restored: RegistryRows, era: int) -> range:
    """Returns the histories after the newest marked one, up to the present.

    All of them are marked, because a writer that missed several restores
    requires only that the history after its own is not marked.
    """
    return range(max(restored.marked_eras(), default=era - 1) + 1, era + 1)


def _group_keys(registered: RegistryRows | None) -> set[str]:
    rows = () if registered is None else registered.rows
    return {key for key in rows if key.startswith(GROUP_PREFIX)}


def _newest(
    known: RegistryRows | None, restored: RegistryRows, key: str
) -> GroupRecord:
    """Returns the newest record of a group that is in either set of rows."""
    found = (known and known.group(key), restored.group(key))
    return max(filter(None, found), key=lambda record: record.epoch)


def _is_plain(key: str) -> bool:
    """Returns whether a row is put back as it was known."""
    return key != DUTY_KEY and not key.startswith((GROUP_PREFIX, ERA_PREFIX))
