"""Which instance runs a workspace's statements; pure."""

from collections.abc import Mapping

from lagoonstair.membership import Ranked, rank

DIRECT_CONNECTIONS = 2
"""With so many connections of an endpoint for each instance, every instance
runs the statements of its own callers: a transaction and a read."""

DIRECT_WORKSPACES = 4
"""But with no more workspaces than this for each of those connections: beyond,
nearly every statement would have to open one."""

HOME_CONNECTIONS = 8
"""Connections of an endpoint for each home, otherwise: those of a large
workspace, or one each of several small ones."""

MIN_HOMES = 2
"""So that one may fail."""

SPARE_HOMES = 4
"""Instances in line for a workspace. All of them hold shares of its rate, so
that three quarters of it are left when one fails."""


class Homes:
    """The homes of all workspaces, for one set of instances.

    A few connections for each of many instances can't be shared among the
    workspaces without opening one for nearly every statement. So a part of
    the instances hold the connections, and each workspace has its place among
    them. The other instances relay their callers there.

    Attributes:
        is_direct: Whether every instance runs its own callers' statements.
        sharers: How many instances share an endpoint's connections.
    """

    def __init__(
        self,
        domains: Mapping[str, str],
        *,
        max_connections: int,
        workspaces: int,
    ) -> None:
        """Places the homes.

        Args:
            domains: The failure domain of each instance, by name.
            max_connections: What the endpoint with the least accepts.
            workspaces: How many workspaces there are.
        """
        self._ranked = [Ranked(*item) for item in domains.items()]
        self._lines: dict[str, tuple[str, ...]] = {}
        count = len(domains)
        each = max_connections // max(1, count)
        self.is_direct = (
            each >= DIRECT_CONNECTIONS
            and workspaces <= each * DIRECT_WORKSPACES
        )
        self.sharers = max(1, count)
        if not self.is_direct:
            wanted = max(MIN_HOMES, max_connections // HOME_CONNECTIONS)
            self.sharers = min(count, wanted)
            chosen = set(rank("homes", self._ranked, self.sharers))
            self._ranked = [one for one in self._ranked if one.name in chosen]

    def line_of(self, workspace: str) -> tuple[str, ...]:
        """The instances in line for a workspace, the first being its home."""
        line = self._lines.get(workspace)
        if line is None:
            count = None if self.is_direct else SPARE_HOMES
            line = rank(f"workspace:{workspace}", self._ranked, count)
            self._lines[workspace] = line
        return line

    def has_connections(self, name: str) -> bool:
        """Whether an instance is among those that share the connections."""
        return any(one.name == name for one in self._ranked)
