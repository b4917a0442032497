"""What an instance tells operators of itself."""

import msgspec


class GroupStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A group as one of its watchers sees it.

    Attributes:
        active: Whether this instance is the group's owner.
        term: The group's term.
        primary: The primary; None while there is none.
        members: The state of each member: alive, suspect or dead.
        promotions: Promotions that this instance has finished.
    """

    active: bool
    term: int
    primary: str | None
    members: dict[str, str]
    promotions: int


class InstanceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One instance's status.

    Attributes:
        name: The instance's name.
        failure_domain: The failure domain it runs in.
        incarnation: Tells this run from others.
        draining: Whether it takes no new work.
        started: Requests and transactions that were started and not ended.
        connections: Open callers' connections.
        refused_peers: Connections of peers that failed to authenticate.
        config_version: The configuration in force.
        fresh: Whether the configuration may be served.
        waiting_for: What is missing, in words; None if nothing.
        listing_version: The newest list of the platform; 0 before the first.
        groups: The groups that it watches.
    """

    name: str
    failure_domain: str
    incarnation: str
    draining: bool
    started: int
    connections: int
    refused_peers: int
    config_version: int
    fresh: bool
    waiting_for: str | None
    listing_version: int
    groups: dict[str, GroupStatus]
