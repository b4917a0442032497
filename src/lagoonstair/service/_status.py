"""Status of an instance as reported to operators."""

import msgspec


class GroupStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a group as observed by one of its watchers.

    Attributes:
        active: Whether this instance is the group's owner.
        term: The current term of the group.
        primary: The name of the primary; ``None`` while there is none.
        members: The liveness of each member: alive, suspect or dead.
        promotions: The number of promotions that this instance completed.
    """

    active: bool
    term: int
    primary: str | None
    members: dict[str, str]
    promotions: int


class InstanceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of one instance.

    Attributes:
        name: The name of the instance.
        failure_domain: The failure domain that the instance runs in.
        incarnation: A random ID of the process, new at each start.
        draining: Whether the instance rejects new work.
        started: The number of requests and transactions in progress.
        connections: The number of open caller connections.
        refused_peers: The number of peer connections that failed to
            authenticate.
        config_version: The version of the configuration in force.
        fresh: Whether the configuration is recent enough to serve requests.
        waiting_for: A description of what the instance waits for; ``None`` if
            it waits for nothing.
        listing_version: The newest version of the platform's listing; 0 before
            the first.
        groups: The status of each group that runs on the instance.
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
