"""Assignment of workspaces to their homes, the instances that run them.

The computation does no I/O.
"""

import itertools
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from lagoonstair.membership import RankedInstance, rank_instances
from lagoonstair.regions import RegionMap
from lagoonstair.routing import RoutingConfig

DEFAULT_MAX_CONNECTIONS = 30
"""Connections that an endpoint is assumed to accept while no configuration is
known."""

MIN_DIRECT_CONNECTIONS = 2
"""Least number of an endpoint's connections for each instance with which every
instance runs the statements of its own callers: enough for a transaction and a
read."""

MAX_DIRECT_WORKSPACES = 4
"""Maximum number of workspaces for each of an instance's connections with which
it runs the statements of its own callers. With more, nearly every statement
would have to open a connection."""

CONNECTIONS_PER_HOME = 8
"""Number of an endpoint's connections for each home if not every instance is
one: enough for a large workspace, or for one connection of each of several
small ones."""

MIN_HOMES = 2
"""Least number of homes, so that one can fail."""

STRONG_CAPACITY_RATIO = 0.5
"""Least capacity of a strong instance, as a fraction of the largest."""

MIN_STRONG_INSTANCES = 6
"""Number of strong instances from which on weak ones are never homes: when one
of so many fails, the load of the others grows by a fifth."""

MIN_CANDIDATES = 4
"""Least number of candidate homes of a workspace; one of each failure domain
comes first. If they hold the shares of the workspace's rate, three quarters of
it are left when one fails."""

MAX_SHARE_HOLDERS = 16
"""Maximum number of instances that hold shares of a workspace's rate."""

MIN_TOKENS_PER_CANDIDATE = 8
"""Least burst, in tokens for each candidate home, of a workspace with a home
in each failure domain if there are several regions. A burst of 6 over six
domains, one token each, had to be borrowed across regions for most
operations."""

MIN_SMALL_HOLDERS = 3
"""Least number of instances that hold shares of a small workspace's rate. While
one fails, two thirds of the rate are left. With the homes of two regions alone
it would be half, and a workspace at 60% of its rate would be refused a sixth of
its operations for 11 s."""

MAX_HASH = 2**64 - 1
"""Greatest value of the 64-bit hash that ranks the homes."""


class InstanceResources(NamedTuple):
    """The location and the capacity of an instance.

    Attributes:
        failure_domain: The failure domain that it runs in.
        capacity: The processor time that it has in a second, in seconds of a
            processor of usual speed.
    """

    failure_domain: str
    capacity: float = 1.0


class HomeAssignment:
    """The homes of all workspaces, for a given set of instances.

    If each of many instances had only a few connections to an endpoint, nearly
    every statement would have to open one for its workspace. So only some of
    the instances, the strongest, hold connections, and each workspace is
    assigned to one of these, its home. Workspaces and connections are
    distributed in proportion to capacity. The other instances relay their
    callers' sessions to the homes.

    Attributes:
        is_direct: Whether every instance runs its own callers' statements.
        names: The names of the instances that hold connections to endpoints.
    """

    def __init__(
        self,
        instances: Mapping[str, InstanceResources],
        *,
        max_connections: int,
        workspaces: int,
        regions: RegionMap | None = None,
        bursts: Mapping[str, float] | None = None,
    ) -> None:
        """Chooses the homes.

        Args:
            instances: All instances, by name.
            max_connections: The least number of connections that any of the
                endpoints accepts.
            workspaces: How many workspaces there are.
            regions: The regions of the failure domains. Without several of
                them, they change nothing.
            bursts: The burst of each workspace, in tokens, by name. A
                workspace that is missing here is not a small one.
        """
        self._regions = regions or RegionMap({})
        self._bursts = dict(bursts or {})
        self._candidates: dict[str, tuple[str, ...]] = {}
        self._instances = dict(instances)
        count = len(instances)
        per_instance = max_connections // max(1, count)
        self.is_direct = (
            per_instance >= MIN_DIRECT_CONNECTIONS
            and workspaces <= per_instance * MAX_DIRECT_WORKSPACES
        )
        self.names = frozenset(instances)
        if not self.is_direct:
            home_count = max(MIN_HOMES, max_connections // CONNECTIONS_PER_HOME)
            self.names = frozenset(self._select_homes(min(count, home_count)))
        self._ranked = [
            RankedInstance(name, instance.failure_domain)
            for name, instance in instances.items()
            if name in self.names
        ]
        domains = {ranked.failure_domain for ranked in self._ranked}
        self._candidate_count = max(MIN_CANDIDATES, len(domains))
        self._capacity = sum(instances[name].capacity for name in self.names)

    @classmethod
    def from_config(
        cls,
        instances: Mapping[str, InstanceResources],
        config: RoutingConfig,
        regions: RegionMap,
    ) -> "HomeAssignment":
        """Chooses the homes for the groups and workspaces of a configuration.

        Args:
            instances: All instances, by name.
            config: The configuration.
            regions: The regions of the failure domains.
        """
        return cls(
            instances,
            max_connections=min(
                (group.max_connections for group in config.groups.values()),
                default=DEFAULT_MAX_CONNECTIONS,
            ),
            workspaces=len(config.workspaces),
            regions=regions,
            bursts={
                workspace.name: workspace.burst
                for workspace in config.workspaces.values()
            },
        )

    def candidates(self, workspace: str) -> tuple[str, ...]:
        """Returns the candidate homes of a workspace; the first is its home."""
        candidates = self._candidates.get(workspace)
        if candidates is None:
            candidates = self._select_candidates(workspace)
            self._candidates[workspace] = candidates
        return candidates

    def share_holders(self, workspace: str) -> tuple[str, ...]:
        """Returns the instances that hold shares of a workspace's rate.

        A new holder's share takes effect only after seconds. Up to
        ``MAX_SHARE_HOLDERS`` instances therefore hold shares whether they are
        homes or not, so that the set hardly changes when one more instance
        makes some of them homes of the others' workspaces. With more
        instances, only the candidate homes do, so that none has to borrow.
        Of a small workspace in several regions, its home in each region does,
        and of two regions one more candidate; see ``MIN_SMALL_HOLDERS``.
        """
        if self._is_small(workspace):
            candidates = self.candidates(workspace)
            count = max(MIN_SMALL_HOLDERS, len(self._by_region(candidates)))
            return candidates[:count]
        if self.is_direct or len(self._instances) > MAX_SHARE_HOLDERS:
            return self.candidates(workspace)
        instances = [
            RankedInstance(name, instance.failure_domain)
            for name, instance in self._instances.items()
        ]
        return rank_instances(f"workspace:{workspace}", instances)

    def endpoint_holders(self, key: str) -> tuple[str, ...]:
        """Returns the homes, ranked for the shares of an endpoint's rate.

        Only homes send statements to endpoints.
        """
        return rank_instances(key, self._ranked)

    def candidates_from(
        self,
        workspace: str,
        name: str,
        *,
        allowed: frozenset[str] | None = None,
    ) -> tuple[str, ...]:
        """Returns a workspace's candidate homes for callers of an instance.

        Those in the instance's failure domain come first. So a workspace has
        a home in each domain that has a candidate: traffic between callers and
        replicas stays in the domain, and each home spends its own share of the
        rate. Of several regions, the instance's own one comes next. The
        callers of a small workspace all use its home in their region, so that
        its few tokens are not divided further.

        Args:
            workspace: The workspace.
            name: The instance that its callers are connected to.
            allowed: The failure domains that a home may be in; ``None`` for
                all.

        Returns:
            The candidates, none if no home is in these failure domains.
        """
        candidates = self.candidates(workspace)
        if allowed is not None:
            candidates = tuple(
                candidate
                for candidate in candidates
                if self._instances[candidate].failure_domain in allowed
            )
        if self.is_direct or name not in self._instances:
            return candidates
        domain = self._instances[name].failure_domain
        is_small = self._is_small(workspace)

        def distance(candidate: str) -> tuple[bool, bool]:
            other = self._instances[candidate].failure_domain
            if not self._regions.has_several:
                return (other != domain, False)
            is_far = not self._regions.is_same(other, domain)
            return (other != domain and not is_small, is_far)

        return tuple(sorted(candidates, key=distance))

    def count_by_region(self) -> dict[str, int]:
        """Returns the number of homes in each region that has one."""
        return dict(
            Counter(
                self._regions.region(self._instances[name].failure_domain)
                for name in sorted(self.names)
            )
        )

    def connection_share(self, name: str) -> float:
        """Returns an instance's fraction of each endpoint's connections."""
        if name not in self.names:
            return 0.0
        if self.is_direct:
            # Callers are spread evenly over the instances.
            return 1 / len(self.names)
        return self._instances[name].capacity / self._capacity

    def _is_small(self, workspace: str) -> bool:
        """Returns whether a workspace has one home in each region.

        Its burst is too small to be divided among the failure domains.
        """
        if self.is_direct or not self._regions.has_several:
            return False
        burst = self._bursts.get(workspace, math.inf)
        return burst < MIN_TOKENS_PER_CANDIDATE * self._candidate_count

    def _by_region(self, names: Iterable[str]) -> list[list[str]]:
        """Groups instances by their region, keeping the order."""
        regions: dict[str, list[str]] = {}
        for name in names:
            domain = self._instances[name].failure_domain
            regions.setdefault(self._regions.region(domain), []).append(name)
        return list(regions.values())

    def _select_homes(self, count: int) -> tuple[str, ...]:
        """Returns the instances to use as homes.

        If there are enough strong instances, only they are used, taken from
        all failure domains in turn. Weak ones start last after a crash of all
        instances, and are slow when many callers reconnect. Otherwise the
        instances with the largest capacity are used.

        Args:
            count: How many instances to return at most.
        """
        instances = self._instances
        max_capacity = max(
            (instance.capacity for instance in instances.values()), default=0.0
        )
        strong = [
            RankedInstance(name, instance.failure_domain)
            for name, instance in instances.items()
            if instance.capacity >= max_capacity * STRONG_CAPACITY_RATIO
        ]
        if len(strong) >= MIN_STRONG_INSTANCES:
            return rank_instances("homes", strong, count)
        all_instances = [
            RankedInstance(name, instance.failure_domain)
            for name, instance in instances.items()
        ]
        order = rank_instances("homes", all_instances)
        return tuple(
            sorted(order, key=lambda name: -instances[name].capacity)[:count]
        )

    def _select_candidates(self, workspace: str) -> tuple[str, ...]:
        """Ranks the candidate homes of a workspace, best first.

        The ranking alternates failure domains: the best home of every domain
        comes before the second of any. That of a small workspace alternates
        regions: the first of each region is its home there.
        """
        duty = f"workspace:{workspace}"
        if self.is_direct:
            return rank_instances(duty, self._ranked)
        domains: dict[str, list[tuple[float, str]]] = {}
        for ranked in self._ranked:
            scored = (self._hash_distance(duty, ranked.name), ranked.name)
            domains.setdefault(ranked.failure_domain, []).append(scored)
        rows = sorted(
            (row, *scored)
            for names in domains.values()
            for row, scored in enumerate(sorted(names))
        )
        names = tuple(name for _, _, name in rows[: self._candidate_count])
        if not self._is_small(workspace):
            return names
        rounds = itertools.zip_longest(*self._by_region(names))
        return tuple(name for row in rounds for name in row if name)

    def _hash_distance(self, duty: str, name: str) -> float:
        """Returns an instance's distance in weighted rendezvous hashing.

        The instance with the least distance is the home.
        """
        digest = xxhash.xxh64_intdigest(f"{duty}:{name}".encode())
        unit = (digest + 1) / (MAX_HASH + 2)
        return -math.log(unit) / self._instances[name].capacity
