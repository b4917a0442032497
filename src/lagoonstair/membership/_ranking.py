"""Assignment of duties to instances by rendezvous hashing."""

import heapq
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

OWNERS_PER_GROUP = 3
"""Number of instances that watch a group: the owner and its standbys."""

SHARE_HOLDERS_PER_WORKSPACE = 7
"""Number of instances that hold a share of a workspace's rate limit."""


Domains = tuple[tuple[bytes, ...], ...]
"""The encoded names of the instances, one tuple per failure domain."""


class RankedInstance(NamedTuple):
    """An instance to which duties can be assigned.

    Attributes:
        name: The name of the instance.
        failure_domain: The failure domain in which it runs.
    """

    name: str
    failure_domain: str


def rank_instances(
    duty: str, instances: Iterable[RankedInstance], count: int | None = None
) -> tuple[str, ...]:
    """Ranks instances for a duty; the first one is responsible.

    The ranking alternates between failure domains: the best instance of every
    domain comes before the second one of any domain. If an instance joins or
    leaves, only the duties that it gains or had are reassigned.

    Args:
        duty: The name of the duty.
        instances: The instances to rank.
        count: The maximum number of instances to return; ``None`` for all.

    Returns:
        The names of the instances in ranking order.
    """
    return _rank(duty, _by_domain(instances), count)


def _by_domain(instances: Iterable[RankedInstance]) -> Domains:
    domains: dict[str, list[bytes]] = {}
    for instance in instances:
        names = domains.setdefault(instance.failure_domain, [])
        names.append(instance.name.encode())
    return tuple(tuple(names) for names in domains.values())


def _rank(duty: str, domains: Domains, count: int | None) -> tuple[str, ...]:
    seed = xxhash.xxh64_intdigest(duty.encode())
    score = xxhash.xxh64_intdigest
    ranked = []
    for names in domains:
        scored = [(score(name, seed), name) for name in names]
        best = heapq.nsmallest(count or len(scored), scored)
        ranked += [
            (rank_in_domain, *scored_name)
            for rank_in_domain, scored_name in enumerate(best)
        ]
    ranked.sort()
    return tuple(name.decode() for _, _, name in ranked[:count])


class Ranking:
    """Ranks one set of instances for duties and caches the results.

    Args:
        instances: The instances to which duties are assigned.
    """

    def __init__(self, instances: Iterable[RankedInstance]) -> None:
        self._domains = _by_domain(instances)
        self._owners: dict[str, tuple[str, ...]] = {}
        self._holders: dict[str, tuple[str, ...]] = {}

    def owners(self, group: str) -> tuple[str, ...]:
        """Returns the owner of a group and its standbys in ranking order."""
        found = self._owners.get(group)
        if found is None:
            found = _rank(f"group:{group}", self._domains, OWNERS_PER_GROUP)
            self._owners[group] = found
        return found

    def holders(self, workspace: str) -> tuple[str, ...]:
        """Returns the holders of a workspace's rate shares in ranking order."""
        found = self._holders.get(workspace)
        if found is None:
            found = _rank(
                f"workspace:{workspace}",
                self._domains,
                SHARE_HOLDERS_PER_WORKSPACE,
            )
            self._holders[workspace] = found
        return found
