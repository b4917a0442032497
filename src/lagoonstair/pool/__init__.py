"""Connection pool of a database and the transactions pinned to connections."""

from lagoonstair.pool._lease import Lease, LeaseEndedError
from lagoonstair.pool._pinned import PinnedTransactions
from lagoonstair.pool._pool import ConnectionPool
from lagoonstair.pool._state import (
    Close,
    Fail,
    Grant,
    Open,
    PoolLimits,
    PoolState,
    PoolStatus,
)
from lagoonstair.pool._table import (
    TransactionEnd,
    TransactionKey,
    TransactionTable,
)

__all__ = [
    "Close",
    "ConnectionPool",
    "Fail",
    "Grant",
    "Lease",
    "LeaseEndedError",
    "Open",
    "PinnedTransactions",
    "PoolLimits",
    "PoolState",
    "PoolStatus",
    "TransactionEnd",
    "TransactionKey",
    "TransactionTable",
]
