"""Model of the operator's configuration and of the registered endpoints."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from lagoonstair._types import Address


class Consistency(enum.Enum):
    """The consistency that reads of a route require.

    Attributes:
        PRIMARY: Only the primary serves reads.
        BOUNDED: A replica may serve a read if its staleness is within the
            bound of the route.
        SESSION: As ``BOUNDED``; the replica's log must also contain the
            session's last write.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """The route of the operations that name one database.

    Attributes:
        name: The route's name.
        group: The database group that runs the operations.
        consistency: The consistency that reads require.
        timeout: Timeout of one statement, in seconds.
        target_latency: Target latency of an operation, in seconds.
        priority: The priority; 0 is the most urgent.
        max_staleness: Maximum staleness of a read, in seconds.
        allows_anonymous: Whether callers may connect without a key.
        home_regions: The regions in which the operations may run; empty
            without such a constraint.
    """

    name: str
    group: str
    consistency: Consistency
    timeout: float
    target_latency: float
    priority: int
    max_staleness: float
    allows_anonymous: bool
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupConfig:
    """A database group.

    Attributes:
        name: The group's name.
        max_connections: Maximum number of connections per endpoint, from all
            instances.
        synchronous_replicas: Number of replicas that must have a commit
            before it is acknowledged.
        cold_seconds: The longest time, in seconds, for which an endpoint is
            slow after its start; 0 if it is not known.
        cold_rate: Requests a second that an endpoint may get during that time;
            0 without a limit.
    """

    name: str
    max_connections: int
    synchronous_replicas: int
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace.

    Attributes:
        name: The workspace's name.
        rate: Its rate limit, in operations per second.
        burst: The burst of that limit, in operations.
        home_regions: The regions in which its operations may run; empty
            without such a constraint.
    """

    name: str
    rate: float
    burst: float
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingConfig:
    """One version of the operator's configuration.

    Attributes:
        version: Increases with every change.
        routes: The routes, by the database name that callers specify.
        groups: The database groups, by name.
        workspaces: The workspaces, by name.
        keys: The workspace of each key.
        transaction_idle: Seconds after which an idle transaction may be
            ended.
        faults: The optional fields that are invalid and have no effect, with
            the reason.
    """

    version: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupConfig]
    workspaces: Mapping[str, Workspace]
    keys: Mapping[str, str]
    transaction_idle: float
    faults: tuple[str, ...] = ()

    @property
    def public_workspace(self) -> str:
        """The workspace that callers without a key run under."""
        return next(iter(self.workspaces), "")

    def permits_key(
        self, key: str, workspace: str, *, allows_anonymous: bool
    ) -> bool:
        """Returns whether a key still stands for a session's workspace.

        Args:
            key: The key that the session was opened with.
            workspace: The workspace that the session runs under.
            allows_anonymous: Whether its route allows callers without a key.
        """
        holder = self.keys.get(key)
        if holder is None and allows_anonymous:
            holder = self.public_workspace
        return holder == workspace


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """A database as it describes itself.

    Attributes:
        name: Its ID.
        group: The database group to which it belongs.
        address: The address on which it listens.
        failure_domain: The failure domain in which it runs.
        slots: Number of statements that it runs concurrently.
        leaving: Whether it is about to shut down.
        says_primary: Whether it considers itself the primary.
        started: The start time of its process, as it reports it.
            Distinguishes two processes with the same ID.
        sequence: The number of this entry, counted by its process. Entries
            that differ only in it are equal.
        cold_left: How much longer it is slow after its start, in seconds, as
            of the reading of this entry; not a number if it is invalid.
            Entries that differ only in it are equal.
    """

    name: str
    group: str
    address: Address
    failure_domain: str
    slots: int
    leaving: bool
    says_primary: bool
    started: int
    sequence: int = field(default=0, compare=False)
    cold_left: float = field(default=0.0, compare=False)
