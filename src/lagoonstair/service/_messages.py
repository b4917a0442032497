"""What an entry instance sends to the owner of a group."""

from typing import Any

import msgspec

from lagoonstair._types import Position
from lagoonstair.ports import Result
from lagoonstair.sessions import GroupMark


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """Runs a route at the owner of its group.

    Attributes:
        workspace: The workspace on whose behalf it runs.
        route: The route's name.
        key_id: The id of the caller's key; ``None`` on an open route.
        params: The value of each named parameter.
        request_id: Names the request.
        digest: Digest of what is asked.
        mark: What the session has seen of the group.
        config_version: The configuration by which the entry decided.
        time_left: Seconds that the caller still waits.
        begin: Whether to open a transaction.
        transaction_id: The open transaction to run in.
    """

    workspace: str
    route: str
    key_id: str | None
    params: dict[str, Any]
    request_id: str
    digest: str
    mark: GroupMark
    config_version: int
    time_left: float
    begin: bool = False
    transaction_id: str | None = None


class EndTransaction(msgspec.Struct, frozen=True, kw_only=True):
    """Commits or rolls back an open transaction at its owner.

    Attributes:
        workspace: The workspace that the transaction belongs to.
        group: The group that it runs in.
        key_id: The id of the caller's key.
        transaction_id: The transaction.
        mark: What the session has seen of the group.
        commit: Whether to commit; else it is rolled back.
        request_id: Names the commit.
        digest: Digest of what is asked.
        config_version: As in ``Forward``.
        time_left: As in ``Forward``.
    """

    workspace: str
    group: str
    key_id: str | None
    transaction_id: str
    mark: GroupMark
    commit: bool
    request_id: str
    digest: str
    config_version: int
    time_left: float


class ExecutionResult(msgspec.Struct, frozen=True, kw_only=True):
    """What the owner answers.

    Attributes:
        group: The group.
        instance: The owner's name.
        endpoint: The database that ran it.
        position: The position written, or that of the snapshot read.
        wrote: Whether ``position`` is that of a confirmed write.
        results: One list of rows per statement.
        mark: What the session has seen of the group from now on.
        transaction_id: The open transaction.
        duplicate: Whether an earlier run with the same id is answered.
        on_replica: Whether a replica served it.
    """

    group: str
    instance: str
    endpoint: str
    position: Position
    wrote: bool
    results: tuple[Result, ...]
    mark: GroupMark
    transaction_id: str | None = None
    duplicate: bool = False
    on_replica: bool = False
