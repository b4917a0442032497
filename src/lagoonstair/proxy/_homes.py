"""Which instance runs a workspace's statements; pure."""

import math
from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from lagoonstair.membership import RankedInstance, rank_instances

MIN_DIRECT_CONNECTIONS = 2
"""With so many connections of an endpoint for each instance, every instance
runs the statements of its own callers: a transaction and a read."""

MAX_DIRECT_WORKSPACES = 4
"""But with no more workspaces than this for each of those connections: beyond,
nearly every statement would have to open one."""

CONNECTIONS_PER_HOME = 8
"""Connections of an endpoint for each home, otherwise: those of a large
workspace, or one each of several small ones."""

MIN_HOMES = 2
"""So that one may fail."""

STRONG_CAPACITY_RATIO = 0.5
"""An instance that can do this part of what the strongest can is strong."""

MIN_STRONG_INSTANCES = 6
"""So many strong instances are enough for homes: when one fails, the others
have a fifth more to do."""

MIN_CANDIDATES = 4
"""Instances in line for a workspace at least, one of each failure domain
first. All of them hold shares of its rate, so that three quarters of it are
left when one fails."""

MAX_HASH = 2**64 - 1
"""The greatest value of the 64-bit hash that draws the homes."""


class InstanceResources(NamedTuple):
    """Where an instance runs, and what it can do.

    Attributes:
        failure_domain: Where it runs.
        capacity: Its processor time a second, in seconds of a usual one.
    """

    failure_domain: str
    capacity: float = 1.0


class HomeAssignment:
    """The homes of all workspaces, for one set of instances.

    A few connections for each of many instances can't be shared among the
    workspaces without opening one for nearly every statement. So a part of
    the instances, the strongest ones, hold the connections, and each workspace
    has its place among them: the more an instance can do, the more workspaces
    and connections it gets. The other instances relay their callers there.

    Attributes:
        is_direct: Whether every instance runs its own callers' statements.
        names: The instances that share the endpoints' connections.
    """

    def __init__(
        self,
        places: Mapping[str, InstanceResources],
        *,
        max_connections: int,
        workspaces: int,
    ) -> None:
        """Places the homes.

        Args:
            places: All instances, by name.
            max_connections: What the endpoint with the least accepts.
            workspaces: How many workspaces there are.
        """
        self._lines: dict[str, tuple[str, ...]] = {}
        self._places = dict(places)
        count = len(places)
        each = max_connections // max(1, count)
        self.is_direct = (
            each >= MIN_DIRECT_CONNECTIONS
            and workspaces <= each * MAX_DIRECT_WORKSPACES
        )
        self.names = frozenset(places)
        if not self.is_direct:
            wanted = max(MIN_HOMES, max_connections // CONNECTIONS_PER_HOME)
            self.names = frozenset(self._strongest(min(count, wanted)))
        self._ranked = [
            RankedInstance(name, place.failure_domain)
            for name, place in places.items()
            if name in self.names
        ]
        self._capacity = sum(places[name].capacity for name in self.names)

    def candidates(self, workspace: str) -> tuple[str, ...]:
        """The instances in line for a workspace, the first being its home."""
        line = self._lines.get(workspace)
        if line is None:
            line = self._select_candidates(workspace)
            self._lines[workspace] = line
        return line

    def candidates_from(self, workspace: str, name: str) -> tuple[str, ...]:
        """The instances in line for callers of an instance.

        Those in its own failure domain come first. So a workspace has a home
        in each domain that has one: what callers and replicas say stays there,
        and each home spends its own share of the rate.

        Args:
            workspace: The workspace.
            name: The instance that its callers are connected to.
        """
        line = self.candidates(workspace)
        if self.is_direct or name not in self._places:
            return line
        domain = self._places[name].failure_domain
        return tuple(
            sorted(
                line, key=lambda one: self._places[one].failure_domain != domain
            )
        )

    def connection_share(self, name: str) -> float:
        """The part of an endpoint's connections that an instance may have."""
        if name not in self.names:
            return 0.0
        if self.is_direct:
            # Callers come to all instances alike.
            return 1 / len(self.names)
        return self._places[name].capacity / self._capacity

    def _strongest(self, count: int) -> tuple[str, ...]:
        """The instances that can do most, from all failure domains in turn.

        Weak ones are left out if there are enough strong ones: they are the
        last to be up after a crash of all, and slow when many callers return.
        """
        places = self._places
        most = max((place.capacity for place in places.values()), default=0.0)
        strong = [
            RankedInstance(name, place.failure_domain)
            for name, place in places.items()
            if place.capacity >= most * STRONG_CAPACITY_RATIO
        ]
        if len(strong) >= MIN_STRONG_INSTANCES:
            return rank_instances("homes", strong, count)
        everybody = [
            RankedInstance(name, place.failure_domain)
            for name, place in places.items()
        ]
        order = rank_instances("homes", everybody)
        return tuple(
            sorted(order, key=lambda name: -places[name].capacity)[:count]
        )

    def _select_candidates(self, workspace: str) -> tuple[str, ...]:
        duty = f"workspace:{workspace}"
        if self.is_direct:
            return rank_instances(duty, self._ranked)
        domains: dict[str, list[tuple[float, str]]] = {}
        for one in self._ranked:
            scored = (self._hash_distance(duty, one.name), one.name)
            domains.setdefault(one.failure_domain, []).append(scored)
        rows = sorted(
            (row, *scored)
            for names in domains.values()
            for row, scored in enumerate(sorted(names))
        )
        count = max(MIN_CANDIDATES, len(domains))
        return tuple(name for _, _, name in rows[:count])

    def _hash_distance(self, duty: str, name: str) -> float:
        """Weighted rendezvous hashing; the least distance has the duty."""
        drawn = xxhash.xxh64_intdigest(f"{duty}:{name}".encode())
        unit = (drawn + 1) / (MAX_HASH + 2)
        return -math.log(unit) / self._places[name].capacity
