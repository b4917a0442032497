"""What the operator and the endpoints say, in the project's words."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from lagoonstair._types import Address


class Consistency(enum.Enum):
    """How fresh the reads of a route must be."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where the operations on one database name go.

    Attributes:
        name: The route's name.
        group: The database group that runs them.
        consistency: How fresh reads must be.
        timeout: Seconds that one statement may take.
        target_latency: Seconds within which an operation should be done.
        priority: 0 is the most urgent.
        max_staleness: Age in seconds that a read may have.
        allows_anonymous: Whether callers need no key.
    """

    name: str
    group: str
    consistency: Consistency
    timeout: float
    target_latency: float
    priority: int
    max_staleness: float
    allows_anonymous: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupConfig:
    """A database group.

    Attributes:
        name: The group's name.
        max_connections: Connections that each endpoint takes, from all.
        synchronous_replicas: Replicas that have a commit before it is
            acknowledged.
    """

    name: str
    max_connections: int
    synchronous_replicas: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace's limit: operations a second, and at once."""

    name: str
    rate: float
    burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingConfig:
    """A version of the operator's configuration.

    Attributes:
        version: Grows with every change.
        routes: The routes by the database name that callers give.
        groups: The database groups by name.
        workspaces: The workspaces by name.
        keys: The workspace of each key.
        transaction_idle: Seconds after which an idle transaction may end.
    """

    version: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupConfig]
    workspaces: Mapping[str, Workspace]
    keys: Mapping[str, str]
    transaction_idle: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """A database, as it says of itself.

    Attributes:
        name: Its id.
        group: The database group that it belongs to.
        address: Where it listens.
        failure_domain: Where it runs.
        slots: Statements that it runs at once.
        leaving: Whether it is about to shut down.
        says_primary: Whether it takes itself to be the primary.
        started: When its process started, as it says; tells two lives of
            one id apart.
    """

    name: str
    group: str
    address: Address
    failure_domain: str
    slots: int
    leaving: bool
    says_primary: bool
    started: int
