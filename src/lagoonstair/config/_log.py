"""The log of numbered changes and the state obtained by applying it."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Annotated, NamedTuple

from pydantic import Field

from lagoonstair.config._changes import (
    Batch,
    Change,
    IssueKey,
    MemberJoined,
    MemberLeft,
    Step,
    items_of,
    steps_of,
)
from lagoonstair.config._electorates import (
    EMPTY_ELECTORATES,
    Electorate,
    prune_electorates,
)
from lagoonstair.config._model import (
    STRICT,
    KeyRecord,
    Member,
    MemberId,
    Route,
    Template,
    Workspace,
)
from lagoonstair.config._parse import decode, encode
from lagoonstair.config._state import Configuration, resolve
from lagoonstair.exceptions import ErrorKind, LagoonstairError

MAX_OPERATIONS = 1024
"""Number of recent operation ids kept to recognize repeated operations."""

_PLACEHOLDER_ID = "0" * 16
_PLACEHOLDER_SHA256 = "0" * 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One entry of the log.

    Attributes:
        version: The version of the configuration after the change.
        operation_id: Identifies the change, so that a retry recognizes it.
        accepted: The greatest version known to the author as accepted.
        change: The change.
    """

    __pydantic_config__ = STRICT

    version: int
    operation_id: str
    accepted: int
    change: Annotated[Step | Batch, Field(discriminator="kind")]

    @classmethod
    def from_bytes(cls, content: bytes) -> "Entry":
        """Decodes an entry.

        Raises:
            UnreadableError: Another program version wrote it, or it is
                damaged.
        """
        return decode(cls, content)

    def to_bytes(self) -> bytes:
        """Encodes the entry."""
        return encode(Entry, self)


class Operation(NamedTuple):
    """An operation whose change is in the log.

    Attributes:
        version: The version that the change produced.
        digest: The digest of the change.
    """

    version: int
    digest: str


def change_digest(change: Change) -> str:
    """Computes the digest by which a repeated change is recognized.

    A repeated request to issue a key carries a new random key, so the digest
    excludes the key's id and hash.
    """
    steps = tuple(
        replace(step, id=_PLACEHOLDER_ID, sha256=_PLACEHOLDER_SHA256)
        if isinstance(step, IssueKey)
        else step
        for step in steps_of(change)
    )
    return hashlib.sha256(encode(Batch, Batch(steps))).hexdigest()[:32]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Snapshot:
    """The stored form of a ``LogState``."""

    __pydantic_config__ = STRICT

    version: int
    accepted: int
    routes: tuple[Route, ...]
    templates: tuple[Template, ...]
    workspaces: tuple[Workspace, ...]
    keys: tuple[KeyRecord, ...]
    members: tuple[Member, ...]
    changed: dict[str, int]
    operations: dict[str, Operation]
    electorates: tuple[Electorate, ...]
    stopped: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class LogState:
    """The state obtained by applying the log up to one version.

    Attributes:
        configuration: The configuration.
        accepted: The greatest version that the log records as accepted.
        operations: The latest operations by id, oldest first.
        electorates: The members of each version since ``accepted``.
        stopped: Former members known to have stopped.
    """

    configuration: Configuration = field(default_factory=Configuration)
    accepted: int = 0
    operations: Mapping[str, Operation] = field(default_factory=dict)
    electorates: tuple[Electorate, ...] = EMPTY_ELECTORATES
    stopped: frozenset[MemberId] = frozenset()

    @property
    def version(self) -> int:
        """The configuration's version."""
        return self.configuration.version

    @property
    def members(self) -> frozenset[MemberId]:
        """The joined members of this version."""
        return self.electorates[-1].members

    def append(self, entry: Entry) -> "LogState":
        """Returns the state after one more entry.

        Raises:
            ValueError: The entry's version doesn't follow this state's.
            InvalidInputError: The change is invalid in this configuration.
        """
        if entry.version != self.version + 1:
            raise ValueError(
                f"log entry has version {entry.version}; the state has version "
                f"{self.version}"
            )
        cfg = self.configuration.apply(entry.change)
        accepted = max(self.accepted, entry.accepted)
        operation = Operation(entry.version, change_digest(entry.change))
        operations = {**self.operations, entry.operation_id: operation}
        if len(operations) > MAX_OPERATIONS:
            del operations[next(iter(operations))]
        electorates = prune_electorates(_next_electorates(self, cfg), accepted)
        return LogState(
            configuration=cfg,
            accepted=accepted,
            operations=operations,
            electorates=electorates,
            stopped=_next_stopped(self, entry.change, electorates),
        )

    def check_expected_version(
        self, change: Change, expected_version: int
    ) -> None:
        """Checks that no item of an edit changed after the expected version.

        Raises:
            LagoonstairError: ``CONFLICT``; names the items that changed and
                their versions.
        """
        changed = self.configuration.changed
        newer = sorted(
            (item, changed[item])
            for item in items_of(change)
            if changed.get(item, 0) > expected_version
        )
        if newer:
            conflicts = ", ".join(
                f"{item} changed at version {version}"
                for item, version in newer
            )
            raise LagoonstairError(
                ErrorKind.CONFLICT,
                f"the edit is of version {expected_version}, but {conflicts}",
            )

    def find_operation(
        self, operation_id: str, change: Change
    ) -> Operation | None:
        """Returns the logged operation with an id; ``None`` without one.

        Raises:
            LagoonstairError: ``REQUEST_ID_REUSED``; the id was used for a
                different change.
        """
        found = self.operations.get(operation_id)
        if found is not None and found.digest != change_digest(change):
            raise LagoonstairError(
                ErrorKind.REQUEST_ID_REUSED,
                f"the operation id names another change, version "
                f"{found.version}",
            )
        return found

    @classmethod
    def from_snapshot(cls, content: bytes) -> "LogState":
        """Decodes a state.

        Raises:
            UnreadableError: Another program version wrote it, or it is
                damaged.
            InvalidInputError: Its references or numbers are invalid.
        """
        snapshot = decode(_Snapshot, content)
        cfg = Configuration(
            version=snapshot.version,
            routes={item.name: item for item in snapshot.routes},
            templates={item.name: item for item in snapshot.templates},
            workspaces={item.name: item for item in snapshot.workspaces},
            keys={item.id: item for item in snapshot.keys},
            members={item.name: item for item in snapshot.members},
            changed=snapshot.changed,
        )
        return cls(
            configuration=resolve(cfg),
            accepted=snapshot.accepted,
            operations=snapshot.operations,
            electorates=snapshot.electorates,
            stopped=frozenset(snapshot.stopped),
        )

    def to_snapshot(self) -> bytes:
        """Encodes the state."""
        cfg = self.configuration
        snapshot = _Snapshot(
            version=cfg.version,
            accepted=self.accepted,
            routes=tuple(cfg.routes.values()),
            templates=tuple(cfg.templates.values()),
            workspaces=tuple(cfg.workspaces.values()),
            keys=tuple(cfg.keys.values()),
            members=tuple(cfg.members.values()),
            changed=dict(cfg.changed),
            operations=dict(self.operations),
            electorates=self.electorates,
            stopped=tuple(sorted(self.stopped)),
        )
        return encode(_Snapshot, snapshot)


def _next_electorates(
    old: LogState, new: Configuration
) -> tuple[Electorate, ...]:
    members = frozenset(member.id for member in new.members.values())
    if members == old.members:
        return old.electorates
    return (*old.electorates, Electorate(new.version, members))


def _next_stopped(
    old: LogState, change: Change, electorates: tuple[Electorate, ...]
) -> frozenset[MemberId]:
    """Returns the stopped members after a change.

    Adds the incarnations that the change shows to have stopped, and drops
    those that no electorate contains any more.
    """
    known = frozenset().union(*(set(e.members) for e in electorates))
    stopped = set(old.stopped)
    for step in steps_of(change):
        match step:
            case MemberJoined(member):
                stopped |= {
                    other
                    for other in known
                    if other.name == member.name and other != member.id
                }
            case MemberLeft(name, incarnation, stopped=True):
                stopped.add(MemberId(name, incarnation))
            case _:
                pass
    return frozenset(stopped & known)
