"""Messages between the entry instance and the owner of a group."""

from typing import Any

import msgspec

from lagoonstair._types import Position
from lagoonstair.ports import Result
from lagoonstair.sessions import GroupMark


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """Request to run a route at the owner of its group.

    Attributes:
        workspace: The workspace of the request.
        route: The name of the route.
        key_id: The ID of the caller's key; ``None`` on an open route.
        params: The value of each named parameter.
        request_id: The ID under which the request runs at most once.
        digest: Digest of the route and its parameters, which distinguishes
            requests with the same ID.
        mark: The log positions of the group that the session has observed.
        config_version: The version of the configuration by which the entry
            instance authorized the request.
        time_left: Remaining time that the caller waits, in seconds.
        begin: Whether to open a transaction.
        transaction_id: The open transaction to run in, if any.
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
    """Request to commit or roll back a transaction at its owner.

    Attributes:
        workspace: The workspace of the transaction.
        group: The group of the transaction.
        key_id: The ID of the caller's key, if any.
        transaction_id: The ID of the transaction.
        mark: The log positions of the group that the session has observed.
        commit: Whether to commit rather than roll back.
        request_id: The ID under which the commit runs at most once.
        digest: Digest of the workspace and the transaction ID.
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
    """The owner's answer to a request that ran.

    Attributes:
        group: The group of the request.
        instance: The name of the owner.
        endpoint: The database that ran the statements.
        position: The log position written, or that of the snapshot read.
        wrote: Whether ``position`` is that of a confirmed write.
        results: One list of rows per statement.
        mark: The session's observed log positions after the request.
        transaction_id: The ID of the transaction, if it is still open.
        duplicate: Whether the results are those of an earlier request with the
            same ID.
        on_replica: Whether a replica served the request.
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
