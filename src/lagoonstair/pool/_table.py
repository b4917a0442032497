"""Which transactions are open, and how the others ended. No I/O."""

import enum
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from lagoonstair.exceptions import ErrorKind, LagoonstairError

REMEMBERED_ENDS = 10_000


class TransactionKey(NamedTuple):
    """Who may use a transaction.

    Attributes:
        workspace: The workspace.
        key_id: The id of the key that began it.
        transaction_id: The transaction, unique among all.
    """

    workspace: str
    key_id: str
    transaction_id: str


class TransactionEnd(enum.Enum):
    """How a transaction ended."""

    ROLLED_BACK = enum.auto()
    COMMITTED = enum.auto()
    UNKNOWN = enum.auto()


@dataclass(slots=True)
class _Open:
    """An open transaction.

    Attributes:
        since: When its last call ended, in seconds.
        calls: How many calls run or wait.
    """

    since: float
    calls: int = 0


class TransactionTable:
    """The transactions of one database at one owner.

    Args:
        limit: How many may be open at once.
        idle_seconds: After how long without a call one is ended.
    """

    def __init__(self, *, limit: int, idle_seconds: float) -> None:
        self._limit = limit
        self._idle_seconds = idle_seconds
        self._open: dict[TransactionKey, _Open] = {}
        self._ends: OrderedDict[TransactionKey, TransactionEnd] = OrderedDict()
        self.draining = False

    @property
    def open_count(self) -> int:
        """How many transactions are open."""
        return len(self._open)

    def begin(self, key: TransactionKey, now: float) -> None:
        """Opens a transaction.

        Raises:
            LagoonstairError: Draining, too many are open, or the key is used.
        """
        if self.draining:
            raise LagoonstairError(ErrorKind.DRAINING, "shutting down")
        if key in self._open or key in self._ends:
            raise LagoonstairError(ErrorKind.CONFLICT, "the id is in use")
        if len(self._open) >= self._limit:
            raise LagoonstairError(
                ErrorKind.OVERLOADED, "too many open transactions"
            )
        self._open[key] = _Open(now)

    def is_open(self, key: TransactionKey) -> bool:
        """Whether the transaction is open for this workspace and key."""
        return key in self._open

    def end_of(self, key: TransactionKey) -> TransactionEnd | None:
        """How it ended; ``None`` if it is open, unknown or forgotten."""
        return self._ends.get(key)

    def enter(self, key: TransactionKey) -> None:
        """Counts a call that runs or waits.

        Raises:
            LagoonstairError: The transaction is not open.
        """
        if key not in self._open:
            raise LagoonstairError(
                ErrorKind.TRANSACTION_GONE, "the transaction is not open"
            )
        self._open[key].calls += 1

    def leave(self, key: TransactionKey, now: float) -> None:
        """Counts a call that is over."""
        if entry := self._open.get(key):
            entry.calls -= 1
            entry.since = now

    def end(self, key: TransactionKey, how: TransactionEnd) -> bool:
        """Ends a transaction; false if it was not open."""
        if self._open.pop(key, None) is None:
            return False
        self._ends[key] = how
        if len(self._ends) > REMEMBERED_ENDS:
            self._ends.popitem(last=False)
        return True

    def idle(self, now: float) -> list[TransactionKey]:
        """Lists the transactions without a call for too long."""
        oldest = now - self._idle_seconds
        return [
            key
            for key, entry in self._open.items()
            if not entry.calls and entry.since <= oldest
        ]

    def open_transactions(self, key_id: str | None) -> list[TransactionKey]:
        """Lists the open transactions of a key, of all keys for ``None``."""
        return [key for key in self._open if key_id in (None, key.key_id)]
