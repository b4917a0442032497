"""Bookkeeping of open and ended transactions, without I/O."""

import enum
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from lagoonstair.exceptions import ErrorKind, LagoonstairError

MAX_REMEMBERED_ENDS = 10_000
"""Number of ended transactions whose end is remembered; oldest dropped."""


class TransactionKey(NamedTuple):
    """Identifies a transaction together with its owner.

    Attributes:
        workspace: The name of the workspace.
        key_id: The id of the key that began the transaction.
        transaction_id: The globally unique id of the transaction.
    """

    workspace: str
    key_id: str
    transaction_id: str


class TransactionEnd(enum.Enum):
    """How a transaction ended.

    Attributes:
        ROLLED_BACK: It was rolled back, so it has no effect.
        COMMITTED: Its commit was answered.
        UNKNOWN: Its commit was sent but not answered.
    """

    ROLLED_BACK = enum.auto()
    COMMITTED = enum.auto()
    UNKNOWN = enum.auto()


@dataclass(slots=True)
class _OpenTransaction:
    """An open transaction.

    Attributes:
        idle_since: The time at which its last call ended, in seconds.
        calls: The number of calls that run or wait.
    """

    idle_since: float
    calls: int = 0


class TransactionTable:
    """The transactions on one database that one owner has begun.

    Args:
        limit: The maximum number of open transactions.
        idle_seconds: The time in seconds without a call after which a
            transaction counts as idle.
    """

    def __init__(self, *, limit: int, idle_seconds: float) -> None:
        self._limit = limit
        self._idle_seconds = idle_seconds
        self._open: dict[TransactionKey, _OpenTransaction] = {}
        self._ends: OrderedDict[TransactionKey, TransactionEnd] = OrderedDict()
        self.draining = False

    @property
    def open_count(self) -> int:
        """The number of open transactions."""
        return len(self._open)

    def begin(self, key: TransactionKey, now: float) -> None:
        """Opens a transaction.

        Args:
            key: The new transaction and its owner.
            now: The current time in seconds.

        Raises:
            LagoonstairError: The table is draining, too many transactions
                are open, or the id is already in use.
        """
        if self.draining:
            raise LagoonstairError(ErrorKind.DRAINING, "shutting down")
        if key in self._open or key in self._ends:
            raise LagoonstairError(ErrorKind.CONFLICT, "the id is in use")
        if len(self._open) >= self._limit:
            raise LagoonstairError(
                ErrorKind.OVERLOADED, "too many open transactions"
            )
        self._open[key] = _OpenTransaction(now)

    def is_open(self, key: TransactionKey) -> bool:
        """Returns whether the transaction is open for its workspace and key."""
        return key in self._open

    def end_of(self, key: TransactionKey) -> TransactionEnd | None:
        """Returns how a transaction ended.

        Returns:
            How it ended; ``None`` if it is open, unknown or was dropped from
            the table.
        """
        return self._ends.get(key)

    def call_started(self, key: TransactionKey) -> None:
        """Records the start of a call; its transaction is not idle meanwhile.

        Raises:
            LagoonstairError: The transaction is not open.
        """
        if key not in self._open:
            raise LagoonstairError(
                ErrorKind.TRANSACTION_GONE, "the transaction is not open"
            )
        self._open[key].calls += 1

    def call_ended(self, key: TransactionKey, now: float) -> None:
        """Records the end of a call."""
        if entry := self._open.get(key):
            entry.calls -= 1
            entry.idle_since = now

    def end(self, key: TransactionKey, how: TransactionEnd) -> bool:
        """Removes a transaction from the open ones.

        Args:
            key: The transaction.
            how: How it ended.

        Returns:
            Whether it was open.
        """
        if self._open.pop(key, None) is None:
            return False
        self._ends[key] = how
        if len(self._ends) > MAX_REMEMBERED_ENDS:
            self._ends.popitem(last=False)
        return True

    def idle_transactions(self, now: float) -> list[TransactionKey]:
        """Returns the transactions without a call for ``idle_seconds``."""
        oldest = now - self._idle_seconds
        return [
            key
            for key, entry in self._open.items()
            if not entry.calls and entry.idle_since <= oldest
        ]

    def open_transactions(self, key_id: str | None) -> list[TransactionKey]:
        """Returns the open transactions of a key, or all for ``None``."""
        return [key for key in self._open if key_id in (None, key.key_id)]
